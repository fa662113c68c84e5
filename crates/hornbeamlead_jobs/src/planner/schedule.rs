//! Scheduling passes: which tasks are ready, in which order, and on which host each starts.

use super::batch::DeferredAction;
use super::hosts::HostView;
use super::isolation::{StartScope, TrialChoice};
use super::pass_rooms::PassRooms;
use super::placement::{Candidate, HostInterference, TaskDemand};
use super::ready::{MAX_PASS_TASKS, MIN_RUNNING_TASKS, MIN_STEP_TASKS, ReadyStep};
use super::work_queue::QueueFront;
use super::{PlannerMachine, RunView};
use crate::ids::{HostName, RunName, RunNumber, StepName, TaskName, WorkerIncarnation};
use crate::job::JobRecord;
use crate::ledger::StepState;
use crate::message::StartOrder;
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::policy::ServiceOrder;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Least time between two passes. A pass looks at all hosts, and with hundreds of them reports arrive
/// each millisecond.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time between two passes, because due times and silent hosts cause no event.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the latest read of the operators' stream beyond which nothing starts.
const MAX_OPERATOR_READ_AGE: Duration = Duration::from_millis(2500);

/// Age of the latest read of the jobs stream beyond which nothing starts. Tasks of a cancelled job
/// may still start for 3 s, and an order may spend 1.5 s of these at its agent.
const MAX_JOBS_READ_AGE: Duration = Duration::from_millis(1200);

/// Time before the shutdown of a draining worker at which its tasks are stopped, so that they can
/// save checkpoints.
const DRAIN_MARGIN: Duration = Duration::from_millis(1600);

/// Host chosen for a task.
pub(super) struct PlacementChoice {
    /// Index of the task in its step.
    pub(super) index: u32,
    pub(super) host: HostName,
    pub(super) incarnation: WorkerIncarnation,
    /// Whether the task is isolated and starts beside others all the same.
    pub(super) shared: bool,
    /// Whether the task belongs to the backlog of a late schedule.
    pub(super) is_overdue: bool,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Runs a pass if something has changed or the last pass is too long ago.
    pub(super) fn schedule(&mut self, now: ClockReading) {
        let interval = match self.pass_needed {
            true => MIN_PASS_INTERVAL,
            false => MAX_PASS_INTERVAL,
        };
        if now.mono.since(self.last_pass) < interval {
            return;
        }
        self.pass_needed = false;
        self.last_pass = now.mono;
        self.open_due(now);
        if now.mono.since(self.last_check) >= MAX_PASS_INTERVAL {
            self.last_check = now.mono;
            self.check_stalls(now.mono);
            self.poll_verdicts(now.mono);
            self.evict_from_draining(now.mono);
            // A task that is stopped while nothing can be recorded waits until the store is back.
            if self.has_current_inputs(now.mono) && self.batch.is_prompt(now.mono) {
                self.move_best_effort(now.mono);
                self.consolidate_serving(now.mono);
            }
        }
        if !self.has_current_inputs(now.mono) || !self.batch.has_recent_append(now.mono) {
            return;
        }
        let ranks_left = self.rank_work(now);
        let front = self.work.front();
        let placed = self.place(now, &front);
        // Of jobs without value, the first tasks of several come before the others of each.
        let has_rest = |step: &ReadyStep| step.has_more || step.is_without_value;
        let is_cut = front.is_cut || placed.iter().any(|(step, _)| has_rest(step));
        let has_changed = self.pass_needed && placed.is_empty();
        let is_unfinished = is_cut && !placed.is_empty() || front.has_rest;
        for (step, choices) in placed {
            self.start(now.mono, &step, choices);
        }
        self.relieve_stragglers(now, &front);
        self.pass_needed = has_changed || is_unfinished || ranks_left || self.work.is_due(now.wall);
    }

