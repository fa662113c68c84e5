//! Handles new jobs and cancellations, and decides when a job has ended.

use super::PlannerMachine;
use super::batch::DeferredAction;
use crate::effect::Effect;
use crate::entry::{CANCEL_PREFIX, JOB_PREFIX};
use crate::follow::FollowOutcome;
use crate::ids::{JobId, RunName, TaskName};
use crate::job::{JobPhase, JobRecord, StepSpec};
use crate::ledger::{JobState, StepState, TaskState};
use crate::operators::OperatorFormat;
use crate::record::{PlanRecord, decode};
use crate::store::{ReadRecord, StoreOutcome};
use hornbeamlead_core::clock::MonoTime;
use std::sync::Arc;

/// Returns whether a record of the jobs stream is a cancellation.
pub(super) fn is_cancel(record: &ReadRecord) -> bool {
    record.key.starts_with(CANCEL_PREFIX)
}

/// Returns the job of which a record of the jobs stream holds the body.
pub(super) fn job_of(record: &ReadRecord) -> Option<JobId> {
    record.key.strip_prefix(JOB_PREFIX)?.parse().ok()
}

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn handle_jobs_read(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match self.jobs_follower.take(now, outcome) {
            FollowOutcome::Records { records, .. } => self.apply_jobs(now, &records),
            // The planner could not read the store for longer than records are retained.
            FollowOutcome::Expired { .. } => self.depose("jobs_expired"),
            FollowOutcome::Failed => {}
        }
    }

    pub(super) fn apply_jobs(&mut self, now: MonoTime, records: &[ReadRecord]) {
        for record in records {
            let Some(value) = record.value.as_deref() else {
                continue;
            };
            let job = record.key.strip_prefix(JOB_PREFIX).map(str::parse::<JobId>);
            let cancel = record
                .key
                .strip_prefix(CANCEL_PREFIX)
                .map(str::parse::<JobId>);
            match (job, cancel) {
                (Some(Ok(job)), _) => self.accept_job(now, job, value),
                (_, Some(Ok(job))) => self.cancel_job(now, job),
                _ => {
                    let detail = format!("offset={} key={:?}", record.offset, record.key);
                    self.log("job_unreadable", "jobs", detail);
                }
            }
        }
    }

    fn accept_job(&mut self, now: MonoTime, job: JobId, value: &[u8]) {
        let ended = self.ledger.ended.contains_key(&job);
        if ended {
            self.upkeep.remove_body(job);
        }
        let known = self.ledger.jobs.get(&job);
        if ended && known.is_none() {
            return;
        }
        if known.is_some_and(|state| state.record.is_some()) {
            return;
        }
        let is_new = known.is_none();
        match decode::<JobRecord>(value) {
            Ok(record) if record.body.validation_error().is_some() => {
                let cause = record.body.validation_error().unwrap_or_default();
                self.log("job_unreadable", job, format!("cause={cause:?}"));
            }
            Ok(record) => {
                let queue = record.terms.queue.clone();
                if is_new {
                    let steps = record.body.steps.len();
                    self.log("job_taken", job, format!("queue={queue} steps={steps}"));
                    self.record(now, PlanRecord::Accepted { job, queue });
                }
                self.ledger.set_record(job, Arc::new(record));
                match self.early_cancels.take(job) {
                    true => self.cancel_job(now, job),
                    false => self.open_job(job),
                }
            }
            Err(error) => {
                let cause = error.to_string();
                self.log("job_unreadable", job, format!("cause={cause:?}"));
            }
        }
        self.pass_needed = true;
    }

    /// Opens the only occurrence of a one-off job. Occurrences of scheduled jobs open when due.
    fn open_job(&mut self, job: JobId) {
        let record = self.ledger.jobs.get(&job).and_then(|it| it.record.as_ref());
        if record.is_some_and(|record| record.body.schedule.times == 0) {
            self.ledger.open_occurrence(job, 0);
        }
        if let Some(state) = self.ledger.jobs.get(&job) {
            self.work.add_job(job, state);
        }
    }

    fn cancel_job(&mut self, now: MonoTime, job: JobId) {
        match self.ledger.phase(job) {
            Some(phase) if !phase.is_final() => {
                self.log("job_cancelled", job, format!("phase={phase}"));
                self.close_job(now, job, JobPhase::Cancelled);
            }
            // The body may have been removed before the cancellation was stored.
            Some(_) => self.upkeep.remove_body(job),
            None => {
                self.log("cancel_unknown", job, String::new());
                self.early_cancels.keep(now, job);
            }
        }
    }

    /// Closes a job and stops its running attempts. The attempts of a completed job are members of
    /// gangs, which end by themselves.
    pub(super) fn close_job(&mut self, now: MonoTime, job: JobId, phase: JobPhase) {
        let runs: Vec<RunName> = match self.ledger.jobs.get(&job) {
            Some(state) if phase != JobPhase::Completed => {
                state.runs(job).map(|(run, _)| run).collect()
            }
            _ => Vec::new(),
        };
        self.record(now, PlanRecord::Closed { job, phase });
        self.upkeep.remove_body(job);
        for run in runs {
            self.batch.defer(DeferredAction::Stop(run));
        }
    }

    /// Closes the jobs whose end an earlier planner recorded without closing them.
    pub(super) fn check_job_outcomes(&mut self, now: MonoTime) {
        let jobs = self.ledger.jobs.iter();
        let begun = jobs.filter(|(_, state)| state.phase != JobPhase::Queued);
        let begun: Vec<_> = begun
            .map(|(&job, state)| (job, has_exhausted_task(state)))
            .collect();
        for (job, is_exhausted) in begun {
            self.check_job_outcome(now, job, is_exhausted);
        }
    }

    /// Closes a job if the end of an attempt decides it.
    pub(super) fn check_end(&mut self, now: MonoTime, task: TaskName) {
        let is_exhausted = self.ledger.task(task).is_some_and(|(state, task_state)| {
            let spec = state.spec(task.step);
            spec.is_some_and(|spec| is_exhausted(state, spec, task_state))
        });
        self.check_job_outcome(now, task.step.job, is_exhausted);
    }

    /// Closes a job if all its tasks are done, or if a task has used up its attempts or crashes its
    /// workers.
    pub(super) fn check_job_outcome(&mut self, now: MonoTime, job: JobId, is_exhausted: bool) {
        let unrest = self.unrest(now);
        let Some(state) = self.ledger.jobs.get(&job) else {
            return;
        };
        if state.record.is_none() || state.phase.is_final() {
            return;
        }
        let crashed = self.ledger.conclusive_crashes(job, unrest);
        let (phase, cause) = match crashed {
            _ if is_exhausted => (JobPhase::Failed, String::new()),
            _ if state.is_done() => (JobPhase::Completed, String::new()),
            Some((slot, crashes)) => {
                let cause = format!(
                    " cause=crashed_workers step={} index={} crashes={} certain={}",
                    slot.step, slot.index, crashes.count, crashes.certain
                );
                self.effects.push(Effect::Count("job_given_up"));
                (JobPhase::Failed, cause)
            }
            None => return,
        };
        self.log("job_ended", job, format!("phase={phase}{cause}"));
        self.close_job(now, job, phase);
    }
}

/// Returns whether a task of a job has used up its attempts.
fn has_exhausted_task(state: &JobState) -> bool {
    let Some(record) = &state.record else {
        return false;
    };
    let exhausted = |(step, spec): (&StepState, &StepSpec)| {
        let mut tasks = step.touched();
        tasks.any(|(_, task)| is_exhausted(state, spec, task))
    };
    let mut occurrences = state.occurrences.values();
    occurrences.any(|open| open.steps.iter().zip(&record.body.steps).any(exhausted))
}

/// Returns whether a task has used up its attempts. Long-running tasks have any number.
fn is_exhausted(state: &JobState, spec: &StepSpec, task: &TaskState) -> bool {
    let attempts = state
        .record
        .as_ref()
        .map(|record| record.terms.max_attempts);
    let attempts = attempts.unwrap_or_default().max(1);
    !spec.long_running && !task.done && task.failures >= attempts
}
