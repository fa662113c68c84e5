//! Store maintenance: publishes the planner's address, writes snapshots, and removes the bodies of
//! ended jobs.

use super::PlannerMachine;
use crate::effect::Effect;
use crate::entry::{CANCEL_PREFIX, JOB_PREFIX};
use crate::ids::{JobId, StreamOffset};
use crate::ledger::JobLedger;
use crate::locator::{PLANNER_KEY, PlannerAddress};
use crate::operators::OperatorFormat;
use crate::record::{PlanRecord, encode};
use crate::snapshot::{SnapshotEncoder, SnapshotKeys, SnapshotSet};
use crate::store::{
    AppendCondition, NewRecord, PlannerComponent, StoreCall, StoreOperation, StoreOutcome,
    StreamName,
};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Interval between snapshots. The store retains plan records for at least 20 s, and a recovery
/// that begins after some seconds without a planner needs all records since the latest snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(3);

/// Time after its start in which a planner writes its address again with each snapshot. An append of
/// its predecessor may be carried out seconds late and replace the address.
const REPUBLISH_TIME: Duration = Duration::from_secs(15);

/// Interval at which the address is written after that. Each write also ends a read of every agent.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(60);

/// Time after which a call counts as failed and is retried.
const UPKEEP_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause after a failed call.
const UPKEEP_BACKOFF: Duration = Duration::from_millis(100);

/// Size of the part of a snapshot that is encoded at a time, in bytes.
const ENCODED_BYTES: usize = 32 * 1024;

/// Largest total of the records of a call, in bytes. The store takes 2 MiB.
const MAX_CALL_BYTES: usize = 1536 * 1024;

/// Heartbeats of planners after the end of a job until it is forgotten: 10 min at least. Callers may ask for
/// its state for 2 min by the platform's specification, and submissions may be repeated for some seconds.
const RETAINED_HEARTBEATS: u64 = 2400;

/// Most jobs that are forgotten with one snapshot.
const MAX_FORGOTTEN: usize = 2000;

/// Most jobs whose bodies are removed with one snapshot.
const MAX_REMOVALS: usize = 2000;

/// Most keys removed in one call.
const MAX_REMOVED_KEYS: usize = 400;

/// Snapshot that is not stored yet.
#[derive(Debug)]
struct PendingSnapshot {
    /// Records of the calls that are left. Readers ignore the snapshot until all are stored.
    calls: VecDeque<Vec<NewRecord>>,
    keys: SnapshotKeys,
    /// Whether it takes several calls. It is then stored as a whole before the next one begins.
    is_large: bool,
    /// Whether a call has been made.
    is_begun: bool,
    /// Offset of the plan before which all records are included.
    end: StreamOffset,
    /// Jobs whose bodies can be removed once the snapshot is stored.
    ended: Vec<JobId>,
}

/// Maintenance call in flight.
#[derive(Debug)]
enum UpkeepJob {
    Publish,
    Snapshot(PendingSnapshot),
    Remove(Vec<Box<str>>),
}

impl UpkeepJob {
    fn name(&self) -> &'static str {
        match self {
            Self::Publish => "publish",
            Self::Snapshot(_) => "snapshot",
            Self::Remove(_) => "remove",
        }
    }
}

/// Maintenance that is due, performed by one call at a time.
#[derive(Debug)]
pub(super) struct UpkeepState {
    publish_due: bool,
    /// When the address was last queued.
    published_at: MonoTime,
    /// Snapshot that is being encoded, and ended jobs whose bodies can be removed with it.
    encoding: Option<(SnapshotEncoder, Vec<JobId>)>,
    /// Newest snapshot that is encoded, unless it is in flight or stored.
    snapshot: Option<PendingSnapshot>,
    /// Keys of the jobs stream that can be removed now.
    removals: Vec<Box<str>>,
    in_flight: Option<UpkeepJob>,
    not_before: MonoTime,
    snapshot_at: MonoTime,
    snapshot_set: SnapshotSet,
    /// Keys of the last snapshot that this planner has stored.
    stored_keys: Option<SnapshotKeys>,
    /// Ended jobs whose bodies are still in the store.
    ended: Vec<JobId>,
    /// Ended jobs of which it is not known that their bodies are no longer in the store.
    unremoved: BTreeSet<JobId>,
}

