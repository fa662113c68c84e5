//! What the scheduling of a job needs that does not change, computed once.

use super::placement::ImageId;
use super::ready::saturating_signed;
use crate::job::{JobRecord, StepSpec};
use std::sync::Arc;

/// What decides on which workers a task may run, and how its work is counted. Tasks of one shape find
/// room on the same workers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskShape {
    pub(super) service: Box<str>,
    pub(super) best_effort: bool,
    pub(super) priority: u8,
    /// Processor demand, in thousandths of a core.
    pub(super) cpu: u32,
    /// Memory demand, in mebibytes.
    pub(super) memory: u32,
    pub(super) accelerators: u32,
    pub(super) label: Option<Box<str>>,
    image: ImageId,
}

impl TaskShape {
    fn new(record: &JobRecord, spec: &StepSpec) -> Self {
        Self {
            service: record.terms.service.clone(),
            best_effort: spec.best_effort,
            priority: record.terms.priority,
            cpu: spec.cpu,
            memory: spec.memory,
            accelerators: spec.accelerators,
            label: spec.label.clone(),
            image: ImageId::from(&*spec.image),
        }
    }
}

/// Step of a job, as its scheduling needs it.
#[derive(Clone, Debug)]
pub(super) struct StepPlan {
    pub(super) shape: Arc<TaskShape>,
    /// Estimated duration of the longest path from the start of the step to the end of the job, in
    /// milliseconds.
    pub(super) path_ms: i64,
}

/// Job, as its scheduling needs it.
#[derive(Clone, Debug)]
pub(super) struct JobPlan {
    pub(super) record: Arc<JobRecord>,
    pub(super) steps: Vec<StepPlan>,
    /// Time after its due time within which an occurrence ends on time, in milliseconds.
    pub(super) objective_ms: i64,
    /// Estimated work of an occurrence, in core-milliseconds.
    pub(super) total_work: f64,
    pub(super) best_effort: bool,
    /// Whether no step is long-running.
    pub(super) has_end: bool,
}

impl JobPlan {
    pub(super) fn new(record: &Arc<JobRecord>) -> Self {
        let body = &record.body;
        let paths = body.remaining_paths_ms();
        let step = |(spec, path_ms): (&StepSpec, u64)| StepPlan {
            shape: Arc::new(TaskShape::new(record, spec)),
            path_ms: saturating_signed(path_ms),
        };
        Self {
            steps: body.steps.iter().zip(paths).map(step).collect(),
            objective_ms: saturating_signed(record.objective_ms()),
            total_work: body.work(),
            best_effort: body.is_best_effort(),
            has_end: !body.steps.iter().any(|step| step.long_running),
            record: Arc::clone(record),
        }
    }

    /// Returns the time from which on an occurrence counts as overdue if it has not started, in
    /// milliseconds since the Unix epoch: when the one after it is late as well. `None` if none is after
    /// it.
    pub(super) fn overdue_at_ms(&self, occurrence: u32) -> Option<i64> {
        let schedule = &self.record.body.schedule;
        let next = occurrence.checked_add(1)?;
        let follows = self.has_end && next < schedule.occurrences();
        let due_ms = || saturating_signed(schedule.due_ms(next));
        follows.then(|| due_ms().saturating_add(self.objective_ms))
    }

    /// Returns whether an occurrence was overdue when its job was accepted.
    pub(super) fn was_overdue(&self, occurrence: u32) -> bool {
        let accepted = saturating_signed(self.record.accepted_ms);
        let overdue_at = self.overdue_at_ms(occurrence);
        overdue_at.is_some_and(|at| accepted >= at)
    }
}
