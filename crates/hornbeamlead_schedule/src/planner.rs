//! Planner of a cell, active while this agent holds the epoch.

pub(crate) mod claims;
pub(crate) mod hosts;
pub(crate) mod orders;
mod policy_step;
pub(crate) mod reconcile;
mod record_step;
mod reply_step;
mod start_step;
mod status;
pub(crate) mod tasks;
mod view;

use crate::cell_log::CellState;
use crate::event_context::EventContext;
use crate::interference::InterferenceGuard;
use crate::job_log::{JobState, writer_record_id};
use crate::learning::KindLearner;
use crate::planner::hosts::HostTable;
use crate::planner::orders::OrderTable;
use crate::planner::tasks::{OwnedTask, owned_tasks};
use crate::planner::view::CellViewTracker;
use crate::planner_lease::PlannerLease;
use crate::quarantine::HostQuarantine;
use crate::record_appender::RecordAppender;
use crate::stream::{StreamReader, StreamState};
use crate::stream_poller::StreamPoller;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::ids::{
    AttemptId, CellId, Epoch, HostId, JobName, LogOffset, RecordId, TaskId,
};
use hornbeamlead_core::message::control::{CellView, HostHeartbeat, PromiseGrant};
use hornbeamlead_core::policy::{AgentPolicy, ProcessIdentity, SchedulePolicy};
use hornbeamlead_core::record::{
    JobEntry, JobRecord, LogBatch, LogError, StreamName, WriterPosition,
};
use std::collections::{BTreeMap, BTreeSet};

/// State of the streams that are read by the agent and not by the planner itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannerInputs<'a> {
    /// State of the cell's stream.
    pub(crate) cell: &'a CellState,
    /// Start of the newest read of the notes' tail; `None` while the configuration lags.
    pub(crate) notes_tail: Option<MonoTime>,
}

/// Planner of a cell.
#[derive(Debug)]
pub(crate) struct CellPlanner {
    identity: ProcessIdentity,
    policy: AgentPolicy,
    planner_lease: PlannerLease,
    /// First epoch of the current term; later epochs of the term only name another successor.
    first_epoch: Epoch,
    epoch: Epoch,
    hosts: HostTable,
    jobs: StreamReader<JobState>,
    jobs_poller: StreamPoller,
    cell_appender: RecordAppender,
    job_appender: RecordAppender,
    /// Whether the newest append to the jobs stream releases tasks.
    releasing: bool,
    sequence: u64,
    orders: OrderTable,
    view: CellViewTracker,
    next_batch: MonoTime,
    /// Whether new records were read since the last planning step.
    changed: bool,
    next_cell_snapshot: MonoTime,
    next_job_snapshot: MonoTime,
    /// Offset of the cell's stream up to which its newest snapshot reaches.
    cell_snapshot_to: LogOffset,
    /// Offset of the jobs stream up to which its newest snapshot reaches.
    job_snapshot_to: LogOffset,
    next_promise_request: MonoTime,
    learner: KindLearner,
    guard: InterferenceGuard,
    quarantine: HostQuarantine,
    /// Target speeds of throttled attempts, in percent.
    speeds: BTreeMap<AttemptId, u8>,
    /// Attempts to be checkpointed and stopped because they interfere with a service.
    evicting: BTreeSet<AttemptId>,
    /// Hosts on which each task failed, without hosts suspected of causing the failure.
    failures: BTreeMap<TaskId, Vec<HostId>>,
    infeasible: BTreeMap<JobName, Box<str>>,
    evictions: u64,
    /// When the data centre was first found drained; `None` while it is in service.
    drained_at: Option<MonoTime>,
}

impl CellPlanner {
    /// Starts a term.
    pub(crate) fn new(
        identity: ProcessIdentity,
        policy: AgentPolicy,
        planner_lease: PlannerLease,
        epoch: Epoch,
    ) -> Self {
        let stream = StreamName::Cell(policy.cell);
        let guard = InterferenceGuard::new(&policy.schedule);
        Self {
            identity,
            planner_lease,
            first_epoch: epoch,
            epoch,
            hosts: HostTable::default(),
            jobs: StreamReader::default(),
            jobs_poller: StreamPoller::new(StreamName::Jobs),
            cell_appender: RecordAppender::new(stream),
            job_appender: RecordAppender::new(StreamName::Jobs),
            releasing: false,
            sequence: 0,
            orders: OrderTable::default(),
            view: CellViewTracker::default(),
            next_batch: MonoTime(0),
            changed: true,
            next_cell_snapshot: MonoTime(0),
            next_job_snapshot: MonoTime(0),
            cell_snapshot_to: LogOffset(0),
            job_snapshot_to: LogOffset(0),
            next_promise_request: MonoTime(0),
            learner: KindLearner::default(),
            guard,
            quarantine: HostQuarantine::default(),
            speeds: BTreeMap::new(),
            evicting: BTreeSet::new(),
            failures: BTreeMap::new(),
            infeasible: BTreeMap::new(),
            evictions: 0,
            drained_at: None,
            policy,
        }
    }

    /// Continues under a new epoch that this planner claimed to name another successor.
    pub(crate) fn continue_with_epoch(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.sequence = 0;
        self.cell_appender.abandon();
        self.job_appender.abandon();
        self.planner_lease.clear_promise();
    }

