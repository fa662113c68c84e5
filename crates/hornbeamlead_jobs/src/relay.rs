//! Routes to the store: direct, or through another host if the store refuses this one.
//!
//! The store may refuse some hosts while it serves all others. A relayed call has the same effect
//! as a direct one, because appends are idempotent by their key or sequence number.

use crate::ids::StreamOffset;
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two probes whether the store serves this host again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between two probes. A probe that is not answered delays its reader until the
/// call's deadline.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Bound on the exponent of the interval between probes.
const MAX_DOUBLINGS: u32 = 4;

/// Time after which a probe without an outcome no longer keeps others from being sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of consecutive relay failures after which the store counts as unavailable to all hosts.
const MAX_FAILED_RELAYS: u32 = 2;

/// Time for which no relay is used once the store counts as unavailable to all hosts.
const RELAY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum number of known relays.
const MAX_RELAYS: usize = 16;

/// Route of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRoute {
    /// Direct connection to the store.
    Direct,
    /// Connection through the host that listens at this address.
    Relay(SocketAddr),
}

/// Chooses the route of each call from the outcomes of earlier calls.
#[derive(Clone, Debug, Default)]
pub struct RelayRoute {
    relays: Vec<SocketAddr>,
    next: usize,
    /// Whether the last direct call failed.
    direct_failed: bool,
    probe_at: MonoTime,
    /// Probes that failed since the last direct call that succeeded.
    failed_probes: u32,
    failed_relays: u32,
    relays_paused_until: MonoTime,
}

impl RelayRoute {
    /// Adds a host that can relay calls; the one that was added first is dropped if there are too
    /// many.
    pub fn add_relay(&mut self, address: SocketAddr) {
        if self.relays.contains(&address) {
            return;
        }
        if self.relays.len() >= MAX_RELAYS {
            self.relays.remove(0);
        }
        self.relays.push(address);
    }

    /// Returns the route for a call. While direct calls fail, only reads are used as probes.
    pub fn choose(&mut self, now: MonoTime, operation: &StoreOperation) -> StoreRoute {
        let probes = now >= self.probe_at && !matches!(operation, StoreOperation::Append { .. });
        match self.relay(now) {
            _ if !self.direct_failed => StoreRoute::Direct,
            Some(_) if probes => {
                self.probe_at = now.plus(PROBE_TIMEOUT);
                StoreRoute::Direct
            }
            Some(relay) => StoreRoute::Relay(relay),
            None => StoreRoute::Direct,
        }
    }

    /// Returns a relay for a call that the store has just refused, if one may be used.
    #[must_use]
    pub fn relay(&self, now: MonoTime) -> Option<SocketAddr> {
        let relay = || self.relays.get(self.next % self.relays.len().max(1));
        (now >= self.relays_paused_until)
            .then(relay)
            .flatten()
            .copied()
    }

    /// Records the outcome of a call. Returns `Some(true)` if this host has lost its direct
    /// connection to the store, `Some(false)` if it has regained it, `None` if nothing changed.
    pub fn record_outcome(
        &mut self,
        now: MonoTime,
        route: StoreRoute,
        outcome: &StoreOutcome,
    ) -> Option<bool> {
        let failed = matches!(
            outcome,
            StoreOutcome::Refused { .. } | StoreOutcome::Unanswered { .. }
        );
        match (route, failed) {
            (StoreRoute::Direct, _) => {
                let changed = self.direct_failed != failed;
                self.failed_probes = match (changed, failed) {
                    (false, true) => self.failed_probes.saturating_add(1),
                    _ => 0,
                };
                let interval = PROBE_INTERVAL * 2_u32.pow(self.failed_probes.min(MAX_DOUBLINGS));
                self.probe_at = now.plus(interval.min(MAX_PROBE_INTERVAL));
                self.direct_failed = failed;
                return changed.then_some(failed);
            }
            (StoreRoute::Relay(_), false) => self.failed_relays = 0,
            (StoreRoute::Relay(_), true) => {
                self.next = self.next.wrapping_add(1);
                self.failed_relays += 1;
                if self.failed_relays >= MAX_FAILED_RELAYS {
                    self.failed_relays = 0;
                    self.relays_paused_until = now.plus(RELAY_PAUSE);
                }
            }
        }
        None
    }
}

/// Call to be made by another host, with durations instead of readings of this host's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCall {
    operation: RelayedOperation,
    timeout_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RelayedOperation {
    Append {
        stream: StreamName,
        records: Vec<NewRecord>,
        condition: AppendCondition,
    },
    Read {
        stream: StreamName,
        from: StreamOffset,
        wait_ms: u32,
        end_only: bool,
    },
    Newest {
        stream: StreamName,
        after: Option<Box<str>>,
    },
}

fn remaining_ms(now: MonoTime, until: MonoTime) -> u32 {
    u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX)
}

impl RelayedCall {
    /// Converts a call into its relayed form.
    #[must_use]
    pub fn new(now: MonoTime, call: &StoreCall) -> Self {
        let operation = match &call.operation {
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => RelayedOperation::Append {
                stream: *stream,
                records: records.clone(),
                condition: *condition,
            },
            StoreOperation::Read {
                stream,
                from,
                wait_until,
                end_only,
            } => RelayedOperation::Read {
                stream: *stream,
                from: *from,
                wait_ms: remaining_ms(now, *wait_until),
                end_only: *end_only,
            },
            StoreOperation::Newest { stream, after } => RelayedOperation::Newest {
                stream: *stream,
                after: after.clone(),
            },
        };
        Self {
            operation,
            timeout_ms: remaining_ms(now, call.deadline),
        }
    }

    /// Converts the relayed form into a call to be made by this host.
    #[must_use]
    pub fn into_call(self, now: MonoTime) -> StoreCall {
        let after = |remaining_ms: u32| now.plus(Duration::from_millis(remaining_ms.into()));
        let operation = match self.operation {
            RelayedOperation::Append {
                stream,
                records,
                condition,
            } => StoreOperation::Append {
                stream,
                records,
                condition,
            },
            RelayedOperation::Read {
                stream,
                from,
                wait_ms,
                end_only,
            } => StoreOperation::Read {
                stream,
                from,
                wait_until: after(wait_ms),
                end_only,
            },
            RelayedOperation::Newest { stream, after } => StoreOperation::Newest { stream, after },
        };
        StoreCall {
            caller: StoreCaller::Relay,
            operation,
            deadline: after(self.timeout_ms),
        }
    }
}
