//! Copies: second attempts of tasks that run far longer than their siblings.
//!
//! Only steps that permit it get copies, only while nothing waits for the room, and only for a few
//! percent of what runs. The first attempt that completes counts, and the others are stopped once
//! its end is stored.

use super::PlannerMachine;
use super::batch::DeferredAction;
use super::placement::{Candidate, TaskDemand};
use super::ready::ReadyStep;
use super::run_times::RunWork;
use super::schedule::PlacementChoice;
use crate::effect::Effect;
use crate::ids::{HostName, RunName};
use crate::job::{JobRecord, StepSpec};
use crate::ledger::JobState;
use crate::operators::OperatorFormat;
use crate::worker::WorkerFacts;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::sync::Arc;
use std::time::Duration;

/// Least time between two searches for stragglers; hosts report every 300 ms.
const COPY_INTERVAL: Duration = Duration::from_millis(300);

/// Share of what all running attempts use up to which copies may be added. One copy at a time may
/// always run: it may be the last task of a step, for which everything else waits.
const BUDGET_SHARE: f64 = 0.05;

/// Processors that an accelerator counts for, in thousandths of a core.
const ACCELERATOR_CPU: u32 = 8000;

/// Least time without progress, and the share of the expected run time, after which an attempt
/// gets a copy.
const IDLE_LIMIT: (f64, f64) = (1000.0, 0.1);

/// Multiple of the copy's expected run time that the straggler must still need, and the time for a
/// start that it must need beyond that, in milliseconds.
const WORTHWHILE: (f64, f64) = (1.25, 500.0);

/// Attempt that runs far longer than its siblings.
struct StragglingRun {
    run: RunName,
    host: HostName,
    demand: TaskDemand,
    record: Arc<JobRecord>,
    finding: StragglerFinding,
}

/// Why an attempt is a straggler; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StragglerFinding {
    cause: &'static str,
    elapsed_ms: f64,
    expected_ms: f64,
    /// Time that it still needs at its pace; infinite if it makes no progress.
    remaining_ms: f64,
}

/// What copies and all attempts use, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct CopyBudget {
    copies: u32,
    running: u32,
}

impl CopyBudget {
    fn weight(demand: &TaskDemand) -> u32 {
        demand
            .cpu
            .saturating_add(demand.accelerators.saturating_mul(ACCELERATOR_CPU))
    }

