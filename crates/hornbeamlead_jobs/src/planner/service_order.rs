//! Which jobs are served first when there is too little room for all of them to end on time.
//!
//! Serving jobs by their slack alone makes every job of a burst late: each of them gets room until
//! it is about to miss its deadline, and then the next one does. So the planner selects the jobs
//! that can end on time together, and leaves the others for later. The selection is that of Moore
//! and Hodgson, weighted: jobs are taken by deadline, and whenever those taken so far do not fit
//! into the time until the latest of their deadlines, the one that is worth least for the work it
//! still needs is left out.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Part of a job's worth that does not depend on its work, as a share of the mean work of the jobs
/// it competes with.
const FIXED_WORTH: f64 = 0.4;

/// Factor on the worth of a job for each step that its priority is lower.
const PRIORITY_WORTH: f64 = 0.5;

/// Factor on the worth of a job that has started. The work already done would be wasted, and without
/// the margin the selection would alternate between jobs of equal worth.
const STARTED_WORTH: f64 = 1.5;

/// Job that competes for room, as input of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// Work that the job still needs, in core-milliseconds.
    pub work: f64,
    /// Milliseconds until the job is late.
    pub due_in_ms: i64,
    /// Work of the whole job, in core-milliseconds.
    pub total_work: f64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether tasks of the job have started.
    pub started: bool,
}

impl JobDemand {
    /// Returns what a core-millisecond that is spent on the job is worth, given the mean work of all
    /// jobs.
    fn density(&self, mean_work: f64) -> f64 {
        let started = if self.started { STARTED_WORTH } else { 1.0 };
        let priority = PRIORITY_WORTH.powi(self.priority.into());
        started * priority * (self.total_work + FIXED_WORTH * mean_work) / self.work.max(1.0)
    }
}

/// Selected job; the greatest one is the first to be left out.
struct SelectedJob {
    density: f64,
    index: usize,
}

impl Ord for SelectedJob {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_density = other.density.total_cmp(&self.density);
        by_density.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for SelectedJob {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for SelectedJob {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for SelectedJob {}

/// Returns for each job whether it belongs to those that can end on time together on the given
/// number of cores.
#[must_use]
pub fn select_on_time(jobs: &[JobDemand], cores: f64) -> Vec<bool> {
    let mut by_deadline: Vec<usize> = (0..jobs.len()).collect();
    by_deadline.sort_by_key(|&index| jobs[index].due_in_ms);
    let total = jobs.iter().map(|job| job.total_work).sum::<f64>();
    let mean_work = total / jobs.len().max(1) as f64;
    let mut selected = vec![false; jobs.len()];
    let mut heap = BinaryHeap::new();
    let mut total_work = 0.0;
    for index in by_deadline {
        let job = &jobs[index];
        total_work += job.work;
        selected[index] = true;
        heap.push(SelectedJob {
            density: job.density(mean_work),
            index,
        });
        let capacity = cores * job.due_in_ms.max(0) as f64;
        while total_work > capacity
            && let Some(least) = heap.pop()
        {
            total_work -= jobs[least.index].work;
            selected[least.index] = false;
        }
    }
    selected
}
