//! Records of the planner: changes of attempts to the cell's stream, ownership to the jobs stream.

use crate::cell_log::{AttemptState, CellState, LatestAttempt};
use crate::job_log::JobState;
use crate::planner::claims::{self, ClaimScope};
use crate::planner::reconcile::{self, AbsentAttempt, LossRule};
use crate::planner::tasks::{OwnedTask, TaskState};
use crate::planner::{CellPlanner, PlannerInputs};
use crate::stream::{StreamReader, StreamState};
use crate::turn::TurnContext;
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

/// Changes in one record of the cell's stream, at most.
const CHANGES_PER_RECORD: usize = 256;

/// Time between snapshots of a stream, well within the time for which the log keeps records.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Planners that wait for different spans before they write a snapshot of the jobs.
const SNAPSHOT_TURNS: u32 = 64;

/// Difference between two such spans, longer than a read interval and an append.
const SNAPSHOT_TURN: Duration = Duration::from_millis(750);

/// Failures of a task on sound hosts after which it has failed for good.
const MAX_FAILURES: usize = 3;

impl CellPlanner {
    /// Appends what changed and what is to be started, one record at a time.
    pub(super) fn write_cell(
        &mut self,
        jobs: &StreamReader<JobState>,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) {
        if !self.cell_slot.is_free() {
            return;
        }
        self.settle_orders(inputs.cell);
        if self.snapshot_cell(jobs.state(), inputs.cell, turn) {
            return;
        }
        self.plan_policy(tasks, turn);
        let mut changes = self.changes(inputs, turn);
        if self.may_start(jobs, inputs, turn) {
            changes.extend(self.plan_starts(jobs.state(), tasks, turn));
        }
        changes.truncate(CHANGES_PER_RECORD);
        if changes.is_empty() {
            return;
        }
        let epoch = self.epoch;
        self.append_cell(CellEntry::Attempts { epoch, changes }, turn);
    }

    fn append_cell(&mut self, entry: CellEntry, turn: &mut TurnContext<'_>) {
        let id = self.next_id();
        let record = CellRecord {
            id: id.clone(),
            entry,
        };
        self.cell_slot.append(id, AppendRecord::Cell(record), turn);
    }

    /// Writes the cell's state again if that is due; returns whether it was.
    fn snapshot_cell(
        &mut self,
        jobs: &JobState,
        cell: &CellState,
        turn: &mut TurnContext<'_>,
    ) -> bool {
        let records = cell.next().0.saturating_sub(self.cell_snapshot_to.0);
        let many = records >= self.schedule().snapshot_records;
        if turn.mono() < self.next_cell_snapshot && !many {
            return false;
        }
        self.next_cell_snapshot = turn.mono().plus(SNAPSHOT_INTERVAL);
        self.cell_snapshot_to = cell.next();
        let own = self.cell_id();
        let snapshot = cell.snapshot(|task| jobs.owns(own, task) || runs(cell, task));
        self.append_cell(CellEntry::Snapshot(snapshot), turn);
        true
    }

    /// Drops the orders that the log shows as over, or that never became records.
    fn settle_orders(&mut self, cell: &CellState) {
        self.orders
            .retain(|attempt, start| reconcile::runs_here(attempt, &start.host, cell));
        let current = |attempt: &AttemptId| {
            cell.attempts()
                .get(&attempt.task)
                .is_some_and(|standing| standing.number == attempt.number && is_started(standing))
        };
        self.evicting.retain(|attempt| current(attempt));
        self.speeds.retain(|attempt, _| current(attempt));
    }

