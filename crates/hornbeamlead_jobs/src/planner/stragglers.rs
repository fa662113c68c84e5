//! Search for stragglers: attempts that run far longer than their siblings, or stand still.

use super::PlannerMachine;
use super::placement::TaskDemand;
use crate::ids::{HostName, RunName};
use crate::job::{JobRecord, StepSpec};
use crate::ledger::JobState;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::fmt;
use std::sync::Arc;

/// Least time without progress, and the share of the expected run time, after which an attempt
/// gets a copy.
const IDLE_LIMIT: (f64, f64) = (1000.0, 0.1);

/// Multiple of the next attempt's expected run time that the straggler must still need.
const WORTHWHILE_FACTOR: f64 = 1.25;

/// Time that it must need beyond that for the start of a copy, in milliseconds.
const COPY_START_MS: f64 = 500.0;

/// The same for a move, which takes a stop and a resumed start.
const MOVE_START_MS: f64 = 1500.0;

/// Attempt that runs far longer than its siblings.
pub(super) struct StragglingRun {
    pub(super) run: RunName,
    pub(super) host: HostName,
    pub(super) demand: TaskDemand,
    pub(super) record: Arc<JobRecord>,
    pub(super) remedy: StragglerRemedy,
    pub(super) finding: StragglerFinding,
}

/// What is done about a straggler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StragglerRemedy {
    Copy,
    Move,
}

/// Why an attempt is a straggler; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct StragglerFinding {
    cause: &'static str,
    elapsed_ms: f64,
    expected_ms: f64,
    /// Time that it still needs at its pace; infinite if it makes no progress.
    pub(super) remaining_ms: f64,
}

impl fmt::Display for StragglerFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (elapsed, expected) = (self.elapsed_ms, self.expected_ms);
        write!(f, "cause={} elapsed_ms={elapsed:.0} ", self.cause)?;
        write!(
            f,
            "expected_ms={expected:.0} remaining_ms={:.0}",
            self.remaining_ms
        )
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Returns the attempts that run far longer than their siblings, and what may be done about each.
    pub(super) fn stragglers(&self, now: MonoTime) -> Vec<StragglingRun> {
        let mut found = Vec::new();
        let prompt = self.batch.is_prompt(now);
        for view in self.hosts.values() {
            let may_stop = prompt && view.is_reachable(now);
            for (&run, demand) in &view.runs {
                let Some((job, spec, remedy)) = self.relievable(run) else {
                    continue;
                };
                if remedy == StragglerRemedy::Move && !may_stop {
                    continue;
                }
                let record = job.record.as_ref().map(Arc::clone);
                let finding = self.straggler_finding(now, run, job, spec, remedy);
                if let (Some(record), Some(finding)) = (record, finding) {
                    found.push(StragglingRun {
                        run,
                        host: view.host.clone(),
                        demand: *demand,
                        record,
                        remedy,
                        finding,
                    });
                }
            }
        }
        found
    }

    /// Returns the job and the step of an attempt that may get a copy or move. Both attempts may fail
    /// without using up those of the task. A task moves once; if it is slow again, it is slow anywhere.
    fn relievable(&self, run: RunName) -> Option<(&JobState, &StepSpec, StragglerRemedy)> {
        let (job, task) = self.ledger.task(run.task)?;
        let record = job.record.as_ref()?;
        let spec = job.spec(run.task.step)?;
        let movable = spec.checkpointing && !spec.best_effort;
        let remedy = match spec {
            _ if spec.gang || spec.long_running => None,
            _ if spec.copies => Some(StragglerRemedy::Copy),
            _ if movable && !self.ledger.failed_hosts.contains_key(&run.task) => {
                Some(StragglerRemedy::Move)
            }
            _ => None,
        }?;
        let single = task.placements.len() == 1 && !task.done;
        let attempts = u32::from(record.terms.max_attempts);
        let spare = u32::from(task.failures) + 2 <= attempts || remedy == StragglerRemedy::Move;
        let open = !job.phase.is_final() && record.body.schedule.times == 0;
        (single && spare && open).then_some((job, spec, remedy))
    }

    fn straggler_finding(
        &self,
        now: MonoTime,
        run: RunName,
        job: &JobState,
        spec: &StepSpec,
        remedy: StragglerRemedy,
    ) -> Option<StragglerFinding> {
        let run_view = self.runs.get(&run)?;
        let work = run_view.work.filter(|_| run_view.stop_number.is_none())?;
        let step = run.task.step;
        let expected_ms = self.run_times.expected_ms(step, &job.queue, spec) as f64;
        let (least, share) = IDLE_LIMIT;
        let idle = now.since(run_view.progressed_at).as_secs_f64() * 1000.0;
        let after = self.run_times.straggler_after_ms(step);
        let (cause, remaining) = match after {
            // A task that stands still is stopped anyway, if it can't have a copy.
            _ if idle > least.max(expected_ms * share) => match remedy {
                StragglerRemedy::Copy => ("no_progress", None),
                StragglerRemedy::Move => return None,
            },
            Some(after) if work.least_whole_ms(now) > after as f64 => {
                ("slow", work.remaining_ms(now))
            }
            _ => return None,
        };
        let left = match spec.checkpointing {
            true => f64::from(100 - run_view.percent.min(100)) / 100.0,
            false => 1.0,
        };
        let start_ms = match remedy {
            StragglerRemedy::Copy => COPY_START_MS,
            StragglerRemedy::Move => MOVE_START_MS,
        };
        let remaining_ms = remaining.unwrap_or(f64::INFINITY);
        let worthwhile = remaining_ms > expected_ms * left * WORTHWHILE_FACTOR + start_ms;
        worthwhile.then_some(StragglerFinding {
            cause,
            elapsed_ms: work.elapsed_ms(now),
            expected_ms,
            remaining_ms,
        })
    }
}