    fn admits(&self, demand: &TaskDemand) -> bool {
        let copies = f64::from(self.copies.saturating_add(Self::weight(demand)));
        self.copies == 0 || copies <= BUDGET_SHARE * f64::from(self.running)
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Starts copies of stragglers where room is idle.
    pub(super) fn start_copies(&mut self, now: ClockReading) {
        let due = now.mono.since(self.last_copies) >= COPY_INTERVAL;
        if !self.policy.copies || !due {
            return;
        }
        self.last_copies = now.mono;
        let mut stragglers = self.stragglers(now.mono);
        if stragglers.is_empty() {
            return;
        }
        stragglers.sort_by(|left, right| {
            let gains = (left.finding.remaining_ms, right.finding.remaining_ms);
            gains.1.total_cmp(&gains.0)
        });
        let waiting = self.ready_steps(now);
        let mut budget = self.copy_budget();
        let mut candidates = self.candidates(now.mono);
        let mut outcomes = Vec::new();
        for straggler in stragglers {
            let outcome = match budget.admits(&straggler.demand) {
                true => self.place_copy(&straggler, &waiting, &mut candidates),
                false => Err("budget"),
            };
            if outcome.is_ok() {
                let weight = CopyBudget::weight(&straggler.demand);
                budget.copies = budget.copies.saturating_add(weight);
            }
            outcomes.push((straggler, budget, outcome));
        }
        for (straggler, budget, outcome) in outcomes {
            match outcome {
                Ok(choice) => self.start_copy(now.mono, &straggler, budget, choice),
                Err(cause) => self.withhold_copy(straggler.run, cause),
            }
        }
    }

    fn stragglers(&self, now: MonoTime) -> Vec<StragglingRun> {
        let mut found = Vec::new();
        for view in self.hosts.values() {
            for (&run, demand) in &view.runs {
                let Some((job, spec)) = self.copyable(run) else {
                    continue;
                };
                let record = job.record.as_ref().map(Arc::clone);
                let finding = self.straggler_finding(now, run, job, spec);
                if let (Some(record), Some(finding)) = (record, finding) {
                    found.push(StragglingRun {
                        run,
                        host: view.host.clone(),
                        demand: *demand,
                        record,
                        finding,
                    });
                }
            }
        }
        found
    }

    /// Returns the job and the step of an attempt that may get a copy. Both may fail without using
    /// up the attempts of the task.
    fn copyable(&self, run: RunName) -> Option<(&JobState, &StepSpec)> {
        let (job, task) = self.ledger.task(run.task)?;
        let record = job.record.as_ref()?;
        let spec = job.spec(run.task.step)?;
        let permitted = spec.copies && !spec.gang && !spec.long_running;
        let single = task.placements.len() == 1 && !task.done;
        let attempts = u32::from(record.terms.max_attempts);
        let spare = u32::from(task.failures) + 2 <= attempts;
        let open = !job.phase.is_final() && record.body.schedule.times == 0;
        (permitted && single && spare && open).then_some((job, spec))
    }

    fn straggler_finding(
        &self,
        now: MonoTime,
        run: RunName,
        job: &JobState,
        spec: &StepSpec,
    ) -> Option<StragglerFinding> {
        let run_view = self.runs.get(&run)?;
        let work = run_view.work.filter(|_| run_view.stop_number.is_none())?;
        let step = run.task.step;
        let expected_ms = self.run_times.expected_ms(step, &job.queue, spec) as f64;
        let (least, share) = IDLE_LIMIT;
        let idle = now.since(run_view.progressed_at).as_secs_f64() * 1000.0;
        let after = self.run_times.straggler_after_ms(step);
        let (cause, remaining) = match after {
            _ if idle > least.max(expected_ms * share) => ("no_progress", None),
            Some(after) if work.least_whole_ms(now) > after as f64 => {
                ("slow", work.remaining_ms(now))
            }
            _ => return None,
        };
        let left = match spec.checkpointing {
            true => f64::from(100 - run_view.percent.min(100)) / 100.0,
            false => 1.0,
        };
        let (factor, start_ms) = WORTHWHILE;
        let remaining_ms = remaining.unwrap_or(f64::INFINITY);
        let worthwhile = remaining_ms > expected_ms * left * factor + start_ms;
        worthwhile.then_some(StragglerFinding {
            cause,
            elapsed_ms: RunWork::elapsed_ms(&work, now),
            expected_ms,
            remaining_ms,
        })
    }

    fn copy_budget(&self) -> CopyBudget {
        let mut budget = CopyBudget::default();
        for (run, demand) in self.hosts.values().flat_map(|view| &view.runs) {
            let weight = CopyBudget::weight(demand);
            let first = self.ledger.task(run.task).and_then(|(_, task)| {
                let first = task.placements.first();
                first.map(|first| first.run == run.run)
            });
            budget.running = budget.running.saturating_add(weight);
            let copied = if first == Some(false) { weight } else { 0 };
            budget.copies = budget.copies.saturating_add(copied);
        }
        budget
    }

    /// Returns a host for a copy, as far from the straggler as possible, and reserves its room.
    fn place_copy(
        &self,
        straggler: &StragglingRun,
        waiting: &[ReadyStep],
        candidates: &mut [Candidate<'_>],
    ) -> Result<PlacementChoice, &'static str> {
        let (step, demand) = (straggler.run.task.step, &straggler.demand);
        let spec = straggler.record.step(step).ok_or("no_step")?;
        let service = &straggler.record.terms.service;
        let beside = self.hosts.get(&straggler.host);
        let beside = beside.and_then(|view| view.worker.as_ref());
        let idle = |worker: &WorkerFacts| !waiting.iter().any(|step| awaits(step, demand, worker));
        let failed = self.failed_hosts.get(&straggler.run.task);
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.view.host != straggler.host)
            .filter(|candidate| failed.is_none_or(|hosts| !hosts.contains(&candidate.view.host)))
            .filter(|candidate| candidate.admits(demand, spec, service) && idle(candidate.worker))
            .map(|candidate| (self.interference_on(candidate, demand), candidate))
            .filter(|(interference, candidate)| {
                candidate.has_best_effort_headroom(demand, interference)
            })
            .map(|(interference, candidate)| {
                let cost = candidate.cost(&self.policy.placement, demand, spec, &interference);
                let distance = nearness(spec, beside, candidate.worker);
                (distance, cost, interference, candidate)
            })
            .min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let (_, _, interference, candidate) = best.ok_or("no_idle_room")?;
        candidate.assign(demand, &interference);
        Ok(PlacementChoice {
            index: straggler.run.task.index,
            host: candidate.view.host.clone(),
            incarnation: candidate.worker.incarnation.clone(),
        })
    }