    /// Brings the queue up to date. Returns whether some of it is left to be ranked.
    fn rank_work(&mut self, now: ClockReading) -> bool {
        let by_value = self.policy.order == ServiceOrder::ByValue;
        let left_out = &self.overload.left_out;
        let ranks_left = self
            .work
            .rank_changed(&self.ledger, now.wall, by_value, left_out);
        // What is observed while nothing waits says nothing of the room.
        if !by_value || !self.work.has_ready_steps() || !self.select_by_value(now) {
            return ranks_left;
        }
        let left_out = &self.overload.left_out;
        self.work
            .rank_changed(&self.ledger, now.wall, by_value, left_out)
    }

    /// Returns whether the planner has read cancellations and evacuations recently. A planner that
    /// was paused or partitioned has not, and must not start anything before it has caught up.
    pub(super) fn has_current_inputs(&self, now: MonoTime) -> bool {
        let within = |at: Option<MonoTime>, age| at.is_some_and(|at| now.since(at) <= age);
        within(self.operators.last_read_at(), MAX_OPERATOR_READ_AGE)
            && within(self.jobs_follower.last_read_at(), MAX_JOBS_READ_AGE)
    }

    /// Stops tasks on draining workers: long-running tasks at once, others shortly before the
    /// worker shuts down.
    fn evict_from_draining(&mut self, now: MonoTime) {
        let leaving = |worker: &crate::worker::WorkerFacts, last_contact: MonoTime| {
            let remaining = Duration::from_millis(worker.leaves_in_ms.unwrap_or(u32::MAX).into());
            last_contact.plus(remaining).since(now) < DRAIN_MARGIN
        };
        let mut stops = Vec::new();
        for view in self
            .hosts
            .values()
            .filter(|view| view.is_draining() && view.is_reachable(now))
        {
            let soon = view
                .worker
                .as_ref()
                .is_some_and(|worker| leaving(worker, view.last_contact));
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
            let stoppable = self
                .runs
                .get(&run)
                .is_some_and(|run_view| run_view.stop_number.is_none() && run_view.listed);
            if stoppable {
                self.log("task_stopping", run, format!("cause={cause}"));
                self.order_stop(run);
            }
        }
    }

    /// Chooses hosts for tasks of the steps that the pass considers.
    fn place(
        &mut self,
        now: ClockReading,
        front: &QueueFront,
    ) -> Vec<(ReadyStep, Vec<PlacementChoice>)> {
        if front.keys.is_empty() {
            return Vec::new();
        }
        let is_calm = self.knows_no_crash();
        // Isolated tasks get their hosts before others do.
        let trials = match is_calm {
            true => Vec::new(),
            false => self.ready_steps(now, front),
        };
        self.note_trial_waits(now.mono, &trials);
        let mut candidates = self.candidates(now.mono);
        self.reserve_hosts(now.mono, &trials, &mut candidates);
        let mut rooms = PassRooms::new(&candidates, is_calm);
        let mut placed = Vec::new();
        let mut short_of_room = BTreeSet::new();
        let mut tasks_left = MAX_PASS_TASKS;
        let mut jobs_with_minimum = BTreeSet::new();
        for (key, is_minimum) in front.in_order() {
            let is_known = jobs_with_minimum.contains(&key.job);
            if key.rank.is_without_value() && is_known {
                continue;
            }
            let limit = match is_minimum {
                true => MIN_RUNNING_TASKS,
                false => tasks_left.max(MIN_STEP_TASKS),
            };
            let Some(step) = self.ready_step(now, key, &rooms, limit) else {
                continue;
            };
            tasks_left = tasks_left.saturating_sub(step.tasks.len());
            let choices = self.place_step(now.mono, &step, &mut candidates, &mut rooms);
            let spec = step.record.step(step.name);
            if choices.len() < step.tasks.len() && spec.is_some_and(|spec| spec.best_effort) {
                short_of_room.insert(step.record.terms.service.clone());
            }
            if !choices.is_empty() {
                if is_minimum {
                    jobs_with_minimum.insert(key.job);
                }
                placed.push((step, choices));
            }
        }
        drop(candidates);
        self.overload.note_shortage(short_of_room);
        placed
    }