    pub(crate) fn planner_lease_mut(&mut self) -> &mut PlannerLease {
        &mut self.planner_lease
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the view of the cell; `None` before the first one.
    pub(crate) fn view(&self) -> Option<&CellView> {
        self.view.view()
    }

    /// Returns whether the planner may renew host leases now.
    pub(crate) fn may_renew(&self, now: MonoTime) -> bool {
        self.planner_lease.may_renew(now, self.schedule())
    }

    /// Returns whether the last tail read is recent enough to start and move tasks.
    pub(crate) fn is_fresh(&self, now: MonoTime) -> bool {
        self.planner_lease.is_fresh(now, self.schedule())
    }

    /// Accepts a promise if it is from the named successor and for the current epoch.
    pub(crate) fn accept_promise(&mut self, grant: &PromiseGrant, cell: &CellState) {
        let named = cell
            .successor()
            .is_some_and(|name| name.host == grant.successor);
        if named && grant.epoch == self.epoch {
            self.planner_lease.accept_promise(grant);
        }
    }

    /// Handles a heartbeat and returns the reply; `None` for an outdated heartbeat.
    pub(crate) fn handle_heartbeat(
        &mut self,
        heartbeat: &HostHeartbeat,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Option<hornbeamlead_core::message::control::HeartbeatReply> {
        if !self
            .hosts
            .apply_heartbeat(heartbeat, self.first_epoch, context.mono())
        {
            return None;
        }
        self.observe(heartbeat, context);
        self.reply(&heartbeat.host, inputs, context)
    }

    /// Handles the result of a read of the jobs stream.
    pub(crate) fn handle_jobs_read(
        &mut self,
        began: MonoTime,
        result: Result<&LogBatch<JobRecord>, LogError>,
        context: &mut EventContext<'_>,
    ) {
        let interval = self.policy.schedule.read_interval;
        match result {
            Ok(batch) => {
                let at_tail = self.jobs.take(batch);
                self.changed |= !batch.records.is_empty();
                for log_record in &batch.records {
                    self.job_appender
                        .acknowledge(JobState::id(&log_record.record));
                    if let JobEntry::Snapshot(snapshot) = &log_record.record.entry {
                        self.job_snapshot_to = self.job_snapshot_to.max(snapshot.up_to);
                        self.postpone_job_snapshot(context.mono());
                    }
                }
                self.jobs_poller
                    .finish(began, at_tail, context.mono(), interval);
                if at_tail {
                    self.job_appender.retry_failed(began, context);
                }
            }
            Err(LogError::Truncated { oldest }) => {
                self.jobs.skip_truncated(oldest);
                self.jobs_poller
                    .finish(began, false, context.mono(), interval);
            }
            Err(LogError::Unavailable) => {
                self.jobs_poller.fail(context.mono(), interval);
                context.count_retry(RetryReason::LogRead);
            }
        }
    }

    /// Acknowledges records read from the cell's stream; `tail` is the start of a read that reached
    /// the tail.
    pub(crate) fn acknowledge_cell_records<'a>(
        &mut self,
        ids: impl Iterator<Item = &'a RecordId>,
        tail: Option<MonoTime>,
        context: &mut EventContext<'_>,
    ) {
        for id in ids {
            self.cell_appender.acknowledge(id);
            self.changed = true;
        }
        if let Some(began) = tail {
            self.planner_lease.record_tail_read(began);
            self.cell_appender.retry_failed(began, context);
        }
    }

    /// Handles the result of an append; a successful one triggers a read.
    pub(crate) fn handle_append(
        &mut self,
        stream: &StreamName,
        id: &RecordId,
        failed: bool,
        now: MonoTime,
    ) {
        if failed {
            self.cell_appender.fail(id, now);
            self.job_appender.fail(id, now);
        }
        if *stream == StreamName::Jobs && !failed {
            self.jobs_poller.poll_now();
        }
    }

    /// Performs all work that is due.
    pub(crate) fn tick(&mut self, inputs: PlannerInputs<'_>, context: &mut EventContext<'_>) {
        self.jobs_poller.start(self.jobs.cursor(), context);
        self.request_promise(inputs.cell, context);
        self.update_view(context.mono());
        self.update_drain(context);
        let plan_due = std::mem::take(&mut self.changed) || context.mono() >= self.next_batch;
        if !plan_due || !self.planner_lease.is_fresh(context.mono(), self.schedule()) {
            return;
        }
        let jobs = std::mem::take(&mut self.jobs);
        let tasks = owned_tasks(self.policy.cell, jobs.state(), inputs.cell, context.fleet);
        if context.mono() >= self.next_batch || self.has_urgent(&tasks) {
            self.next_batch = context.mono().plus(self.schedule().batch_interval);
            self.write_cell(&jobs, &tasks, inputs, context);
        }
        self.write_jobs(&jobs, &tasks, inputs, context);
        self.jobs = jobs;
        self.send_pending_starts(inputs, context);
    }

    /// Returns when work is due next.
    pub(crate) fn due(&self) -> MonoTime {
        let read = self.jobs_poller.due();
        read.min(self.next_batch).min(self.next_promise_request)
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
        writer_record_id(&WriterPosition {
            cell: self.cell_id(),
            epoch: self.epoch,
            sequence: self.sequence,
        })
    }

    fn is_lapsed(&self, host: &HostId, now: MonoTime) -> bool {
        let renewed = self.hosts.get(host).and_then(|entry| entry.renewed);
        self.planner_lease.has_lapsed(renewed, now, self.schedule())
    }
}
