//! Passes of the schedule: which tasks are due, in which order, and where each starts.

use super::batch::HeldStep;
use super::hosts::HostView;
use super::placement::{Candidate, FillerPressure, HostLoad, TaskDemand};
use super::ready::ReadyStep;
use super::{PlannerMachine, RunView};
use crate::ids::{HostName, RunName, RunNumber, StepName, TaskName, WorkerIncarnation};
use crate::message::StartOrder;
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time between two passes; due times and silent hosts need no event.
const PASS_SPAN: Duration = Duration::from_millis(100);

/// Age of the newest word of the operators beyond which nothing starts.
const MAX_OPERATOR_AGE: Duration = Duration::from_millis(2500);

/// Age of the newest word of the callers beyond which nothing starts. A cancelled task may start
/// for 3 s; an order may wait 1.5 s of these at its agent.
const MAX_JOBS_AGE: Duration = Duration::from_millis(1200);

/// Time before a draining worker leaves at which its tasks are stopped, to save their work.
const LEAVE_MARGIN: Duration = Duration::from_millis(1600);

/// Tasks that a worker on probation may run.
const PROBATION_TASKS: u32 = 1;

/// Task with the host that was chosen for it.
struct Choice {
    index: u32,
    host: HostName,
    incarnation: WorkerIncarnation,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Runs a pass if something has changed.
    pub(super) fn schedule(&mut self, now: ClockReading) {
        if !self.dirty && now.mono.since(self.scheduled) < PASS_SPAN {
            return;
        }
        self.dirty = false;
        self.scheduled = now.mono;
        self.open_due(now);
        self.check_stalls(now.mono);
        self.clear_leaving(now.mono);
        self.relieve_serving(now.mono);
        if !self.is_current(now.mono) || !self.batch.is_sound(now.mono) {
            return;
        }
        let mut steps = self.ready_steps(now);
        steps.sort_by_key(|step| step.order);
        for (step, choices) in self.place(now.mono, steps) {
            self.start(now.mono, &step, choices);
        }
    }

    /// Returns whether the planner knows of all cancellations and evacuations but the newest. One
    /// that was frozen or cut off does not, and must not start anything before it has read on.
    pub(super) fn is_current(&self, now: MonoTime) -> bool {
        let within = |at: Option<MonoTime>, age| at.is_some_and(|at| now.since(at) <= age);
        within(self.operators.last_read_at(), MAX_OPERATOR_AGE)
            && within(self.jobs_follower.last_read_at(), MAX_JOBS_AGE)
    }

    fn open_due(&mut self, now: ClockReading) {
        for state in self.ledger.jobs.values_mut() {
            let Some(record) = state.record.clone().filter(|_| !state.phase.is_final()) else {
                continue;
            };
            let schedule = record.body.schedule;
            let next = state
                .occurrences
                .keys()
                .next_back()
                .map_or(0, |last| last + 1);
            for occurrence in next..schedule.occurrences() {
                if now.wall.0 < schedule.due_ms(occurrence) {
                    break;
                }
                state.open_occurrence(occurrence);
            }
        }
    }

    /// Moves tasks off workers that are about to leave.
    fn clear_leaving(&mut self, now: MonoTime) {
        let leaving = |worker: &crate::worker::WorkerFacts, heard: MonoTime| {
            let left = Duration::from_millis(worker.leaves_in_ms.unwrap_or(u32::MAX).into());
            heard.plus(left).since(now) < LEAVE_MARGIN
        };
        let mut stops = Vec::new();
        for view in self
            .hosts
            .values()
            .filter(|view| view.is_draining() && view.is_open(now))
        {
            let soon = view
                .worker
                .as_ref()
                .is_some_and(|worker| leaving(worker, view.heard));
            let runs = view
                .runs
                .iter()
                .filter(|(_, demand)| soon || demand.long_running);
            stops.extend(runs.map(|(run, _)| *run));
        }
        self.stop_runs(stops, "worker_leaves");
    }

    pub(super) fn stop_runs(&mut self, runs: Vec<RunName>, cause: &str) {
        for run in runs {
            let fresh = self
                .runs
                .get(&run)
                .is_some_and(|view| view.stopped.is_none() && view.listed);
            if fresh {
                self.log("task_stopping", run, format!("cause={cause}"));
                self.order_stop(run);
            }
        }
    }

    fn place(&self, now: MonoTime, steps: Vec<ReadyStep>) -> Vec<(ReadyStep, Vec<Choice>)> {
        if steps.is_empty() {
            return Vec::new();
        }
        let mut candidates = self.candidates(now);
        let mut placed = Vec::new();
        for step in steps {
            let choices = self.place_step(&step, &mut candidates);
            if !choices.is_empty() {
                placed.push((step, choices));
            }
        }
        placed
    }