impl UpkeepState {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            publish_due: true,
            published_at: now,
            encoding: None,
            snapshot: None,
            removals: Vec::new(),
            in_flight: None,
            not_before: now,
            snapshot_at: now,
            snapshot_set: SnapshotSet::default(),
            stored_keys: None,
            ended: Vec::new(),
            unremoved: BTreeSet::new(),
        }
    }

    fn next_job(&mut self) -> Option<UpkeepJob> {
        if std::mem::take(&mut self.publish_due) {
            return Some(UpkeepJob::Publish);
        }
        if let Some(mut snapshot) = self.snapshot.take() {
            snapshot.is_begun = true;
            return Some(UpkeepJob::Snapshot(snapshot));
        }
        let count = self.removals.len().min(MAX_REMOVED_KEYS);
        let keys: Vec<_> = self.removals.drain(..count).collect();
        (!keys.is_empty()).then_some(UpkeepJob::Remove(keys))
    }

    /// Queues a snapshot in place of an earlier one. The plan records after a snapshot expire, so
    /// an earlier one is of no use.
    fn add_snapshot(&mut self, mut snapshot: PendingSnapshot) {
        let earlier = self.snapshot.take();
        snapshot
            .ended
            .extend(earlier.into_iter().flat_map(|earlier| earlier.ended));
        self.snapshot = Some(snapshot);
    }

    /// Queues a failed call again.
    fn restore(&mut self, job: UpkeepJob) {
        match (job, &mut self.snapshot) {
            (UpkeepJob::Publish, _) => self.publish_due = true,
            (UpkeepJob::Snapshot(failed), Some(newer)) => newer.ended.extend(failed.ended),
            (UpkeepJob::Snapshot(failed), None) => self.snapshot = Some(failed),
            (UpkeepJob::Remove(keys), _) => self.removals.extend(keys),
        }
    }

    pub(super) fn recover_set(&mut self, set: SnapshotSet) {
        self.snapshot_set = set;
    }

    /// Goes on to the set of the next planner, for each claim of the role.
    pub(super) fn advance_set(&mut self) {
        self.snapshot_set = self.snapshot_set.next();
    }

    pub(super) fn is_snapshot_due(&self, now: MonoTime) -> bool {
        let is_begun = |snapshot: &PendingSnapshot| snapshot.is_large && snapshot.is_begun;
        let is_writing = match &self.in_flight {
            Some(UpkeepJob::Snapshot(snapshot)) => snapshot.is_large,
            _ => self.snapshot.as_ref().is_some_and(is_begun),
        };
        now >= self.snapshot_at && self.encoding.is_none() && !is_writing
    }

    /// Encodes a part of the snapshot that is due.
    fn encode_part(&mut self) {
        let Some((mut encoder, ended)) = self.encoding.take() else {
            return;
        };
        if !encoder.advance(ENCODED_BYTES) {
            self.encoding = Some((encoder, ended));
            return;
        }
        let stored_second = self.stored_keys.is_some_and(|keys| keys.is_second);
        let keys = SnapshotKeys {
            set: self.snapshot_set,
            is_second: encoder.size() > MAX_CALL_BYTES && !stored_second,
        };
        let end = encoder.plan_offset();
        let calls = split_calls(encoder.finish(keys));
        self.add_snapshot(PendingSnapshot {
            is_large: calls.len() > 1,
            calls,
            keys,
            is_begun: false,
            end,
            ended,
        });
    }

    /// Handles that a call of a snapshot has succeeded. Returns the snapshot if it was the last one.
    fn finish_call(&mut self, mut snapshot: PendingSnapshot) -> Option<PendingSnapshot> {
        snapshot.calls.pop_front();
        if snapshot.calls.is_empty() {
            self.stored_keys = Some(snapshot.keys);
            return Some(snapshot);
        }
        self.restore(UpkeepJob::Snapshot(snapshot));
        None
    }

    /// Notes that keys of the jobs stream have been removed.
    fn note_removed(&mut self, keys: &[Box<str>]) {
        for key in keys {
            let job = key.strip_prefix(JOB_PREFIX).map(str::parse::<JobId>);
            if let Some(Ok(job)) = job {
                self.unremoved.remove(&job);
            }
        }
    }

    /// Removes and returns the ended jobs whose bodies can be deleted once a snapshot of the ledger
    /// is stored. The bodies of jobs with attempts that may be running are kept, because the next
    /// planner needs their demand.
    pub(super) fn drain_ended(&mut self, ledger: &JobLedger) -> Vec<JobId> {
        let idle = |job: &mut JobId| !ledger.jobs.contains_key(job);
        let removable = self.ended.extract_if(.., idle);
        removable.take(MAX_REMOVALS).collect()
    }

    pub(super) fn remove_body(&mut self, job: JobId) {
        self.unremoved.insert(job);
        self.ended.push(job);
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn poll_upkeep(&mut self, now: MonoTime) {
        self.upkeep.encode_part();
        // A process that was frozen may have been replaced, and must not publish its address then.
        let may_be_replaced = !self.batch.has_recent_append(now);
        if self.upkeep.in_flight.is_some() || now < self.upkeep.not_before || may_be_replaced {
            return;
        }
        let Some(job) = self.upkeep.next_job() else {
            return;
        };
        let (stream, records) = match &job {
            UpkeepJob::Publish => (StreamName::Planner, vec![self.address_record()]),
            UpkeepJob::Snapshot(snapshot) => {
                let records = snapshot.calls.front().cloned();
                (StreamName::Snapshots, records.unwrap_or_default())
            }
            UpkeepJob::Remove(keys) => (StreamName::Jobs, removal_records(keys)),
        };
        self.effects.push(Effect::Store(StoreCall {
            caller: PlannerComponent::Upkeep.caller(self.epoch),
            operation: StoreOperation::Append {
                stream,
                records,
                condition: AppendCondition::Always,
            },
            deadline: now.plus(UPKEEP_TIMEOUT),
        }));
        self.upkeep.in_flight = Some(job);
    }

    /// Queues the address again if that is due. A process that was frozen may have been replaced, so
    /// it has to append first.
    fn republish(&mut self, now: MonoTime) {
        let interval = match now.since(self.started_at) <= REPUBLISH_TIME {
            true => SNAPSHOT_INTERVAL,
            false => REPUBLISH_INTERVAL,
        };
        let due = now.since(self.upkeep.published_at) >= interval;
        if due && self.batch.has_recent_append(now) {
            self.upkeep.publish_due = true;
            self.upkeep.published_at = now;
        }
    }

    fn address_record(&self) -> NewRecord {
        let (epoch, address) = (self.epoch, self.policy.address);
        NewRecord {
            key: Some(PLANNER_KEY.into()),
            value: Some(encode(&PlannerAddress { epoch, address })),
        }
    }

    pub(super) fn handle_upkeep(&mut self, now: MonoTime, outcome: StoreOutcome) {
        let Some(job) = self.upkeep.in_flight.take() else {
            return;
        };
        match (outcome, job) {
            (StoreOutcome::Appended { .. }, UpkeepJob::Snapshot(snapshot)) => {
                if let Some(snapshot) = self.upkeep.finish_call(snapshot) {
                    self.journal.release(snapshot.end);
                    let keys = snapshot.ended.into_iter().flat_map(job_keys);
                    self.upkeep.removals.extend(keys);
                }
            }
            (StoreOutcome::Appended { .. }, UpkeepJob::Remove(keys)) => {
                self.upkeep.note_removed(&keys);
            }
            (StoreOutcome::Appended { .. }, UpkeepJob::Publish) => {}
            (other, job) => {
                let detail = format!("job={} outcome={other:?}", job.name());
                self.log("upkeep_failed", "store", detail);
                self.upkeep.restore(job);
                self.upkeep.not_before = now.plus(UPKEEP_BACKOFF);
            }
        }
    }

    /// Begins a snapshot, which is followed by the removal of the bodies of jobs that it lists as ended.
    pub(super) fn save_snapshot(
        &mut self,
        now: MonoTime,
        ledger: JobLedger,
        ended: Vec<JobId>,
        end: StreamOffset,
    ) {
        self.upkeep.snapshot_at = now.plus(SNAPSHOT_INTERVAL);
        self.republish(now);
        let expired = self.early_cancels.expire(now).into_iter().map(cancel_key);
        self.upkeep.removals.extend(expired);
        self.log("impact_learned", end, self.interference.describe());
        self.upkeep.encoding = Some((SnapshotEncoder::new(ledger, end), ended));
        self.forget_ended(now);
    }

    /// Forgets jobs that ended long ago. A job whose body may still be in the store stays known, since
    /// the next planner would take it for a new one.
    fn forget_ended(&mut self, now: MonoTime) {
        let old = self.ledger.ages.older_than(RETAINED_HEARTBEATS);
        let over = old.filter(|job| {
            !self.upkeep.unremoved.contains(job) && !self.ledger.jobs.contains_key(job)
        });
        let jobs: Box<[_]> = over.take(MAX_FORGOTTEN).collect();
        if !jobs.is_empty() {
            self.record(now, PlanRecord::Forgotten { jobs });
        }
    }
}

/// Splits the records of a snapshot into calls that the store accepts.
fn split_calls(records: Vec<NewRecord>) -> VecDeque<Vec<NewRecord>> {
    let mut calls = VecDeque::from([Vec::new()]);
    let mut size = 0;
    for record in records {
        let bytes = record.value.as_ref().map_or(0, Bytes::len);
        if size + bytes > MAX_CALL_BYTES {
            calls.push_back(Vec::new());
            size = 0;
        }
        size += bytes;
        if let Some(call) = calls.back_mut() {
            call.push(record);
        }
    }
    calls
}

/// Returns the keys of the body and of the cancellation of a job.
fn job_keys(job: JobId) -> [Box<str>; 2] {
    [format!("{JOB_PREFIX}{job}").into(), cancel_key(job)]
}

fn cancel_key(job: JobId) -> Box<str> {
    format!("{CANCEL_PREFIX}{job}").into()
}

/// Returns the records that remove keys of the jobs stream.
fn removal_records(keys: &[Box<str>]) -> Vec<NewRecord> {
    let record = |key| NewRecord {
        key: Some(key),
        value: None,
    };
    keys.iter().cloned().map(record).collect()
}
