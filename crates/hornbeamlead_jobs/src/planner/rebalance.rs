//! Moves interfering best-effort tasks away from serving tasks that are close to their targets.
//!
//! The interference of an image is learned only while it runs, so some best-effort tasks start on a
//! bad host. A task that saves checkpoints loses little by a move; if it stayed, it would be
//! throttled.

use super::PlannerMachine;
use super::hosts::HostView;
use super::placement::TaskDemand;
use crate::ids::RunName;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Least time between two rounds of moves: long enough for a stop and a reading of its effect.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(700);

/// Time that a best-effort task runs before it may be moved, so that its interference is measured.
const MIN_RUN_TIME: Duration = Duration::from_millis(1500);

/// Logarithm of latency over target above which tasks are moved off a worker.
const REBALANCE_LOG_LATENCY: f64 = -0.1;

/// Smallest interference coefficient at which a task is moved.
const MIN_MOVE_COEFFICIENT: f64 = 1.5;

/// Largest interference coefficient on another host, as a share of the current one, that justifies
/// a move.
const MAX_COEFFICIENT_RATIO: f64 = 0.4;

/// Progress in percent from which a task is left to finish on its host.
const MAX_MOVE_PERCENT: u8 = 75;

/// Most tasks moved off one host in a round.
const MAX_MOVES_PER_HOST: usize = 2;

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn move_interfering_tasks(&mut self, now: MonoTime) {
        if now.since(self.last_rebalance) < REBALANCE_INTERVAL {
            return;
        }
        self.last_rebalance = now;
        let late = |view: &&HostView| {
            let slowest = view.slowest_serving();
            view.is_reachable(now)
                && slowest.is_some_and(|(_, log_latency)| log_latency > REBALANCE_LOG_LATENCY)
        };
        let mut moves = Vec::new();
        for view in self.hosts.values().filter(late) {
            let mut interfering = self.interfering_tasks(now, view);
            interfering.sort_by(|left, right| right.1.total_cmp(&left.1));
            let movable = interfering.into_iter().filter(|(run, coefficient)| {
                let demand = view.runs.get(run);
                demand.is_some_and(|demand| self.has_better_host(now, view, demand, *coefficient))
            });
            moves.extend(movable.map(|(run, _)| run).take(MAX_MOVES_PER_HOST));
        }
        self.stop_runs(moves, "presses_on_serving");
    }

    fn interfering_tasks(&self, now: MonoTime, view: &HostView) -> Vec<(RunName, f64)> {
        let serving = view.serving();
        let candidates = view.runs.iter().filter(|(_, demand)| demand.best_effort);
        let interfering = candidates.filter_map(|(&run, demand)| {
            let coefficient = self.interference.max_coefficient(&serving, demand.image);
            let run_view = self.runs.get(&run)?;
            let settled = now.since(run_view.created_at) >= MIN_RUN_TIME
                && run_view.percent < MAX_MOVE_PERCENT;
            let (job, _) = self.ledger.task(run.task)?;
            let saves = job.spec(run.task.step)?.checkpointing;
            (saves && settled && coefficient >= MIN_MOVE_COEFFICIENT).then_some((run, coefficient))
        });
        interfering.collect()
    }

    /// Returns whether a task would interfere far less on another worker of the service.
    fn has_better_host(
        &self,
        now: MonoTime,
        from: &HostView,
        demand: &TaskDemand,
        coefficient: f64,
    ) -> bool {
        let candidates = self.candidates(now);
        let others = candidates
            .iter()
            .filter(|candidate| candidate.view.host != from.host);
        let service = from.worker.as_ref().map(|worker| &worker.service);
        others.into_iter().any(|candidate| {
            let host_interference = self.interference_on(candidate, demand);
            Some(&candidate.worker.service) == service
                && (candidate.load.serving == 0
                    || host_interference.max_coefficient() <= coefficient * MAX_COEFFICIENT_RATIO)
                && candidate.load.memory + demand.memory <= candidate.worker.memory
                && candidate.has_best_effort_headroom(demand, &host_interference)
        })
    }
}