    pub(super) fn candidates(&self, now: MonoTime) -> Vec<Candidate<'_>> {
        let candidate = |view: &'_ HostView| {
            let worker = view.worker.as_ref()?;
            let takes = view.is_open(now)
                && view.listed
                && !worker.draining
                && now >= view.not_before
                && !self.operators.is_evacuated(&worker.data_centre);
            takes.then_some(())
        };
        let views = self.hosts.values().filter(|view| candidate(view).is_some());
        views
            .filter_map(|view| {
                Some(Candidate {
                    view,
                    worker: view.worker.as_ref()?,
                    load: HostLoad::of(&view.runs),
                    placed: BTreeMap::new(),
                    risk: f64::from(view.strikes),
                    limit: if view.probation {
                        PROBATION_TASKS
                    } else {
                        u32::MAX
                    },
                    serving: self.expected_levels(now, view),
                })
            })
            .collect()
    }

    fn place_step(&self, step: &ReadyStep, candidates: &mut [Candidate<'_>]) -> Vec<Choice> {
        let Some(spec) = step.record.step(step.name) else {
            return Vec::new();
        };
        let demand = TaskDemand::new(step.name, spec);
        let service = &step.record.terms.service;
        let before: Vec<_> = match spec.gang {
            true => candidates
                .iter()
                .map(|it| (it.load, it.placed.clone()))
                .collect(),
            false => Vec::new(),
        };
        // Fillers do not change what a worker serves, so one look is enough for the whole step.
        let pressures: Vec<_> = candidates
            .iter()
            .map(|it| self.pressure_at(it, &demand))
            .collect();
        let mut choices = Vec::new();
        for &index in &step.tasks {
            let task = TaskName {
                step: step.name,
                index,
            };
            let cost = |(candidate, pressure): &(&mut Candidate<'_>, &FillerPressure)| {
                let failed = self.failed_hosts.get(&task);
                let failed = failed.is_some_and(|hosts| hosts.contains(&candidate.view.host));
                let again = if failed {
                    self.policy.placement.failed_before
                } else {
                    0.0
                };
                candidate.cost(&self.policy.placement, &demand, spec, pressure) + again
            };
            let fitting = candidates
                .iter_mut()
                .zip(&pressures)
                .filter(|(it, pressure)| {
                    it.admits(&demand, spec, service) && it.spares(&demand, pressure)
                });
            let best = fitting.min_by(|left, right| cost(left).total_cmp(&cost(right)));
            match best {
                Some((candidate, pressure)) => {
                    candidate.take(&demand, pressure);
                    choices.push(Choice {
                        index,
                        host: candidate.view.host.clone(),
                        incarnation: candidate.worker.incarnation.clone(),
                    });
                }
                // All tasks of a step are alike: what does not fit now, fits none of the others.
                None => break,
            }
        }
        if spec.gang && choices.len() < step.tasks.len() {
            for (candidate, (load, placed)) in candidates.iter_mut().zip(before) {
                candidate.load = load;
                candidate.placed = placed;
            }
            choices.clear();
        }
        choices
    }

    fn start(&mut self, now: MonoTime, step: &ReadyStep, choices: Vec<Choice>) {
        let Some(spec) = step.record.step(step.name) else {
            return;
        };
        let gang_run = spec.gang.then(|| self.next_gang_run(step.name));
        for choice in choices {
            let task = TaskName {
                step: step.name,
                index: choice.index,
            };
            let Some((_, state)) = self.ledger.task(task) else {
                continue;
            };
            let number = gang_run.unwrap_or_else(|| state.last_run.next());
            let run = RunName { task, run: number };
            let order = StartOrder {
                run,
                incarnation: choice.incarnation.clone(),
                spec: step.record.body.spec.clone(),
                saved: state.saved.clone(),
                traits: self.traits_of(spec, &choice.host),
            };
            let detail = format!("host={} slack_ms={}", choice.host, step.order.3);
            self.log("task_placed", run, detail);
            self.runs.insert(run, RunView::new(now));
            self.record(
                now,
                PlanRecord::Started {
                    run,
                    host: choice.host.clone(),
                    incarnation: choice.incarnation,
                },
            );
            if let Some(view) = self.hosts.get_mut(&choice.host) {
                view.runs.insert(run, TaskDemand::new(step.name, spec));
            }
            let host = choice.host;
            self.batch.hold(HeldStep::Start { host, order });
        }
        self.dirty = false;
    }

    /// Members of a gang share the number of their attempt.
    fn next_gang_run(&self, step: StepName) -> RunNumber {
        let job = self.ledger.jobs.get(&step.job);
        let occurrence = job.and_then(|job| job.occurrences.get(&step.occurrence));
        let tasks = occurrence.and_then(|state| state.steps.get(usize::from(step.step)));
        let last = tasks.into_iter().flatten().map(|task| task.last_run).max();
        last.unwrap_or_default().next()
    }
}