    fn changes(
        &mut self,
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) -> Vec<AttemptRecord> {
        let mut records = Vec::new();
        for (task, standing) in inputs.cell.attempts() {
            let AttemptState::Started { host } = &standing.state else {
                continue;
            };
            let attempt = AttemptId {
                task: task.clone(),
                number: standing.number,
            };
            let Some(change) = self.change(&attempt, standing, host, inputs, turn) else {
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
        standing: &LatestAttempt,
        host: &HostId,
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) -> Option<AttemptChange> {
        let rule = LossRule::of(delivery(turn.fleet, &attempt.task));
        let lapsed = self.is_lapsed(host, turn.mono());
        let reported = self.hosts.get(host).and_then(|entry| entry.status(attempt));
        let change = match reported {
            Some(status) if !lapsed || status.phase != TaskPhase::Running => {
                let status = status.clone();
                let give_up = self.count_failure(&status, host);
                reconcile::reported_change(&status, standing, rule, give_up)
            }
            Some(_) | None => {
                let absent = AbsentAttempt {
                    entry: self.hosts.get(host),
                    lapsed,
                    start: self.orders.get(attempt),
                    may_send: self.in_service(turn.fleet) && inputs.notes_tail.is_some(),
                };
                reconcile::absent_change(&absent, rule, turn.mono(), self.schedule())
            }
        };
        self.explain(attempt, host, lapsed, change.as_ref(), turn);
        change
    }

    fn explain(
        &self,
        attempt: &AttemptId,
        host: &HostId,
        lapsed: bool,
        change: Option<&AttemptChange>,
        turn: &mut TurnContext<'_>,
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
        turn.decide(rule, format!("task:{attempt}"), inputs);
    }

    /// Counts a failure; returns whether the task has failed for good.
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
        fleet.in_service(&self.place.data_centre)
    }

    /// Appends the next record to the jobs stream: fence, ends, releases, claims, snapshot.
    pub(super) fn write_jobs(
        &mut self,
        jobs: &StreamReader<JobState>,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) {
        let fresh = self.jobs_read.tail_began().is_some();
        if !self.job_slot.is_free() || !fresh || jobs.has_gap() {
            return;
        }
        let Some(entry) = self.next_job_entry(jobs.state(), tasks, inputs, turn) else {
            return;
        };
        self.releasing = matches!(entry, JobEntry::Release { .. });
        let id = self.next_id();
        let record = JobRecord {
            id: id.clone(),
            entry,
        };
        self.job_slot.append(id, AppendRecord::Job(record), turn);
    }

    fn next_job_entry(
        &mut self,
        jobs: &JobState,
        tasks: &[OwnedTask<'_>],
        inputs: PlannerInputs<'_>,
        turn: &mut TurnContext<'_>,
    ) -> Option<JobEntry> {
        let (cell, epoch) = (self.cell_id(), self.epoch);
        if !self.is_fenced(jobs) {
            let tasks = Vec::new();
            return Some(JobEntry::Release { cell, epoch, tasks });
        }
        let urgent = self.claim_entry(ClaimScope::Urgent, jobs, tasks, inputs, turn);
        if urgent.is_some() {
            return urgent;
        }
        let unwanted = |task: &OwnedTask<'_>| self.is_unwanted(task, turn.fleet);
        let release = || claims::release_entry(cell, epoch, tasks, unwanted);
        claims::ended_entry(cell, tasks)
            .or_else(|| inputs.notes_tail.and_then(|_| release()))
            .or_else(|| self.claim_entry(ClaimScope::All, jobs, tasks, inputs, turn))
            .or_else(|| self.snapshot_jobs(jobs, turn))
    }

    /// Returns whether the jobs stream shows this epoch, so that older planners' records are void.
    pub(super) fn is_fenced(&self, jobs: &JobState) -> bool {
        let mark = jobs.mark(self.cell_id());
        mark.is_some_and(|mark| mark.epoch >= self.epoch)
    }

    /// Returns whether a waiting task is to be given up for other cells to claim.
    fn is_unwanted(&self, task: &OwnedTask<'_>, fleet: &FleetState) -> bool {
        let Some(spec) = task.spec else {
            return false;
        };
        let allowed = claims::allows(spec, &self.place.data_centre);
        if self.orders.holds(&task.task) {
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
        turn: &mut TurnContext<'_>,
    ) -> Option<JobEntry> {
        if inputs.notes_tail.is_none() || !self.in_service(turn.fleet) {
            return None;
        }
        let (cell, epoch) = (self.cell_id(), self.epoch);
        let room = self.free_room(turn.mono());
        let quotas = self.quotas(jobs, turn.fleet);
        let waiting = |spec: &JobSpec| {
            let queued = tasks.iter().filter(|task| task.state == TaskState::Waiting);
            queued
                .filter_map(|task| task.spec)
                .filter(|other| other.urgent == spec.urgent && !quotas.is_spent(&other.team))
                .collect::<Vec<_>>()
        };
        for spec in claims::claimable(scope, turn.fleet, jobs, &self.place.data_centre) {
            if quotas.is_spent(&spec.team) || !self.is_feasible(spec, turn) {
                continue;
            }
            let queued = waiting(spec);
            let queued_size = queued.iter().fold(ResourceSize::default(), |sum, other| {
                sum.plus(&self.reservation(other))
            });
            let left = room.minus(&queued_size);
            let size = self.reservation(spec);
            let fits = claims::fit_count(&size, &left).max(u32::from(queued.is_empty()));
            let range = (fits > 0)
                .then(|| claims::free_range(spec, jobs, fits))
                .flatten();
            if let Some(range) = range {
                return Some(JobEntry::Claim { cell, epoch, range });
            }
        }
        None
    }

    fn snapshot_jobs(&mut self, jobs: &JobState, turn: &TurnContext<'_>) -> Option<JobEntry> {
        let records = jobs.next().0.saturating_sub(self.job_snapshot_to.0);
        let many = records >= self.schedule().snapshot_records;
        if turn.mono() < self.next_job_snapshot && !many {
            return None;
        }
        self.job_snapshot_to = jobs.next();
        self.put_job_snapshot_off(turn.mono());
        let known = |job: &_| turn.fleet.jobs().contains_key(job);
        Some(JobEntry::Snapshot(jobs.snapshot(known)))
    }

    /// Puts this planner's next snapshot of the jobs off, since one was just written.
    ///
    /// Planners wait for different spans, so that one of them writes for all.
    pub(super) fn put_job_snapshot_off(&mut self, now: MonoTime) {
        let wait = SNAPSHOT_INTERVAL + SNAPSHOT_TURN * (self.cell_id().0 % SNAPSHOT_TURNS);
        self.next_job_snapshot = now.plus(wait);
    }
}

fn runs(cell: &CellState, task: &TaskId) -> bool {
    cell.attempts().get(task).is_some_and(is_started)
}

fn is_started(standing: &LatestAttempt) -> bool {
    matches!(standing.state, AttemptState::Started { .. })
}

pub(super) fn delivery(fleet: &FleetState, task: &TaskId) -> Option<DeliveryMode> {
    fleet.jobs().get(&task.job).map(|spec| spec.delivery)
}
