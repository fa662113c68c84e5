//! Planner of a cell, for as long as this agent holds the epoch.

pub(crate) mod claims;
pub(crate) mod hosts;
pub(crate) mod orders;
mod policy_step;
pub(crate) mod reconcile;
mod record_step;
mod reply_step;
mod standing;
mod start_step;
pub(crate) mod tasks;
mod view;

use crate::appender::AppendSlot;
use crate::cell_log::CellState;
use crate::interference::InterferenceGuard;
use crate::job_log::{JobState, mark_id};
use crate::learning::KindLearner;
use crate::planner::hosts::HostBook;
use crate::planner::orders::OrderBook;
use crate::planner::tasks::{OwnedTask, owned_tasks};
use crate::planner::view::ViewKeeper;
use crate::quarantine::QuarantineBook;
use crate::read_slot::ReadSlot;
use crate::stream::{StreamReader, StreamState};
use crate::tenure::PlannerTenure;
use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::ids::{
    AttemptId, CellId, Epoch, HostId, JobName, LogOffset, RecordId, TaskId,
};
use hornbeamlead_core::message::control::{HostHeartbeat, PromiseGrant};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity, SchedulePolicy};
use hornbeamlead_core::record::{
    JobEntry, JobRecord, LogBatch, LogError, StreamName, WriterPosition,
};
use std::collections::{BTreeMap, BTreeSet};

/// What a planner reads of the streams that the agent follows anyway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannerInputs<'a> {
    /// State of the cell's stream.
    pub(crate) cell: &'a CellState,
    /// Clock before the newest read of the notes' tail; `None` while the configuration lags.
    pub(crate) notes_tail: Option<MonoTime>,
}

/// Planner of a cell.
#[derive(Debug)]
pub(crate) struct CellPlanner {
    place: ProcessIdentity,
    policy: AgentPolicy,
    tenure: PlannerTenure,
    /// First epoch of the unbroken term; later ones only name another successor.
    first_epoch: Epoch,
    epoch: Epoch,
    hosts: HostBook,
    jobs: StreamReader<JobState>,
    jobs_read: ReadSlot,
    cell_slot: AppendSlot,
    job_slot: AppendSlot,
    /// Whether the newest append to the jobs stream gives tasks up.
    releasing: bool,
    sequence: u64,
    orders: OrderBook,
    view: ViewKeeper,
    next_batch: MonoTime,
    /// Whether a stream brought something new since the last plan.
    changed: bool,
    next_cell_snapshot: MonoTime,
    next_job_snapshot: MonoTime,
    /// Offsets up to which the newest own snapshots go.
    cell_snapshot_to: LogOffset,
    job_snapshot_to: LogOffset,
    next_promise_ask: MonoTime,
    learner: KindLearner,
    guard: InterferenceGuard,
    quarantine: QuarantineBook,
    /// Speeds wanted for attempts, where not 100.
    speeds: BTreeMap<AttemptId, u8>,
    /// Attempts to be checkpointed and stopped by policy.
    evicting: BTreeSet<AttemptId>,
    /// Failures of a task on hosts that do not fail everything.
    failures: BTreeMap<TaskId, Vec<HostId>>,
    infeasible: BTreeMap<JobName, Box<str>>,
    evictions: u64,
    /// When the data centre was first seen to be drained; `None` while it is in service.
    drained_at: Option<MonoTime>,
}

impl CellPlanner {
    /// Begins a term.
    pub(crate) fn new(
        place: ProcessIdentity,
        policy: AgentPolicy,
        tenure: PlannerTenure,
        epoch: Epoch,
    ) -> Self {
        let stream = StreamName::Cell(policy.cell);
        let guard = InterferenceGuard::new(&policy.schedule);
        Self {
            place,
            tenure,
            first_epoch: epoch,
            epoch,
            hosts: HostBook::default(),
            jobs: StreamReader::default(),
            jobs_read: ReadSlot::new(StreamName::Jobs),
            cell_slot: AppendSlot::new(stream),
            job_slot: AppendSlot::new(StreamName::Jobs),
            releasing: false,
            sequence: 0,
            orders: OrderBook::default(),
            view: ViewKeeper::default(),
            next_batch: MonoTime(0),
            changed: true,
            next_cell_snapshot: MonoTime(0),
            next_job_snapshot: MonoTime(0),
            cell_snapshot_to: LogOffset(0),
            job_snapshot_to: LogOffset(0),
            next_promise_ask: MonoTime(0),
            learner: KindLearner::default(),
            guard,
            quarantine: QuarantineBook::default(),
            speeds: BTreeMap::new(),
            evicting: BTreeSet::new(),
            failures: BTreeMap::new(),
            infeasible: BTreeMap::new(),
            evictions: 0,
            drained_at: None,
            policy,
        }
    }

    /// Goes on under a new epoch that this planner claimed to name another successor.
    pub(crate) fn continue_as(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.sequence = 0;
        self.cell_slot.abandon();
        self.job_slot.abandon();
        self.tenure.drop_promise();
    }

    /// Returns the right to renew, to change.
    pub(crate) fn tenure_mut(&mut self) -> &mut PlannerTenure {
        &mut self.tenure
    }

    /// Returns the epoch.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether leases may be renewed at this moment.
    pub(crate) fn may_renew(&self, now: MonoTime) -> bool {
        self.tenure.may_renew(now, self.schedule())
    }

