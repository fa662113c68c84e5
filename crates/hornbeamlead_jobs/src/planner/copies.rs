//! Stragglers: tasks that run far longer than their siblings get a copy, that is, a second attempt, or
//! move if they save checkpoints.
//!
//! Only steps that permit it get copies, only while nothing waits for the room, and only for a few
//! percent of what runs. The first attempt that completes counts, and the others are stopped once
//! its end is stored.

use super::PlannerMachine;
use super::batch::DeferredAction;
use super::isolation::HostAccess;
use super::placement::{Candidate, TaskDemand};
use super::ready::ReadyStep;
use super::schedule::PlacementChoice;
use super::stragglers::{StragglerRemedy, StragglingRun};
use super::work_queue::QueueFront;
use crate::effect::Effect;
use crate::ids::RunName;
use crate::job::StepSpec;
use crate::ledger::CrashChain;
use crate::operators::OperatorFormat;
use crate::worker::WorkerFacts;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::time::Duration;

/// Least time between two searches for stragglers; hosts report every 300 ms.
const COPY_INTERVAL: Duration = Duration::from_millis(300);

/// Share of what all running attempts use up to which copies may be added. One copy at a time may
/// always run: it may be the last task of a step, for which everything else waits.
const BUDGET_SHARE: f64 = 0.05;

/// Processors that an accelerator counts for, in thousandths of a core.
const ACCELERATOR_CPU: u32 = 8000;

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
    /// Starts copies of stragglers, or moves them, where room is idle and none of the steps waits that
    /// the pass has considered.
    pub(super) fn relieve_stragglers(&mut self, now: ClockReading, front: &QueueFront) {
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
        let waiting = self.ready_steps(now, front);
        let mut budget = self.copy_budget();
        let mut candidates = self.candidates(now.mono);
        let mut outcomes = Vec::new();
        for straggler in stragglers {
            let is_move = straggler.remedy == StragglerRemedy::Move;
            // A copy of a task that crashes its workers would crash another at the same time.
            let slot = straggler.run.task.into();
            let crashes = self.ledger.crash_chain(slot).map_or(0, CrashChain::len);
            let suspect = crashes > 1 || self.ledger.crashes_under(slot).count > 0;
            let outcome = match is_move || budget.admits(&straggler.demand) {
                _ if suspect && !is_move => Err("worker_crashed"),
                true => self.place_copy(&straggler, &waiting, &mut candidates),
                false => Err("budget"),
            };
            if outcome.is_ok() && !is_move {
                let weight = CopyBudget::weight(&straggler.demand);
                budget.copies = budget.copies.saturating_add(weight);
            }
            outcomes.push((straggler, budget, outcome));
        }
        for (straggler, budget, outcome) in outcomes {
            match outcome {
                Ok(choice) if straggler.remedy == StragglerRemedy::Move => {
                    self.move_straggler(&straggler, &choice);
                }
                Ok(choice) => self.start_copy(now.mono, &straggler, budget, choice),
                Err(cause) if straggler.remedy == StragglerRemedy::Copy => {
                    self.withhold_copy(straggler.run, cause);
                }
                Err(_) => {}
            }
        }
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
        let failed = self.ledger.failed_hosts.get(&straggler.run.task);
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.view.host != straggler.host)
            .filter(|candidate| failed.is_none_or(|hosts| !hosts.contains(&candidate.view.host)))
            .filter(|candidate| candidate.access == HostAccess::Open)
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
            shared: false,
            is_overdue: false,
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
        let detail = format!(
            "{} host={} first={} first_host={} copies_cpu={} running_cpu={}",
            straggler.finding,
            choice.host,
            straggler.run,
            straggler.host,
            budget.copies,
            budget.running
        );
        self.log("copy_started", run, detail);
        self.effects.push(Effect::Count("copy_started"));
        self.start_attempt(now, run, &straggler.record, choice);
    }

    /// Stops a straggler, which resumes on another host.
    fn move_straggler(&mut self, straggler: &StragglingRun, choice: &PlacementChoice) {
        let (from, room) = (&straggler.host, &choice.host);
        let detail = format!("{} host={from} room_on={room}", straggler.finding);
        self.log("straggler_moved", straggler.run, detail);
        self.effects.push(Effect::Count("straggler_moved"));
        self.avoid_host(straggler.run);
        self.stop_runs(vec![straggler.run], "straggles");
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
