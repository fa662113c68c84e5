//! Moves pressing fillers away from serving tasks that are close to their target.
//!
//! How an image presses is learned only while it runs, so some fillers begin in the wrong place.
//! One that saves checkpoints loses little by a move; where it is, it would be paced down.

use super::PlannerMachine;
use super::hosts::HostView;
use super::placement::TaskDemand;
use crate::ids::RunName;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Span between two rounds of moves: a stop and a reading of its effect.
const MOVE_SPAN: Duration = Duration::from_millis(700);

/// Time that a filler runs before it is moved: its effect has to show first.
const SETTLE_SPAN: Duration = Duration::from_millis(1500);

/// Logarithm of latency over target from which on a worker is relieved.
const RELIEF_LATENCY: f64 = -0.1;

/// Weight below which a filler is left where it is.
const LEAST_PRESS: f64 = 1.5;

/// Weight at the other worker, as a share of the present one, that makes a move worth it.
const WORTHWHILE: f64 = 0.4;

/// Progress in percent beyond which a filler is left to end where it is.
const NEARLY_DONE: u8 = 75;

/// Moves of one worker in a round.
const MOVES: usize = 2;

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn relieve_serving(&mut self, now: MonoTime) {
        if now.since(self.rebalanced) < MOVE_SPAN {
            return;
        }
        self.rebalanced = now;
        let late = |view: &&HostView| {
            let tightest = view.tightest();
            view.is_open(now) && tightest.is_some_and(|(_, latency)| latency > RELIEF_LATENCY)
        };
        let mut moves = Vec::new();
        for view in self.hosts.values().filter(late) {
            let mut heavy = self.heavy_fillers(now, view);
            heavy.sort_by(|left, right| right.1.total_cmp(&left.1));
            let movable = heavy.into_iter().filter(|(run, coefficient)| {
                let demand = view.runs.get(run);
                demand.is_some_and(|demand| self.has_better(now, view, demand, *coefficient))
            });
            moves.extend(movable.map(|(run, _)| run).take(MOVES));
        }
        self.stop_runs(moves, "presses_on_serving");
    }

    fn heavy_fillers(&self, now: MonoTime, view: &HostView) -> Vec<(RunName, f64)> {
        let serving = view.serving();
        let fillers = view.runs.iter().filter(|(_, demand)| demand.best_effort);
        let heavy = fillers.filter_map(|(&run, demand)| {
            let coefficient = self.impact.worst_press(&serving, demand.image);
            let known = self.runs.get(&run)?;
            let settled = now.since(known.since) >= SETTLE_SPAN && known.percent < NEARLY_DONE;
            let (job, _) = self.ledger.task(run.task)?;
            let saves = job.spec(run.task.step)?.checkpointing;
            (saves && settled && coefficient >= LEAST_PRESS).then_some((run, coefficient))
        });
        heavy.collect()
    }

    /// Returns whether another worker of the service would suffer far less from a filler.
    fn has_better(
        &self,
        now: MonoTime,
        from: &HostView,
        demand: &TaskDemand,
        coefficient: f64,
    ) -> bool {
        let candidates = self.candidates(now);
        let others = candidates.iter().filter(|it| it.view.host != from.host);
        let service = from.worker.as_ref().map(|worker| &worker.service);
        others.into_iter().any(|it| {
            let pressure = self.pressure_at(it, demand);
            Some(&it.worker.service) == service
                && (it.load.serving == 0 || pressure.worst() <= coefficient * WORTHWHILE)
                && it.load.memory + demand.memory <= it.worker.memory
                && it.spares(demand, &pressure)
        })
    }
}