    /// Returns whether the log was read so recently that work may be started and moved.
    pub(crate) fn is_fresh(&self, now: MonoTime) -> bool {
        self.tenure.is_fresh(now, self.schedule())
    }

    /// Takes the successor's promise.
    pub(crate) fn take_promise(&mut self, grant: &PromiseGrant, cell: &CellState) {
        let named = cell
            .successor()
            .is_some_and(|name| name.host == grant.successor);
        if named && grant.epoch == self.epoch {
            self.tenure.take_promise(grant);
        }
    }

    /// Takes a heartbeat and answers it.
    pub(crate) fn take_heartbeat(
        &mut self,
        beat: &HostHeartbeat,
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) -> Option<hornbeamlead_core::message::control::HeartbeatReply> {
        if !self.hosts.take(beat, self.first_epoch, turn.mono()) {
            return None;
        }
        self.observe(beat, turn);
        self.reply(&beat.host, inputs, turn)
    }

    /// Takes a stretch of the jobs stream.
    pub(crate) fn take_jobs(
        &mut self,
        began: MonoTime,
        result: Result<&LogBatch<JobRecord>, LogError>,
        turn: &mut TurnContext<'_>,
    ) {
        let interval = self.policy.schedule.read_interval;
        match result {
            Ok(batch) => {
                let at_tail = self.jobs.take(batch);
                self.changed |= !batch.records.is_empty();
                for placed in &batch.records {
                    self.job_slot.settle(JobState::id(&placed.record));
                    if let JobEntry::Snapshot(snapshot) = &placed.record.entry {
                        self.job_snapshot_to = self.job_snapshot_to.max(snapshot.up_to);
                        self.put_job_snapshot_off(turn.mono());
                    }
                }
                self.jobs_read.finish(began, at_tail, turn.mono(), interval);
                if at_tail {
                    self.job_slot.repeat(began, turn);
                }
            }
            Err(LogError::Truncated { oldest }) => {
                self.jobs.skip_truncated(oldest);
                self.jobs_read.finish(began, false, turn.mono(), interval);
            }
            Err(LogError::Unavailable) => {
                self.jobs_read.fail(turn.mono(), interval);
                turn.retry(RetryReason::LogRead);
            }
        }
    }

    /// Notes the ids of records read from the cell's stream; `tail` is set when it was reached.
    pub(crate) fn take_cell_ids<'a>(
        &mut self,
        ids: impl Iterator<Item = &'a RecordId>,
        tail: Option<MonoTime>,
        turn: &mut TurnContext<'_>,
    ) {
        for id in ids {
            self.cell_slot.settle(id);
            self.changed = true;
        }
        if let Some(began) = tail {
            self.tenure.read_tail(began);
            self.cell_slot.repeat(began, turn);
        }
    }

    /// Notes the outcome of an append; a known position asks for a read at once.
    pub(crate) fn take_append(
        &mut self,
        stream: &StreamName,
        id: &RecordId,
        failed: bool,
        now: MonoTime,
    ) {
        if failed {
            self.cell_slot.fail(id, now);
            self.job_slot.fail(id, now);
        }
        if *stream == StreamName::Jobs && !failed {
            self.jobs_read.hurry();
        }
    }

    /// Does all that is due.
    pub(crate) fn tick(&mut self, inputs: PlannerInputs<'_>, turn: &mut TurnContext<'_>) {
        self.jobs_read.start(self.jobs.cursor(), turn);
        self.ask_promise(inputs.cell, turn);
        self.refresh_view(turn.mono());
        self.note_drain(turn);
        let wanted = std::mem::take(&mut self.changed) || turn.mono() >= self.next_batch;
        if !wanted || !self.tenure.is_fresh(turn.mono(), self.schedule()) {
            return;
        }
        let jobs = std::mem::take(&mut self.jobs);
        let tasks = owned_tasks(self.policy.cell, jobs.state(), inputs.cell, turn.fleet);
        if turn.mono() >= self.next_batch || self.has_urgent(&tasks) {
            self.next_batch = turn.mono().plus(self.schedule().batch_interval);
            self.write_cell(&jobs, &tasks, inputs, turn);
        }
        self.write_jobs(&jobs, &tasks, inputs, turn);
        self.jobs = jobs;
        self.push_starts(inputs, turn);
    }

    /// Returns when something is due next.
    pub(crate) fn due(&self) -> MonoTime {
        let read = self.jobs_read.due().unwrap_or(MonoTime::MAX);
        read.min(self.next_batch).min(self.next_promise_ask)
    }

    fn schedule(&self) -> &SchedulePolicy {
        &self.policy.schedule
    }

    fn cell_id(&self) -> CellId {
        self.policy.cell
    }

    fn has_urgent(&self, tasks: &[OwnedTask<'_>]) -> bool {
        tasks.iter().any(|task| {
            task.state == tasks::TaskState::Waiting && task.spec.is_some_and(|spec| spec.urgent)
        })
    }

    fn next_id(&mut self) -> RecordId {
        self.sequence += 1;
        mark_id(&WriterPosition {
            cell: self.cell_id(),
            epoch: self.epoch,
            sequence: self.sequence,
        })
    }

    fn is_lapsed(&self, host: &HostId, now: MonoTime) -> bool {
        let renewed = self.hosts.get(host).and_then(|entry| entry.renewed);
        self.tenure.has_lapsed(renewed, now, self.schedule())
    }
}
