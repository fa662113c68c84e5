//! Opens the occurrences of scheduled jobs that are due, a few ahead of those that run: a schedule may
//! have been due for hours.

use super::PlannerMachine;
use super::ready::saturating_signed;
use crate::effect::Effect;
use crate::ids::JobId;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::ClockReading;

/// Tasks of occurrences that have not started, from which on the next occurrence of the job is not
/// opened. A pass considers fewer steps of a job.
const MAX_UNSTARTED_TASKS: usize = 256;

/// Tasks of a job that may be open before its next occurrence has to wait. Occurrences may start faster
/// than they end.
const MAX_OPEN_TASKS: usize = 100_000;

/// Most occurrences that are opened at a time.
const MAX_OPENED: usize = 1000;

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Opens occurrences that are due.
    pub(super) fn open_due(&mut self, now: ClockReading) {
        for _ in 0..MAX_OPENED {
            let Some(job) = self.work.due_job(now.wall) else {
                return;
            };
            let Some(state) = self.ledger.jobs.get(&job).filter(|it| !it.phase.is_final()) else {
                self.work.remove_job(job);
                continue;
            };
            let Some(plan) = self.work.plan(job) else {
                return;
            };
            let size = plan.record.body.task_count();
            let next = state.next_occurrence();
            let (open, unstarted) = (state.unfinished_tasks(), state.unstarted_tasks());
            let is_full = open > 0 && open + size > MAX_OPEN_TASKS
                || unstarted > 0 && unstarted + size > MAX_UNSTARTED_TASKS;
            if is_full {
                let now_ms = saturating_signed(now.wall.0);
                let is_overdue = plan.overdue_at_ms(next).is_some_and(|at| now_ms >= at);
                let is_news = self.work.hold_next(job, is_overdue);
                if is_news {
                    self.report_deferred(job, next, open);
                }
                continue;
            }
            self.ledger.open_occurrence(job, next);
            self.work.note(job, next);
            if let Some(state) = self.ledger.jobs.get(&job) {
                self.work.plan_next(job, state);
            }
        }
    }

    /// Logs and counts that a schedule is behind: an occurrence that is overdue waits for earlier ones.
    fn report_deferred(&mut self, job: JobId, occurrence: u32, open_tasks: usize) {
        let detail = format!("occurrence={occurrence} open_tasks={open_tasks}");
        self.log("occurrence_deferred", job, detail);
        self.effects.push(Effect::Count("occurrence_deferred"));
    }
}
