//! Appends the planner's records: attempts to the cell's stream, ownership to the jobs stream.

use crate::cell_log::{AttemptState, CellState, LatestAttempt};
use crate::event_context::EventContext;
use crate::job_log::JobState;
use crate::planner::claims::{self, ClaimScope};
use crate::planner::reconcile::{self, AbsentAttempt, LossPolicy};
use crate::planner::tasks::{OwnedTask, TaskState};
use crate::planner::{CellPlanner, PlannerInputs};
use crate::stream::{StreamReader, StreamState};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, HostId, TaskId};
use hornbeamlead_core::note::{DeliveryMode, JobSpec};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, JobEntry, JobRecord,
};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::TaskPhase;
use std::time::Duration;

/// Maximum number of changes in one record of the cell's stream.
const CHANGES_PER_RECORD: usize = 256;

/// Time between snapshots of a stream, well below the retention time of the log.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Number of distinct delays by which planners stagger their snapshots of the jobs.
const SNAPSHOT_SLOTS: u32 = 64;

/// Difference between two such delays, longer than a read interval and an append.
const SNAPSHOT_SLOT_SPACING: Duration = Duration::from_millis(750);

/// Failures of a task on hosts not suspected of causing them, after which it fails permanently.
const MAX_FAILURES: usize = 3;

impl CellPlanner {
    /// Appends changes of attempts and new starts to the cell's stream, one record at a time.
    pub(super) fn write_cell(
        &mut self,
        jobs: &StreamReader<JobState>,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) {
        if !self.cell_appender.is_idle() {
            return;
        }
        self.prune_orders(inputs.cell);
        if self.snapshot_cell(jobs.state(), inputs.cell, context) {
            return;
        }
        self.cancel_stale_orders(tasks, context);
        let mut changes = self.changes(inputs, context);
        if self.may_start(jobs, inputs, context) {
            changes.extend(self.plan_starts(jobs.state(), tasks, context));
        }
        changes.truncate(CHANGES_PER_RECORD);
        if changes.is_empty() {
            return;
        }
        let epoch = self.epoch;
        self.append_cell(CellEntry::Attempts { epoch, changes }, context);
    }

    fn append_cell(&mut self, entry: CellEntry, context: &mut EventContext<'_>) {
        let id = self.next_id();
        let record = CellRecord {
            id: id.clone(),
            entry,
        };
        self.cell_appender
            .append(id, AppendRecord::Cell(record), context);
    }

    /// Appends a snapshot of the cell if one is due; returns whether it did.
    fn snapshot_cell(
        &mut self,
        jobs: &JobState,
        cell: &CellState,
        context: &mut EventContext<'_>,
    ) -> bool {
        let records = cell.next().0.saturating_sub(self.cell_snapshot_to.0);
        let many = records >= self.schedule().snapshot_records;
        if context.mono() < self.next_cell_snapshot && !many {
            return false;
        }
        self.next_cell_snapshot = context.mono().plus(SNAPSHOT_INTERVAL);
        self.cell_snapshot_to = cell.next();
        let own = self.cell_id();
        let snapshot = cell.snapshot(|task| jobs.owns(own, task) || runs(cell, task));
        self.append_cell(CellEntry::Snapshot(snapshot), context);
        true
    }

    /// Removes orders, evictions and speeds of attempts that the log does not show as started.
    fn prune_orders(&mut self, cell: &CellState) {
        self.orders
            .retain(|attempt, start| reconcile::runs_here(attempt, &start.host, cell));
        let current = |attempt: &AttemptId| {
            cell.attempts()
                .get(&attempt.task)
                .is_some_and(|latest| latest.number == attempt.number && is_started(latest))
        };
        self.evicting.retain(|attempt| current(attempt));
        self.speeds.retain(|attempt, _| current(attempt));
    }

