//! Store maintenance: publishes the planner's address, writes snapshots, and removes the bodies of
//! ended jobs.

use super::PlannerMachine;
use crate::effect::Effect;
use crate::entry::{CANCEL_PREFIX, JOB_PREFIX};
use crate::ids::{JobId, StreamOffset};
use crate::ledger::JobLedger;
use crate::locator::{PLANNER_KEY, PlannerAddress};
use crate::operators::OperatorFormat;
use crate::record::encode;
use crate::snapshot::snapshot_records;
use crate::store::{
    AppendCondition, NewRecord, PlannerComponent, StoreCall, StoreOperation, StoreOutcome,
    StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval between snapshots. The store retains plan records for at least 20 s, and a recovery
/// that begins after some seconds without a planner needs all records since the latest snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which a call counts as failed and is retried.
const UPKEEP_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a failed call.
const UPKEEP_BACKOFF: Duration = Duration::from_millis(100);

/// Most bodies removed in one call.
const MAX_REMOVALS: usize = 200;

#[derive(Debug)]
enum UpkeepJob {
    Publish,
    Snapshot,
    Remove,
}

/// Queue of maintenance calls, sent one at a time.
#[derive(Debug)]
pub(super) struct UpkeepState {
    waiting: VecDeque<(UpkeepJob, StreamName, Vec<NewRecord>)>,
    in_flight: bool,
    not_before: MonoTime,
    published: bool,
    snapshot_at: MonoTime,
    /// Ended jobs whose bodies are still in the store.
    ended: Vec<JobId>,
}

impl UpkeepState {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: false,
            not_before: now,
            published: false,
            snapshot_at: now,
            ended: Vec::new(),
        }
    }

    pub(super) fn is_snapshot_due(&self, now: MonoTime) -> bool {
        now >= self.snapshot_at
    }

    /// Removes and returns the ended jobs whose bodies can be deleted once a snapshot with all
    /// records so far is stored.
    pub(super) fn drain_ended(&mut self) -> Vec<JobId> {
        let count = self.ended.len().min(MAX_REMOVALS);
        self.ended.drain(..count).collect()
    }

    pub(super) fn remove_body(&mut self, job: JobId) {
        self.ended.push(job);
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn poll_upkeep(&mut self, now: MonoTime) {
        if !self.upkeep.published {
            self.upkeep.published = true;
            let (epoch, address) = (self.epoch, self.policy.address);
            let record = NewRecord {
                key: Some(PLANNER_KEY.into()),
                value: Some(encode(&PlannerAddress { epoch, address })),
            };
            let call = (UpkeepJob::Publish, StreamName::Planner, vec![record]);
            self.upkeep.waiting.push_back(call);
        }
        if self.upkeep.in_flight || now < self.upkeep.not_before {
            return;
        }
        if let Some((_, stream, records)) = self.upkeep.waiting.front() {
            self.effects.push(Effect::Store(StoreCall {
                caller: PlannerComponent::Upkeep.caller(self.epoch),
                operation: StoreOperation::Append {
                    stream: *stream,
                    records: records.clone(),
                    condition: AppendCondition::Always,
                },
                deadline: now.plus(UPKEEP_TIMEOUT),
            }));
            self.upkeep.in_flight = true;
        }
    }

    pub(super) fn handle_upkeep(&mut self, now: MonoTime, outcome: StoreOutcome) {
        self.upkeep.in_flight = false;
        match outcome {
            StoreOutcome::Appended { .. } => {
                self.upkeep.waiting.pop_front();
            }
            other => {
                let job = self.upkeep.waiting.front().map(|(job, ..)| job);
                let detail = format!("job={job:?} outcome={other:?}");
                self.log("upkeep_failed", "store", detail);
                self.upkeep.not_before = now.plus(UPKEEP_BACKOFF);
            }
        }
    }

    /// Queues a snapshot, and then the removal of the bodies of jobs that it lists as ended.
    pub(super) fn save_snapshot(
        &mut self,
        now: MonoTime,
        ledger: &JobLedger,
        ended: Vec<JobId>,
        end: StreamOffset,
    ) {
        self.upkeep.snapshot_at = now.plus(SNAPSHOT_INTERVAL);
        let is_snapshot = |(job, ..): &(UpkeepJob, StreamName, Vec<NewRecord>)| {
            matches!(job, UpkeepJob::Snapshot)
        };
        if self.upkeep.waiting.iter().any(is_snapshot) {
            self.upkeep.ended.extend(ended);
            return;
        }
        let records = snapshot_records(ledger, end);
        self.log("impact_learned", end, self.interference.describe());
        let snapshot = (UpkeepJob::Snapshot, StreamName::Snapshots, records);
        self.upkeep.waiting.push_back(snapshot);
        let record = |key: String| NewRecord {
            key: Some(key.into()),
            value: None,
        };
        let keys = |job: JobId| {
            [
                format!("{JOB_PREFIX}{job}"),
                format!("{CANCEL_PREFIX}{job}"),
            ]
        };
        let records: Vec<_> = ended.into_iter().flat_map(keys).map(record).collect();
        if !records.is_empty() {
            let removal = (UpkeepJob::Remove, StreamName::Jobs, records);
            self.upkeep.waiting.push_back(removal);
        }
    }
}
