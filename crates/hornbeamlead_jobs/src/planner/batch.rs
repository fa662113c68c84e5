//! Group commit: appends records in order, one batch at a time, and runs the actions that depend on
//! a batch once it is stored, also in the journal if it is durable.

use super::journal::JournalAppend;
use super::{GRANT_WINDOW, PlannerMachine};
use crate::effect::Effect;
use crate::ids::{HostName, JobId, PlannerEpoch, RunName, StreamOffset, WorkerIncarnation};
use crate::ledger::JobLedger;
use crate::message::{PlannerMessage, StartOrder};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use crate::store::{
    AppendCondition, NewRecord, PlannerComponent, StoreCall, StoreOperation, StoreOutcome,
    StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time for which records are collected before they are appended.
const BATCH_LINGER: Duration = Duration::from_millis(10);

/// Interval between heartbeat records, by which other processes see that the planner is alive.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an append counts as failed and is retried.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before a failed append is retried.
const APPEND_BACKOFF: Duration = Duration::from_millis(40);

/// Time for which appends may fail before the planner stops granting leases, so that another
/// process can take over. The store may reject a single host while it serves the others.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of the last successful append up to which the store counts as prompt. Appends follow one
/// another at least every [`HEARTBEAT_INTERVAL`].
const MAX_PROMPT_AGE: Duration = Duration::from_millis(600);

/// Time for which a planner that recovers keeps others from taking over.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Most records in a batch; far below the store's limit of 2 MiB per call.
const MAX_BATCH_RECORDS: usize = 4000;

/// Action that must wait until the batch it depends on is stored.
#[derive(Clone, Debug)]
pub(super) enum DeferredAction {
    /// Send a start order.
    Start { host: HostName, order: StartOrder },
    /// Send a stop order.
    Stop(RunName),
    /// Answer the first report of a host on its link.
    Grant(HostName),
    /// Grant leases to a host whose bound has been withdrawn.
    EndWithdrawal(HostName),
    /// Acknowledge ended attempts, which lets the worker drop them.
    Acknowledge {
        host: HostName,
        /// Incarnation of the worker.
        incarnation: WorkerIncarnation,
        /// Highest number that is acknowledged.
        through: u64,
    },
}

/// Batch whose append has not completed.
#[derive(Debug)]
struct InFlightBatch {
    records: Vec<NewRecord>,
    deferred: Vec<DeferredAction>,
    sequence: u64,
    sent: MonoTime,
    retry_at: Option<MonoTime>,
    /// Where the records are stored, once they are.
    offset: Option<StreamOffset>,
    /// Copy for the journal, until it is stored.
    copy: Option<JournalAppend>,
    /// If a snapshot is due: ledger that includes this batch, and ended jobs whose bodies can be
    /// removed with it.
    snapshot: Option<(JobLedger, Vec<JobId>)>,
}

/// Records and deferred actions that wait for the store.
#[derive(Debug)]
pub(super) struct RecordBatch {
    epoch: PlannerEpoch,
    sequence: u64,
    /// Number of the last append that succeeded.
    succeeded: u64,
    end: StreamOffset,
    records: Vec<PlanRecord>,
    deferred: Vec<DeferredAction>,
    /// When the oldest queued record was added.
    oldest: MonoTime,
    in_flight: Option<InFlightBatch>,
    /// When the last successful append was last sent.
    last_append_sent: MonoTime,
    /// Time of the first failed append since the last successful one.
    failing_since: Option<MonoTime>,
    last_heartbeat: MonoTime,
    /// Whether an append has to follow, even if there is no news.
    append_needed: bool,
}

impl RecordBatch {
    pub(super) fn new(epoch: PlannerEpoch, claim: StreamOffset, now: MonoTime) -> Self {
        Self {
            epoch,
            sequence: 0,
            succeeded: 0,
            end: claim.saturating_add(1),
            records: Vec::new(),
            deferred: Vec::new(),
            oldest: now,
            in_flight: None,
            last_append_sent: now,
            failing_since: None,
            last_heartbeat: MonoTime(0),
            append_needed: false,
        }
    }

    pub(super) fn add(&mut self, now: MonoTime, record: PlanRecord) {
        if self.records.is_empty() {
            self.oldest = now;
        }
        self.records.push(record);
    }

    pub(super) fn defer(&mut self, action: DeferredAction) {
        self.deferred.push(action);
    }

    /// Number of the append that was sent last.
    pub(super) fn last_sent(&self) -> u64 {
        self.sequence
    }

    /// Number of the last append that succeeded.
    pub(super) fn last_succeeded(&self) -> u64 {
        self.succeeded
    }

    /// Grants leases to a host once an append that is sent from now on has succeeded.
    pub(super) fn defer_grant(&mut self, host: HostName) {
        self.append_needed = true;
        self.defer(DeferredAction::Grant(host));
    }

    /// Returns whether an append succeeded recently, which shows that the planner was not replaced.
    pub(super) fn has_recent_append(&self, now: MonoTime) -> bool {
        let failing = self
            .failing_since
            .is_some_and(|since| now.since(since) >= STORE_FAILURE_TIMEOUT);
        now.since(self.last_append_sent) <= GRANT_WINDOW && !failing
    }

    /// Returns whether appends succeed without delay, so that a stopped task can start again soon.
    pub(super) fn is_prompt(&self, now: MonoTime) -> bool {
        self.failing_since.is_none() && now.since(self.last_append_sent) <= MAX_PROMPT_AGE
    }

    /// Copy of the batch in flight that is not stored yet.
    pub(super) fn copy_mut(&mut self) -> Option<&mut JournalAppend> {
        self.in_flight.as_mut()?.copy.as_mut()
    }

    /// Handles that the copy of the batch in flight is stored.
    pub(super) fn finish_copy(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.copy = None;
        }
    }

    /// Notes that an append has failed.
    pub(super) fn note_failure(&mut self, now: MonoTime) {
        self.failing_since.get_or_insert(now);
    }

    fn is_due(&self, now: MonoTime) -> bool {
        let lingered = !self.records.is_empty() && now.since(self.oldest) >= BATCH_LINGER;
        let deferred = !self.deferred.is_empty();
        lingered || deferred || now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Sends the next batch if it is due and none is in flight, or retries a failed one.
    pub(super) fn flush(&mut self, now: MonoTime) {
        let due = self.batch.is_due(now);
        self.repeat_copy(now);
        match &mut self.batch.in_flight {
            Some(in_flight) if in_flight.retry_at.is_some_and(|at| now >= at) => {
                in_flight.retry_at = None;
                in_flight.sent = now;
                self.send_batch(now);
            }
            None if due => self.send_next(now),
            _ => {}
        }
    }

    fn send_next(&mut self, now: MonoTime) {
        let jobs_read = self.jobs_follower.next();
        let last_read = self.jobs_follower.last_read_at();
        // Entries report unknown jobs as absent while heartbeats arrive, so a planner that cannot
        // read the jobs stream must not send any.
        let current = last_read.is_some_and(|at| now.since(at) <= GRANT_WINDOW);
        let heartbeat_due = now.since(self.batch.last_heartbeat) >= HEARTBEAT_INTERVAL;
        if heartbeat_due && current {
            self.batch.last_heartbeat = now;
            self.record(now, PlanRecord::Tick { jobs_read });
        }
        if self.batch.append_needed && self.batch.records.is_empty() {
            self.record_presence(now);
        }
        let count = self.batch.records.len().min(MAX_BATCH_RECORDS);
        let records: Vec<_> = self.batch.records.drain(..count).collect();
        let drained = self.batch.records.is_empty();
        if records.is_empty() {
            // All records that these actions depend on are stored already.
            for action in std::mem::take(&mut self.batch.deferred) {
                self.run_deferred(now, action);
            }
            return;
        }
        self.batch.sequence += 1;
        self.batch.append_needed = !drained;
        let recovered = self.recovery.is_none();
        let due = drained && recovered && self.upkeep.is_snapshot_due(now);
        let snapshot = due.then(|| {
            let ledger = JobLedger {
                learned: self.interference.learned(),
                journaled: Some(self.epoch),
                placed: self.placed_report(now),
                ..self.ledger.clone()
            };
            let ended = self.upkeep.drain_ended(&ledger);
            (ledger, ended)
        });
        let encoded = self.encode_records(now, &records);
        let copy = self.journal.add_batch(self.batch.end, &records, &encoded);
        self.batch.in_flight = Some(InFlightBatch {
            records: encoded,
            deferred: if drained {
                std::mem::take(&mut self.batch.deferred)
            } else {
                Vec::new()
            },
            sequence: self.batch.sequence,
            sent: now,
            retry_at: None,
            offset: None,
            copy,
            snapshot,
        });
        self.send_batch(now);
        self.send_copy(now);
    }

    /// Appends something at intervals while the planner recovers, so that no other process claims its
    /// role meanwhile. A recovery that takes too long is left to others.
    pub(super) fn hold_role(&mut self, now: MonoTime) {
        if now.since(self.started_at) > MAX_RECOVERY_TIME {
            return;
        }
        self.batch.append_needed |= now.since(self.batch.last_append_sent) >= HEARTBEAT_INTERVAL;
        if self.batch.append_needed || self.batch.in_flight.is_some() {
            self.flush(now);
        }
    }

    /// Appends a record that holds nothing new, which shows that the planner was not replaced.
    fn record_presence(&mut self, now: MonoTime) {
        let (host, address) = (self.policy.host.clone(), self.policy.address);
        self.record(now, PlanRecord::Host { host, address });
    }

    fn send_batch(&mut self, now: MonoTime) {
        let Some(in_flight) = &self.batch.in_flight else {
            return;
        };
        self.effects.push(Effect::Store(StoreCall {
            caller: PlannerComponent::Records.caller(self.epoch),
            operation: StoreOperation::Append {
                stream: StreamName::Plan,
                records: in_flight.records.clone(),
                condition: AppendCondition::Epoch {
                    epoch: self.batch.epoch.0,
                    sequence: in_flight.sequence,
                },
            },
            deadline: now.plus(APPEND_TIMEOUT),
        }));
    }

    pub(super) fn handle_append(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Appended { offset } => {
                if let Some(in_flight) = &mut self.batch.in_flight {
                    in_flight.offset = Some(offset);
                }
                self.complete_append(now);
            }
            StoreOutcome::Fenced | StoreOutcome::Moved { .. } => self.depose("fenced"),
            StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => {
                self.batch.note_failure(now);
                self.log("append_failed", "plan", format!("cause={cause:?}"));
                if let Some(in_flight) = &mut self.batch.in_flight {
                    in_flight.retry_at = Some(now.plus(APPEND_BACKOFF));
                }
            }
            _ => {}
        }
    }

    /// Acts on the batch in flight once it is stored, and its copy, if it has one.
    pub(super) fn complete_append(&mut self, now: MonoTime) {
        let stored = |batch: &mut InFlightBatch| batch.offset.is_some() && batch.copy.is_none();
        let Some(in_flight) = self.batch.in_flight.take_if(stored) else {
            return;
        };
        let offset = in_flight.offset.unwrap_or(self.batch.end);
        self.batch.end = offset.saturating_add(in_flight.records.len() as u64);
        let was_failing = self.batch.failing_since.is_some();
        self.batch.succeeded = in_flight.sequence;
        self.batch.last_append_sent = in_flight.sent;
        self.batch.failing_since = None;
        if let Some((ledger, ended)) = in_flight.snapshot {
            self.save_snapshot(now, ledger, ended, self.batch.end);
        }
        if was_failing {
            self.renew_all_grants();
        }
        for action in in_flight.deferred {
            self.run_deferred(now, action);
        }
    }

    fn run_deferred(&mut self, now: MonoTime, action: DeferredAction) {
        match action {
            DeferredAction::Start { host, order } => self.run_deferred_start(now, &host, order),
            DeferredAction::Stop(run) => self.order_stop(run),
            DeferredAction::Grant(host) => self.send_grant(now, &host),
            DeferredAction::EndWithdrawal(host) => self.end_withdrawal(now, &host),
            DeferredAction::Acknowledge {
                host,
                incarnation,
                through,
            } => {
                let link = self.hosts.get(&host).and_then(|view| view.link);
                if let Some(link) = link {
                    let message = PlannerMessage::Acknowledge {
                        incarnation,
                        through,
                    };
                    self.effects.push(Effect::ToAgent { link, message });
                }
            }
        }
    }
}