    fn start_copy(
        &mut self,
        now: MonoTime,
        straggler: &StragglingRun,
        budget: CopyBudget,
        choice: PlacementChoice,
    ) {
        let task = straggler.run.task;
        let Some((_, state)) = self.ledger.task(task) else {
            return;
        };
        let run = RunName {
            task,
            run: state.last_run.next(),
        };
        let finding = &straggler.finding;
        let detail = format!(
            "cause={} host={} first={} first_host={} elapsed_ms={:.0} expected_ms={:.0} \
             remaining_ms={:.0} copies_cpu={} running_cpu={}",
            finding.cause,
            choice.host,
            straggler.run,
            straggler.host,
            finding.elapsed_ms,
            finding.expected_ms,
            finding.remaining_ms,
            budget.copies,
            budget.running
        );
        self.log("copy_started", run, detail);
        self.effects.push(Effect::Count("copy_started"));
        self.start_attempt(now, run, &straggler.record, choice);
    }

    /// Logs, once for each attempt, that a straggler gets no copy now.
    fn withhold_copy(&mut self, run: RunName, cause: &'static str) {
        let Some(run_view) = self.runs.get_mut(&run) else {
            return;
        };
        if !std::mem::replace(&mut run_view.copy_withheld, true) {
            self.log("copy_withheld", run, format!("cause={cause}"));
            self.effects.push(Effect::Count("copy_withheld"));
        }
    }

    /// Stops the other attempts of a task whose completion has just been recorded, once that is
    /// stored.
    pub(super) fn stop_other_attempts(&mut self, run: RunName) {
        let others: Vec<RunName> = match self.ledger.task(run.task) {
            Some((_, task)) if self.is_superseded(run) => {
                let others = task.placements.iter().map(|placement| RunName {
                    run: placement.run,
                    ..run
                });
                others.collect()
            }
            _ => Vec::new(),
        };
        for other in others {
            self.log(
                "task_stopping",
                other,
                format!("cause=copy_done done={run}"),
            );
            let winner = if run.run > other.run {
                "copy_won"
            } else {
                "copy_stopped"
            };
            self.effects.push(Effect::Count(winner));
            self.batch.defer(DeferredAction::Stop(other));
        }
    }

    /// Returns whether the task of an attempt has completed by itself, so that its remaining attempts
    /// have to be stopped. Members of a gang complete together and end by themselves.
    pub(super) fn is_superseded(&self, run: RunName) -> bool {
        let Some((job, task)) = self.ledger.task(run.task) else {
            return false;
        };
        let spec = job.spec(run.task.step);
        task.done && spec.is_some_and(|spec| !spec.gang)
    }
}

/// Returns whether tasks of a step wait for the room that a copy would take on a worker.
fn awaits(waiting: &ReadyStep, demand: &TaskDemand, worker: &WorkerFacts) -> bool {
    let Some(spec) = waiting.record.step(waiting.name) else {
        return false;
    };
    let labelled = spec
        .label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    labelled
        && spec.best_effort == demand.best_effort
        && *waiting.record.terms.service == *worker.service
}

/// Orders the workers for a copy: the data first, then another data centre, then few labels shared
/// with the straggler's worker, of which one is the rack.
fn nearness(
    spec: &StepSpec,
    beside: Option<&WorkerFacts>,
    worker: &WorkerFacts,
) -> (bool, bool, usize) {
    let rack = spec.data_rack.as_ref();
    let remote = rack.is_some_and(|rack| !worker.labels.contains(rack));
    let Some(beside) = beside else {
        return (remote, false, 0);
    };
    let shared = worker
        .labels
        .iter()
        .filter(|label| beside.labels.contains(label));
    let same = worker.data_centre == beside.data_centre;
    (remote, same, shared.count())
}
