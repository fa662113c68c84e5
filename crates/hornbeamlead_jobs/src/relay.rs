//! Ways to the store: straight, or through another host where the store refuses this one.
//!
//! The store may refuse some hosts while it serves all others. A call that another host makes in
//! this one's name has the same effect: appends are bound to their key or sequence.

use crate::ids::StreamOffset;
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Span between two tries whether the store serves this host again.
const PROBE_SPAN: Duration = Duration::from_millis(500);

/// Relays that fail one after the other, from which on the store counts as away for all.
const MAX_FAILED_RELAYS: u32 = 2;

/// Time for which no relay is tried once the store counts as away for all.
const RELAY_REST: Duration = Duration::from_millis(700);

/// Relays that are remembered.
const MAX_RELAYS: usize = 16;

/// Way of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRoute {
    /// Straight to the store.
    Direct,
    /// Through the host that listens there.
    Relay(SocketAddr),
}

/// Chooses the way of each call by what became of the calls before.
#[derive(Clone, Debug, Default)]
pub struct RelayRoute {
    relays: Vec<SocketAddr>,
    next: usize,
    /// Whether the store does not serve this host.
    lost: bool,
    probe_at: MonoTime,
    failed_relays: u32,
    rest_until: MonoTime,
}

impl RelayRoute {
    /// Adds a host through which calls can go; the one that was used longest is forgotten.
    pub fn add_relay(&mut self, address: SocketAddr) {
        if self.relays.contains(&address) {
            return;
        }
        if self.relays.len() >= MAX_RELAYS {
            self.relays.remove(0);
        }
        self.relays.push(address);
    }

    /// Returns the way for a call. Only calls that change nothing are risked on a lost store.
    pub fn choose(&mut self, now: MonoTime, operation: &StoreOperation) -> StoreRoute {
        let probes = now >= self.probe_at && !matches!(operation, StoreOperation::Append { .. });
        match self.relay(now) {
            _ if !self.lost => StoreRoute::Direct,
            Some(_) if probes => {
                self.probe_at = now.plus(PROBE_SPAN);
                StoreRoute::Direct
            }
            Some(relay) => StoreRoute::Relay(relay),
            None => StoreRoute::Direct,
        }
    }

    /// Returns a relay for a call that the store has just refused to this host.
    #[must_use]
    pub fn relay(&self, now: MonoTime) -> Option<SocketAddr> {
        let relay = || self.relays.get(self.next % self.relays.len().max(1));
        (now >= self.rest_until).then(relay).flatten().copied()
    }

    /// Takes in what became of a call. Returns whether this host has lost the store or regained
    /// it, if that has changed.
    pub fn record_outcome(
        &mut self,
        now: MonoTime,
        way: StoreRoute,
        outcome: &StoreOutcome,
    ) -> Option<bool> {
        let failed = matches!(
            outcome,
            StoreOutcome::Refused { .. } | StoreOutcome::Unanswered { .. }
        );
        match (way, failed) {
            (StoreRoute::Direct, _) => {
                let changed = self.lost != failed;
                if changed {
                    self.probe_at = now.plus(PROBE_SPAN);
                }
                self.lost = failed;
                return changed.then_some(failed);
            }
            (StoreRoute::Relay(_), false) => self.failed_relays = 0,
            (StoreRoute::Relay(_), true) => {
                self.next = self.next.wrapping_add(1);
                self.failed_relays += 1;
                if self.failed_relays >= MAX_FAILED_RELAYS {
                    self.failed_relays = 0;
                    self.rest_until = now.plus(RELAY_REST);
                }
            }
        }
        None
    }
}

/// Call that another host is to make, with spans in place of this host's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCall {
    operation: RelayedAsk,
    timeout_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RelayedAsk {
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

fn span_ms(now: MonoTime, until: MonoTime) -> u32 {
    u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX)
}

impl RelayedCall {
    /// Words a call for another host.
    #[must_use]
    pub fn new(now: MonoTime, call: &StoreCall) -> Self {
        let operation = match &call.operation {
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => RelayedAsk::Append {
                stream: *stream,
                records: records.clone(),
                condition: *condition,
            },
            StoreOperation::Read {
                stream,
                from,
                wait_until,
                end_only,
            } => RelayedAsk::Read {
                stream: *stream,
                from: *from,
                wait_ms: span_ms(now, *wait_until),
                end_only: *end_only,
            },
            StoreOperation::Newest { stream, after } => RelayedAsk::Newest {
                stream: *stream,
                after: after.clone(),
            },
        };
        Self {
            operation,
            timeout_ms: span_ms(now, call.deadline),
        }
    }

    /// Returns the call as the host that was asked makes it.
    #[must_use]
    pub fn into_call(self, now: MonoTime) -> StoreCall {
        let after = |span_ms: u32| now.plus(Duration::from_millis(span_ms.into()));
        let operation = match self.operation {
            RelayedAsk::Append {
                stream,
                records,
                condition,
            } => StoreOperation::Append {
                stream,
                records,
                condition,
            },
            RelayedAsk::Read {
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
            RelayedAsk::Newest { stream, after } => StoreOperation::Newest { stream, after },
        };
        StoreCall {
            caller: StoreCaller::Relay,
            operation,
            deadline: after(self.timeout_ms),
        }
    }
}
