//! Sums of the work that waits, kept up to date as occurrences change.

use super::job_plan::{JobPlan, TaskShape};
use crate::ledger::OccurrenceState;
use crate::load::CoreMillis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Work of tasks of one shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ShapeLoad {
    /// Occurrences with such work that are not too late to be worth anything. An occurrence counts
    /// once among the shapes of best-effort tasks, and once among the others.
    pub(super) jobs: u32,
    /// Work of tasks that are ready or depend on others. A running task counts half.
    pub(super) work: CoreMillis,
    /// Waiting work that is too late to be worth anything.
    pub(super) late_work: CoreMillis,
}

impl ShapeLoad {
    pub(super) fn add(&mut self, other: Self) {
        self.jobs = self.jobs.saturating_add(other.jobs);
        self.work = self.work.plus(other.work);
        self.late_work = self.late_work.plus(other.late_work);
    }
}

/// Sum of the work of several occurrences.
#[derive(Clone, Copy, Debug, Default)]
struct ShapeSum {
    /// Number of occurrences.
    count: usize,
    jobs: u32,
    /// Wide enough that what was added can be subtracted again.
    work: u128,
    late_work: u128,
}

impl ShapeSum {
    fn add(&mut self, load: ShapeLoad) {
        self.count += 1;
        self.jobs += load.jobs;
        self.work += u128::from(load.work.0);
        self.late_work += u128::from(load.late_work.0);
    }

    fn subtract(&mut self, load: ShapeLoad) {
        self.count -= 1;
        self.jobs -= load.jobs;
        self.work -= u128::from(load.work.0);
        self.late_work -= u128::from(load.late_work.0);
    }

    fn load(&self) -> ShapeLoad {
        let work = |sum: u128| CoreMillis(u64::try_from(sum).unwrap_or(u64::MAX));
        ShapeLoad {
            jobs: self.jobs,
            work: work(self.work),
            late_work: work(self.late_work),
        }
    }
}

/// Work of one occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadShares(Vec<(Arc<TaskShape>, ShapeLoad)>);

impl LoadShares {
    pub(super) fn new(plan: &JobPlan, state: &OccurrenceState, is_late: bool) -> Self {
        let mut shares = Vec::<(Arc<TaskShape>, ShapeLoad)>::new();
        let mut is_counted = [false; 2];
        let specs = plan.record.body.steps.iter().zip(&plan.steps);
        for ((spec, step_plan), step) in specs.zip(&state.steps) {
            let unfinished = step.counts().unfinished;
            if spec.long_running || unfinished == 0 {
                continue;
            }
            let waiting = step.waiting().len();
            let task_work = CoreMillis::of_task(spec);
            let running_work = CoreMillis(task_work.times((unfinished - waiting) as u64).0 / 2);
            let waiting_work = task_work.times(waiting as u64);
            let mut load = match is_late {
                true => ShapeLoad {
                    jobs: 0,
                    work: running_work,
                    late_work: waiting_work,
                },
                false => ShapeLoad {
                    jobs: 0,
                    work: running_work.plus(waiting_work),
                    late_work: CoreMillis(0),
                },
            };
            let is_counted = &mut is_counted[usize::from(spec.best_effort)];
            if load.work.0 > 0 && !std::mem::replace(is_counted, true) {
                load.jobs = 1;
            }
            shares.push((Arc::clone(&step_plan.shape), load));
        }
        Self(shares)
    }
}

/// Work of all open occurrences, by the shape of the tasks.
#[derive(Debug, Default)]
pub(super) struct WaitingLoad {
    shapes: BTreeMap<Arc<TaskShape>, ShapeSum>,
}

impl WaitingLoad {
    pub(super) fn add(&mut self, shares: &LoadShares) {
        for (shape, load) in &shares.0 {
            let sum = self.shapes.entry(Arc::clone(shape)).or_default();
            sum.add(*load);
        }
    }

    pub(super) fn remove(&mut self, shares: &LoadShares) {
        for (shape, load) in &shares.0 {
            let Some(sum) = self.shapes.get_mut(shape) else {
                continue;
            };
            sum.subtract(*load);
            if sum.count == 0 {
                self.shapes.remove(shape);
            }
        }
    }

    /// Returns the work by the shape of the tasks, ordered by service, class and priority.
    pub(super) fn shapes(&self) -> impl Iterator<Item = (&TaskShape, ShapeLoad)> {
        let shapes = self.shapes.iter();
        shapes.map(|(shape, sum)| (&**shape, sum.load()))
    }
}
