//! Progress of jobs over all cells.

use crate::fleet_view::KnownProcess;
use serde::Serialize;
use std::collections::BTreeMap;

/// Progress of a job, summed over the cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct JobProgress {
    /// Tasks that wait.
    pub(crate) waiting: u64,
    /// Tasks that run.
    pub(crate) running: u64,
    /// Tasks that finished.
    pub(crate) finished: u64,
    /// Tasks that ended otherwise.
    pub(crate) failed: u64,
    /// Why a cell can never run the job.
    pub(crate) infeasible: Option<Box<str>>,
}

/// Sums the planners' progress of each job.
pub(crate) fn sum_progress(known: &[KnownProcess]) -> BTreeMap<Box<str>, JobProgress> {
    let mut progress: BTreeMap<Box<str>, JobProgress> = BTreeMap::new();
    let statuses = known.iter().filter_map(|process| process.status.as_ref());
    for status in statuses.clone() {
        for job in &status.configuration.jobs {
            progress.entry(job.clone()).or_default();
        }
    }
    let schedules = statuses.filter_map(|status| status.schedule.as_ref());
    let cells = schedules.filter_map(|schedule| schedule.planning.as_ref());
    for job in cells.flat_map(|cell| &cell.jobs) {
        let sum = progress.entry(job.job.clone()).or_default();
        sum.waiting += u64::from(job.waiting);
        sum.running += u64::from(job.running);
        // Each planner reads the ends of all cells' tasks; the newest reader knows most.
        sum.finished = sum.finished.max(u64::from(job.finished));
        sum.failed = sum.failed.max(u64::from(job.failed));
        if sum.infeasible.is_none() {
            sum.infeasible.clone_from(&job.infeasible);
        }
    }
    progress
}
