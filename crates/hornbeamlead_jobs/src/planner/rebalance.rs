//! Moves best-effort tasks away from serving tasks that they interfere with.
//!
//! The interference of an image is learned only while it runs, so some best-effort tasks start on a
//! bad host. A task that saves checkpoints loses little by a move; if it stayed, it would be
//! throttled, and a step takes as long as its slowest task.

use super::PlannerMachine;
use super::hosts::HostView;
use super::placement::{Candidate, TaskDemand};
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
const MAX_MOVES_PER_HOST: usize = 3;

/// Lowest rate that is assumed of a slow task; one that is halted may resume.
const MIN_RATE: f64 = 0.1;

/// Share of its requested CPU below which a best-effort task counts as slow.
pub(super) const SLOW_RATE: f64 = 0.7;

/// Time that a best-effort task must have been slow before it is moved.
const MIN_SLOW_TIME: Duration = Duration::from_millis(900);

/// Time that a move must save. A stop and a resumed start take about a second.
const MIN_TIME_SAVED: Duration = Duration::from_millis(1500);

/// Best-effort task that would finish earlier, or interfere less, on another host.
struct MoveCandidate {
    run: RunName,
    demand: TaskDemand,
    /// Largest interference coefficient that justifies a move to another host.
    max_coefficient: f64,
    /// Urgency: tasks with a higher value move first.
    gain: f64,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Moves best-effort tasks that interfere with late serving tasks, and those that are throttled
    /// so far that the other tasks of their step would wait for them.
    pub(super) fn move_best_effort(&mut self, now: MonoTime) {
        if now.since(self.last_rebalance) < REBALANCE_INTERVAL {
            return;
        }
        self.last_rebalance = now;
        self.interference.refresh();
        let mut candidates = self.candidates(now);
        let (mut interfering, mut slow) = (Vec::new(), Vec::new());
        for view in self.hosts.values().filter(|view| view.is_reachable(now)) {
            let moves = self.interfering_tasks(now, view);
            interfering.extend(self.choose_moves(view, moves, &mut candidates));
            let moves = self.slow_tasks(now, view);
            slow.extend(self.choose_moves(view, moves, &mut candidates));
        }
        for run in interfering.iter().chain(&slow) {
            self.avoid_host(*run);
        }
        self.stop_runs(interfering, "presses_on_serving");
        self.stop_runs(slow, "throttled");
    }

    /// Returns the tasks for which another host has room, and reserves this room.
    fn choose_moves(
        &self,
        from: &HostView,
        mut moves: Vec<MoveCandidate>,
        candidates: &mut [Candidate<'_>],
    ) -> Vec<RunName> {
        moves.sort_by(|left, right| right.gain.total_cmp(&left.gain));
        let service = from.worker.as_ref().map(|worker| &worker.service);
        let mut chosen = Vec::new();
        for task in moves {
            let target = candidates.iter_mut().find_map(|candidate| {
                let interference = self.interference_on(candidate, &task.demand);
                let suits = candidate.view.host != from.host
                    && Some(&candidate.worker.service) == service
                    && (candidate.load.serving == 0
                        || interference.max_coefficient() <= task.max_coefficient)
                    && candidate.load.memory.saturating_add(task.demand.memory)
                        <= candidate.worker.memory
                    && candidate.has_best_effort_headroom(&task.demand, &interference);
                suits.then_some((candidate, interference))
            });
            if let Some((candidate, interference)) = target {
                candidate.assign(&task.demand, &interference);
                chosen.push(task.run);
            }
            if chosen.len() >= MAX_MOVES_PER_HOST {
                break;
            }
        }
        chosen
    }

    /// Returns the tasks that interfere with serving tasks close to their targets.
    fn interfering_tasks(&self, now: MonoTime, view: &HostView) -> Vec<MoveCandidate> {
        let slowest = view.slowest_serving();
        if slowest.is_none_or(|(_, log_latency)| log_latency <= REBALANCE_LOG_LATENCY) {
            return Vec::new();
        }
        let serving = view.serving();
        let interfering = self
            .movable_tasks(now, view)
            .filter_map(|(run, demand, _)| {
                let coefficient = self.interference.max_coefficient(&serving, demand.image);
                (coefficient >= MIN_MOVE_COEFFICIENT).then_some(MoveCandidate {
                    run,
                    demand,
                    max_coefficient: coefficient * MAX_COEFFICIENT_RATIO,
                    gain: coefficient,
                })
            });
        interfering.collect()
    }

    /// Returns the tasks that would finish earlier at full speed elsewhere.
    fn slow_tasks(&self, now: MonoTime, view: &HostView) -> Vec<MoveCandidate> {
        let slow = self
            .movable_tasks(now, view)
            .filter_map(|(run, demand, remaining)| {
                let run_view = self.runs.get(&run)?;
                let since = run_view.slow_since?;
                let delayed = remaining.div_f64(run_view.cpu_rate.max(MIN_RATE));
                let saved = delayed.saturating_sub(remaining);
                let worthwhile = now.since(since) >= MIN_SLOW_TIME && saved >= MIN_TIME_SAVED;
                worthwhile.then_some(MoveCandidate {
                    run,
                    demand,
                    max_coefficient: f64::INFINITY,
                    gain: saved.as_secs_f64(),
                })
            });
        slow.collect()
    }

    /// Returns the best-effort tasks on a host that save checkpoints and have run for a while, each
    /// with the time that it still needs at full speed.
    fn movable_tasks<'a>(
        &'a self,
        now: MonoTime,
        view: &'a HostView,
    ) -> impl Iterator<Item = (RunName, TaskDemand, Duration)> + 'a {
        let best_effort = view.runs.iter().filter(|(_, demand)| demand.best_effort);
        best_effort.filter_map(move |(&run, demand)| {
            let run_view = self.runs.get(&run)?;
            let settled = now.since(run_view.created_at) >= MIN_RUN_TIME
                && run_view.percent < MAX_MOVE_PERCENT
                && !self.is_on_trial(run.task);
            let (job, _) = self.ledger.task(run.task)?;
            let spec = job.spec(run.task.step)?;
            let left = f64::from(100 - run_view.percent.min(100)) / 100.0;
            let expected = match self.policy.copies {
                true => self.run_times.expected_ms(run.task.step, &job.queue, spec),
                false => spec.estimate_ms.into(),
            };
            let remaining = Duration::from_millis(expected).mul_f64(left);
            (spec.checkpointing && settled).then_some((run, *demand, remaining))
        })
    }
}