    pub(super) fn candidates(&self, now: MonoTime) -> Vec<Candidate<'_>> {
        let candidate = |view: &'_ HostView| {
            let worker = view.worker.as_ref()?;
            let accepts = view.is_reachable(now)
                && view.answered
                && view.listed
                && !worker.draining
                && now >= view.not_before
                && !self.operators.is_evacuated(&worker.data_centre);
            accepts.then_some(())
        };
        let views = self.hosts.values().filter(|view| candidate(view).is_some());
        views
            .filter_map(|view| {
                let (access, fresh) = self.access_to(view);
                Some(Candidate {
                    view,
                    access,
                    fresh,
                    suspects: self.suspects_on(view),
                    worker: view.worker.as_ref()?,
                    load: view.runs.load(),
                    placed: BTreeMap::new(),
                    failure_cost: f64::from(view.consecutive_failures)
                        + self.slowness_cost(now, &view.host),
                    max_tasks: self.task_limit(view),
                    serving: view.serving(),
                })
            })
            .collect()
    }

    /// Returns the cost of a host on which tasks take far longer than their siblings, if the
    /// settings call for it.
    fn slowness_cost(&self, now: MonoTime, host: &HostName) -> f64 {
        match self.policy.copies {
            true => self.host_speeds.cost(now, host),
            false => 0.0,
        }
    }

    fn place_step(
        &self,
        now: MonoTime,
        step: &ReadyStep,
        candidates: &mut [Candidate<'_>],
        rooms: &mut PassRooms,
    ) -> Vec<PlacementChoice> {
        let (Some(spec), shape) = (step.record.step(step.name), &step.shape) else {
            return Vec::new();
        };
        let demand = TaskDemand {
            is_overdue: step.is_overdue,
            ..TaskDemand::new(step.name, spec)
        };
        let most = rooms.most_tasks(step, spec, &demand);
        if most == 0 || rooms.is_full_for(shape, step.unconditional > 0) {
            return Vec::new();
        }
        let service = &step.record.terms.service;
        let before: Vec<_> = match spec.gang {
            true => candidates
                .iter()
                .map(|candidate| (candidate.load, candidate.placed.clone()))
                .collect(),
            false => Vec::new(),
        };
        // Placing best-effort tasks does not change which images a worker serves, so the
        // coefficients hold for the whole step.
        let interferences: Vec<_> = candidates
            .iter()
            .map(|candidate| self.interference_on(candidate, &demand))
            .collect();
        let mut choices = Vec::new();
        let mut is_full = false;
        for &index in step.tasks.iter().take(most) {
            let task = TaskName {
                step: step.name,
                index,
            };
            let scope = self.scope_of(now, task, spec, candidates);
            if is_full && scope != StartScope::Reserved {
                continue;
            }
            let cost =
                |(candidate, host_interference): &(&mut Candidate<'_>, &HostInterference)| {
                    let failed = self.ledger.failed_hosts.get(&task);
                    let failed = failed.is_some_and(|hosts| hosts.contains(&candidate.view.host));
                    let repeat_cost = if failed {
                        self.policy.placement.previous_failure
                    } else {
                        0.0
                    };
                    candidate.cost(&self.policy.placement, &demand, spec, host_interference)
                        + repeat_cost
                };
            let any_room = choices.len() < step.unconditional;
            let best = candidates
                .iter_mut()
                .zip(&interferences)
                .filter(|(candidate, _)| {
                    candidate.accepts(task, spec, scope) && candidate.admits(&demand, spec, service)
                })
                .map(|row| {
                    let trial = match scope {
                        StartScope::Spread => self.trial_on(task, row.0),
                        _ => TrialChoice::default(),
                    };
                    let headroom = row.0.has_best_effort_headroom(&demand, row.1);
                    ((!headroom, trial), row)
                })
                .filter(|((crowded, _), _)| any_room || !crowded)
                .map(|(crowded, row)| (crowded, cost(&row), row))
                .min_by(|left, right| {
                    let by_cost = left.1.total_cmp(&right.1);
                    left.0.cmp(&right.0).then(by_cost)
                })
                .map(|(.., row)| row);
            match best {
                Some((candidate, host_interference)) => {
                    candidate.assign(&demand, host_interference);
                    candidate.suspects.add(self.chain_weight(task.into()));
                    choices.push(PlacementChoice {
                        index,
                        host: candidate.view.host.clone(),
                        incarnation: candidate.worker.incarnation.clone(),
                        shared: scope == StartScope::Waited,
                        is_overdue: step.is_overdue,
                    });
                }
                None if spec.gang => break,
                // All tasks of a step have the same demand: if one fits nowhere, none does, unless a
                // host is reserved for it.
                None => {
                    is_full |= !matches!(scope, StartScope::Reserved | StartScope::Nowhere);
                    if is_full && spec.spread_limit.is_none() {
                        rooms.note_full(shape, any_room);
                    }
                }
            }
        }
        if spec.gang && choices.len() < step.tasks.len() {
            for (candidate, (load, placed)) in candidates.iter_mut().zip(before) {
                candidate.load = load;
                candidate.placed = placed;
            }
            choices.clear();
        }
        rooms.note_placed(step, &demand, choices.len());
        choices
    }

    fn start(&mut self, now: MonoTime, step: &ReadyStep, choices: Vec<PlacementChoice>) {
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
            let detail = format!("host={} slack_ms={}", choice.host, step.slack_ms);
            self.log("task_placed", run, detail);
            self.log_isolated(run, &choice.host);
            self.start_attempt(now, run, &step.record, choice);
        }
    }

    /// Records an attempt, which is ordered once the record is stored.
    pub(super) fn start_attempt(
        &mut self,
        now: MonoTime,
        run: RunName,
        record: &JobRecord,
        choice: PlacementChoice,
    ) {
        let step = run.task.step;
        let (Some(spec), Some((_, state))) = (record.step(step), self.ledger.task(run.task)) else {
            return;
        };
        let PlacementChoice {
            host,
            incarnation,
            shared,
            is_overdue,
            ..
        } = choice;
        let order = StartOrder {
            run,
            incarnation: incarnation.clone(),
            spec: record.body.spec.clone(),
            saved: match spec.gang {
                true => self.step_state(step).and_then(StepState::newest_saved),
                false => state.saved.as_deref(),
            }
            .map(Box::from),
            traits: self.traits_of(spec, &host),
        };
        let run_view = RunView {
            shared,
            ..RunView::new(now)
        };
        self.runs.insert(run, run_view);
        let started = PlanRecord::Started {
            run,
            host: host.clone(),
            incarnation,
        };
        self.record(now, started);
        if let Some(view) = self.hosts.get_mut(&host) {
            let demand = TaskDemand {
                is_overdue,
                ..TaskDemand::new(step, spec)
            };
            view.expect_interference(&self.interference, &demand);
            view.runs.insert(run, demand);
        }
        self.batch.defer(DeferredAction::Start { host, order });
    }

    /// Returns the attempt number that all members of a gang share in their next attempt.
    fn next_gang_run(&self, step: StepName) -> RunNumber {
        let state = self.step_state(step);
        state.map(StepState::last_run).unwrap_or_default().next()
    }

    fn step_state(&self, step: StepName) -> Option<&StepState> {
        let job = self.ledger.jobs.get(&step.job)?;
        let occurrence = job.occurrences.get(&step.occurrence)?;
        occurrence.steps.get(usize::from(step.step))
    }
}
