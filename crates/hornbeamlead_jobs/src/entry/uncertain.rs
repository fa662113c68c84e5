//! Jobs that may be stored although no caller was told so.
//!
//! A refusal means that the job never runs, so a job is not refused here while it may be stored.

use crate::ids::JobId;
use hornbeamlead_core::clock::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a job may be stored late. An append without an answer may be carried out seconds
/// later.
const LATE_APPEND_TIME: Duration = Duration::from_secs(10);

/// Jobs whose append ended without an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct UncertainJobs {
    ended: HashMap<JobId, MonoTime>,
}

impl UncertainJobs {
    /// Adds a job when its caller is told that the outcome is unknown.
    pub(super) fn add(&mut self, now: MonoTime, job: JobId) {
        self.ended.insert(job, now);
    }

    /// Returns whether a job may be stored.
    pub(super) fn contains(&self, job: JobId) -> bool {
        self.ended.contains_key(&job)
    }

    /// Forgets the jobs that the plan would contain by now. Called while the plan is current.
    pub(super) fn prune(&mut self, now: MonoTime) {
        self.ended
            .retain(|_, ended| now.since(*ended) <= LATE_APPEND_TIME);
    }
}