    fn changes(
        &mut self,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Vec<AttemptRecord> {
        let mut records = Vec::new();
        for (task, latest) in inputs.cell.attempts() {
            let AttemptState::Started { host } = &latest.state else {
                continue;
            };
            let attempt = AttemptId {
                task: task.clone(),
                number: latest.number,
            };
            let Some(change) = self.change(&attempt, latest, host, inputs, context) else {
                continue;
            };
            records.push(AttemptRecord { attempt, change });
            if records.len() == CHANGES_PER_RECORD {
                break;
            }
        }
        records
    }

    fn change(
        &mut self,
        attempt: &AttemptId,
        latest: &LatestAttempt,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Option<AttemptChange> {
        let loss_policy = LossPolicy::of(delivery(context.fleet, &attempt.task));
        let lapsed = self.is_lapsed(host, context.mono());
        let reported = self.hosts.get(host).and_then(|entry| entry.status(attempt));
        let change = match reported {
            Some(status) if !lapsed || status.phase != TaskPhase::Running => {
                let status = status.clone();
                let retries_exhausted = self.count_failure(&status, host);
                reconcile::reported_change(&status, latest, loss_policy, retries_exhausted)
            }
            Some(_) | None => {
                let absent = AbsentAttempt {
                    entry: self.hosts.get(host),
                    lapsed,
                    start: self.orders.get(attempt),
                    may_send: self.in_service(context.fleet) && inputs.notes_tail.is_some(),
                };
                reconcile::absent_change(&absent, loss_policy, context.mono(), self.schedule())
            }
        };
        self.log_change(attempt, host, lapsed, change.as_ref(), context);
        change
    }

    fn log_change(
        &self,
        attempt: &AttemptId,
        host: &HostId,
        lapsed: bool,
        change: Option<&AttemptChange>,
        context: &mut EventContext<'_>,
    ) {
        let rule = match change {
            Some(AttemptChange::Released { .. }) if lapsed => "lease_lapsed",
            Some(AttemptChange::Released { .. }) => "attempt_released",
            Some(AttemptChange::Ended { .. }) => "attempt_ended",
            Some(AttemptChange::Started { .. } | AttemptChange::Checkpointed { .. }) | None => {
                return;
            }
        };
        let inputs = format!("host={host} epoch={} change={change:?}", self.epoch);
        context.log_decision(rule, format!("task:{attempt}"), inputs);
    }

    /// Counts a failure; returns whether the task has failed permanently.
    fn count_failure(
        &mut self,
        status: &hornbeamlead_core::task::TaskStatus,
        host: &HostId,
    ) -> bool {
        if status.phase != TaskPhase::Failed || self.quarantine.is_suspect(host) {
            return false;
        }
        let hosts = self
            .failures
            .entry(status.attempt.task.clone())
            .or_default();
        if !hosts.contains(host) {
            hosts.push(host.clone());
        }
        hosts.len() >= MAX_FAILURES
    }

    pub(super) fn in_service(&self, fleet: &FleetState) -> bool {
        fleet.in_service(&self.identity.data_centre)
    }

    /// Appends the next record to the jobs stream, by priority: fence, urgent claims, ended tasks,
    /// releases, other claims, snapshot.
    pub(super) fn write_jobs(
        &mut self,
        jobs: &StreamReader<JobState>,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) {
        let fresh = self.jobs_poller.tail_read_at().is_some();
        if !self.job_appender.is_idle() || !fresh || jobs.has_gap() {
            return;
        }
        let Some(entry) = self.next_job_entry(jobs.state(), tasks, inputs, context) else {
            return;
        };
        self.releasing = matches!(entry, JobEntry::Release { .. });
        let id = self.next_id();
        let record = JobRecord {
            id: id.clone(),
            entry,
        };
        self.job_appender
            .append(id, AppendRecord::Job(record), context);
    }

    fn next_job_entry(
        &mut self,
        jobs: &JobState,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Option<JobEntry> {
        let (cell, epoch) = (self.cell_id(), self.epoch);
        if !self.is_fenced(jobs) {
            let tasks = Vec::new();
            return Some(JobEntry::Release { cell, epoch, tasks });
        }
        let urgent = self.claim_entry(ClaimScope::Urgent, jobs, tasks, inputs, context);
        if urgent.is_some() {
            return urgent;
        }
        let should_release = |task: &OwnedTask<'_>| self.should_release(task, context.fleet);
        let release = || claims::release_entry(cell, epoch, tasks, should_release);
        claims::ended_entry(cell, tasks)
            .or_else(|| inputs.notes_tail.and_then(|_| release()))
            .or_else(|| self.claim_entry(ClaimScope::All, jobs, tasks, inputs, context))
            .or_else(|| self.snapshot_jobs(jobs, context))
    }

    /// Returns whether the jobs stream shows this epoch, so that records of older planners are
    /// ignored.
    pub(super) fn is_fenced(&self, jobs: &JobState) -> bool {
        let position = jobs.position(self.cell_id());
        position.is_some_and(|position| position.epoch >= self.epoch)
    }

    /// Returns whether a waiting task should be released for other cells to claim.
    fn should_release(&self, task: &OwnedTask<'_>, fleet: &FleetState) -> bool {
        let Some(spec) = task.spec else {
            return false;
        };
        let allowed = claims::allows(spec, &self.identity.data_centre);
        if self.orders.contains_task(&task.task) {
            return false;
        }
        !self.in_service(fleet) || !allowed || self.infeasible.contains_key(&spec.name)
    }

    fn claim_entry(
        &mut self,
        scope: ClaimScope,
        jobs: &JobState,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        context: &mut EventContext<'_>,
    ) -> Option<JobEntry> {
        if inputs.notes_tail.is_none() || !self.in_service(context.fleet) {
            return None;
        }
        let (cell, epoch) = (self.cell_id(), self.epoch);
        let free = self.free_capacity(context.mono());
        let quotas = self.quotas(jobs, context.fleet);
        let waiting = |spec: &JobSpec| {
            let queued = tasks.iter().filter(|task| task.state == TaskState::Waiting);
            queued
                .filter_map(|task| task.spec)
                .filter(|other| other.urgent == spec.urgent && !quotas.is_spent(&other.team))
                .collect::<Vec<_>>()
        };
        for spec in claims::claimable(scope, context.fleet, jobs, &self.identity.data_centre) {
            if quotas.is_spent(&spec.team) || !self.is_feasible(spec, context) {
                continue;
            }
            let queued = waiting(spec);
            let queued_size = queued.iter().fold(ResourceSize::default(), |sum, other| {
                sum.plus(&self.reservation(other))
            });
            let left = free.minus(&queued_size);
            let size = self.reservation(spec);
            let fit_count = claims::fit_count(&size, &left).max(u32::from(queued.is_empty()));
            let range = (fit_count > 0)
                .then(|| claims::free_range(spec, jobs, fit_count))
                .flatten();
            if let Some(range) = range {
                return Some(JobEntry::Claim { cell, epoch, range });
            }
        }
        None
    }

    fn snapshot_jobs(&mut self, jobs: &JobState, context: &EventContext<'_>) -> Option<JobEntry> {
        let records = jobs.next().0.saturating_sub(self.job_snapshot_to.0);
        let many = records >= self.schedule().snapshot_records;
        if context.mono() < self.next_job_snapshot && !many {
            return None;
        }
        self.job_snapshot_to = jobs.next();
        self.postpone_job_snapshot(context.mono());
        let known = |job: &_| context.fleet.jobs().contains_key(job);
        Some(JobEntry::Snapshot(jobs.snapshot(known)))
    }

    /// Postpones this planner's next snapshot of the jobs, since one was just written.
    ///
    /// Planners of different cells use different delays, so that one of them writes for all.
    pub(super) fn postpone_job_snapshot(&mut self, now: MonoTime) {
        let wait = SNAPSHOT_INTERVAL + SNAPSHOT_SLOT_SPACING * (self.cell_id().0 % SNAPSHOT_SLOTS);
        self.next_job_snapshot = now.plus(wait);
    }
}

fn runs(cell: &CellState, task: &TaskId) -> bool {
    cell.attempts().get(task).is_some_and(is_started)
}

fn is_started(latest: &LatestAttempt) -> bool {
    matches!(latest.state, AttemptState::Started { .. })
}

pub(super) fn delivery(fleet: &FleetState, task: &TaskId) -> Option<DeliveryMode> {
    fleet.jobs().get(&task.job).map(|spec| spec.delivery)
}
