//! Moves serving tasks so that a worker's serving images depend on the same shared resource.
//!
//! When the first tasks arrive, nothing is known of their images, so that workers end up with images
//! of different kinds and every best-effort image interferes with one of them. Once the images are
//! known, a few tasks of a kind that hardly occurs on a worker move to workers of their own kind.

use super::PlannerMachine;
use super::hosts::HostView;
use super::placement::{Candidate, HostInterference, ImageId, TaskDemand};
use crate::ids::{RunName, StepName};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeSet;
use std::time::Duration;

/// Least time between two rounds of moves: long enough for tasks to be at work again.
const CONSOLIDATE_INTERVAL: Duration = Duration::from_millis(1500);

/// Most tasks that move off one worker to leave it with one kind of image.
const MAX_TASKS_PER_HOST: usize = 2;

/// Most moves in a round, as a share of the workers.
const MOVES_PER_HOST: f64 = 0.1;

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn consolidate_serving(&mut self, now: MonoTime) {
        if now.since(self.last_consolidation) < CONSOLIDATE_INTERVAL {
            return;
        }
        self.last_consolidation = now;
        let mut candidates = self.candidates(now);
        let max_moves = (candidates.len() as f64 * MOVES_PER_HOST).ceil() as usize;
        let mut steps = self.unsettled_steps();
        let mut moves = Vec::new();
        for view in self.hosts.values().filter(|view| view.is_reachable(now)) {
            let chosen = self.choose_foreign(view, &steps, &mut candidates);
            steps.extend(chosen.iter().map(|run| run.task.step));
            moves.extend(chosen);
            if moves.len() >= max_moves {
                break;
            }
        }
        self.stop_runs(moves, "consolidated");
    }

    /// Returns the steps of which a task is not at work yet. None of their tasks moves, so that a
    /// step misses few tasks at a time.
    fn unsettled_steps(&self) -> BTreeSet<StepName> {
        let unsettled = self
            .runs
            .iter()
            .filter(|(_, run_view)| run_view.percent < 100 || run_view.stop_number.is_some());
        unsettled.map(|(run, _)| run.task.step).collect()
    }

    /// Returns the serving tasks whose image is not similar to the main image of the worker, if
    /// there are few and all of them can move to workers with similar images.
    fn choose_foreign(
        &self,
        view: &HostView,
        unsettled: &BTreeSet<StepName>,
        candidates: &mut [Candidate<'_>],
    ) -> Vec<RunName> {
        let serving = view.serving();
        let main = serving.iter().max_by_key(|(_, group)| group.tasks);
        let Some((&main, _)) = main else {
            return Vec::new();
        };
        let is_foreign = |demand: &TaskDemand| {
            demand.target_ms > 0 && !self.interference.is_similar(main, demand.image)
        };
        let foreign = view.runs.iter().filter(|(_, demand)| is_foreign(demand));
        let foreign: Vec<_> = foreign.map(|(run, demand)| (*run, *demand)).collect();
        if foreign.is_empty() || foreign.len() > MAX_TASKS_PER_HOST {
            return Vec::new();
        }
        let mut targets = Vec::new();
        for (run, demand) in &foreign {
            let movable = self.may_move(*run, unsettled);
            let target = candidates.iter().position(|candidate| {
                movable
                    && candidate.view.host != view.host
                    && !targets.contains(&candidate.view.host)
                    && self.suits_serving(candidate, *run, demand)
            });
            match target {
                Some(target) => targets.push(candidates[target].view.host.clone()),
                None => return Vec::new(),
            }
        }
        for (host, (_, demand)) in targets.iter().zip(&foreign) {
            let target = candidates
                .iter_mut()
                .find(|candidate| candidate.view.host == *host);
            if let Some(candidate) = target {
                candidate.assign(demand, &HostInterference::default());
            }
        }
        foreign.into_iter().map(|(run, _)| run).collect()
    }

    fn may_move(&self, run: RunName, unsettled: &BTreeSet<StepName>) -> bool {
        let spec = self.ledger.task(run.task);
        let spec = spec.and_then(|(job, _)| job.spec(run.task.step));
        // Operators limit how many tasks of a step the system itself may take away.
        spec.is_some_and(|spec| spec.may_miss.is_none() && !spec.gang)
            && !unsettled.contains(&run.task.step)
            && !self.is_on_trial(run.task)
    }

    /// Returns whether a worker has room for a serving task, serves only images similar to its own,
    /// and would keep it below its target.
    fn suits_serving(&self, candidate: &Candidate<'_>, run: RunName, demand: &TaskDemand) -> bool {
        let spec = self.ledger.task(run.task);
        let Some((state, spec)) =
            spec.and_then(|(job, _)| Some((job.record.as_ref()?, job.spec(run.task.step)?)))
        else {
            return false;
        };
        let is_similar = |image: &ImageId| self.interference.is_similar(*image, demand.image);
        let level = self.serving_levels.expected(run.task.step);
        let capacity = f64::from(candidate.worker.cpu.max(1));
        let best_effort = candidate.view.runs.values();
        let rise: f64 = best_effort
            .filter(|other| other.best_effort)
            .map(|other| {
                self.interference.coefficient(demand.image, other.image) * f64::from(other.cpu)
                    / capacity
            })
            .sum();
        !candidate.serving.is_empty()
            && candidate.serving.keys().all(is_similar)
            && candidate.admits(demand, spec, &state.terms.service)
            && level.is_some_and(|level| level + rise <= super::placement::MAX_LOG_LATENCY)
    }
}
