//! What a pass knows of the room that is left, so that steps which cannot start are passed over at once.

use super::job_plan::TaskShape;
use super::placement::{Candidate, ResourceSum, TaskDemand};
use super::ready::ReadyStep;
use crate::ids::JobId;
use crate::job::StepSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Share of a service's room that the backlog of late schedules may use, as a divisor. Other jobs find
/// the rest free, however long the tasks of the backlog are.
const BACKLOG_SHARE: u64 = 2;

/// Which tasks of a shape find no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FullLevel {
    /// Best-effort tasks that do not start on any worker with room.
    Conditional,
    /// All.
    Any,
}

/// Room of a service for the backlog of late schedules.
#[derive(Clone, Copy, Debug, Default)]
struct BacklogRoom {
    capacity: ResourceSum,
    used: ResourceSum,
    /// Whether a step has found too little room. Those after it wait, as it would never start if they took
    /// what becomes free.
    is_closed: bool,
}

impl BacklogRoom {
    /// Returns how many tasks there is room for.
    fn tasks(&self, demand: &TaskDemand) -> usize {
        let each = ResourceSum::from(demand);
        let tasks = |capacity: u64, used: u64, each: u64| match each {
            0 => u64::MAX,
            _ => (capacity / BACKLOG_SHARE).saturating_sub(used) / each,
        };
        let (capacity, used) = (&self.capacity, &self.used);
        let least = tasks(capacity.cpu, used.cpu, each.cpu)
            .min(tasks(capacity.memory, used.memory, each.memory))
            .min(tasks(
                capacity.accelerators,
                used.accelerators,
                each.accelerators,
            ));
        usize::try_from(least).unwrap_or(usize::MAX)
    }
}

/// Room that is left in a pass.
#[derive(Debug, Default)]
pub(super) struct PassRooms {
    full: BTreeMap<Arc<TaskShape>, FullLevel>,
    /// Whether a task that finds no room shows that others of its shape find none. Isolated tasks start on
    /// certain hosts only.
    is_conclusive: bool,
    backlogs: BTreeMap<Box<str>, BacklogRoom>,
    /// Late schedules of which a task was placed in the pass.
    started: BTreeSet<JobId>,
}

impl PassRooms {
    pub(super) fn new(candidates: &[Candidate<'_>], is_conclusive: bool) -> Self {
        let mut backlogs = BTreeMap::<Box<str>, BacklogRoom>::new();
        for candidate in candidates {
            let service = &candidate.worker.service;
            if !backlogs.contains_key(service) {
                backlogs.insert(service.clone(), BacklogRoom::default());
            }
            if let Some(backlog) = backlogs.get_mut(service) {
                backlog.capacity.add(ResourceSum::from(candidate.worker));
                backlog.used.add(candidate.view.runs.overdue());
            }
        }
        Self {
            full: BTreeMap::new(),
            is_conclusive,
            backlogs,
            started: BTreeSet::new(),
        }
    }

    /// Returns whether no task of a shape finds room.
    pub(super) fn is_full(&self, shape: &TaskShape) -> bool {
        self.is_full_for(shape, true)
    }

    /// Returns whether no task of a shape finds room, or none that starts only where it gets what it
    /// requests.
    pub(super) fn is_full_for(&self, shape: &TaskShape, is_unconditional: bool) -> bool {
        let needed = match is_unconditional {
            true => FullLevel::Any,
            false => FullLevel::Conditional,
        };
        self.full.get(shape).is_some_and(|level| *level >= needed)
    }

    /// Notes that a task of a shape finds no room, on any worker or on those where it would get what it
    /// requests. Only best-effort tasks may get less.
    pub(super) fn note_full(&mut self, shape: &Arc<TaskShape>, any_room: bool) {
        let level = match any_room || !shape.best_effort {
            true => FullLevel::Any,
            false => FullLevel::Conditional,
        };
        if self.is_conclusive {
            let known = self.full.entry(Arc::clone(shape)).or_insert(level);
            *known = level.max(*known);
        }
    }

    /// Returns the most tasks of a step that may start. A job of which nothing runs may always start one,
    /// or one gang.
    pub(super) fn most_tasks(
        &mut self,
        step: &ReadyStep,
        spec: &StepSpec,
        demand: &TaskDemand,
    ) -> usize {
        let backlog = self.backlogs.get_mut(&step.record.terms.service);
        let Some(backlog) = backlog.filter(|_| step.is_overdue) else {
            return usize::MAX;
        };
        let tasks = if backlog.is_closed {
            0
        } else {
            backlog.tasks(demand)
        };
        let is_first = !step.is_job_running && !self.started.contains(&step.name.job);
        let needed = if spec.gang { step.tasks.len() } else { 1 };
        backlog.is_closed |= tasks < step.tasks.len();
        match tasks {
            _ if is_first => tasks.max(needed),
            tasks if tasks < needed => 0,
            tasks => tasks,
        }
    }

    /// Notes that tasks of a step have been placed.
    pub(super) fn note_placed(&mut self, step: &ReadyStep, demand: &TaskDemand, tasks: usize) {
        let backlog = self.backlogs.get_mut(&step.record.terms.service);
        let Some(backlog) = backlog.filter(|_| step.is_overdue && tasks > 0) else {
            return;
        };
        for _ in 0..tasks {
            backlog.used.add(ResourceSum::from(demand));
        }
        self.started.insert(step.name.job);
    }
}
