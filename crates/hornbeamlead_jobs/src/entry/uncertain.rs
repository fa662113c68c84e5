//! Jobs that may be stored although no caller was told so.
//!
//! A refusal means that the job never runs, so a job is not refused here while it may be stored.

use crate::ids::JobId;
use crate::notice::LateJob;
use hornbeamlead_core::clock::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a job may be stored late. An append without an answer may be carried out seconds
/// later.
pub(super) const LATE_APPEND_TIME: Duration = Duration::from_secs(10);

/// Maximum number of jobs of other entries.
const MAX_TOLD: usize = 8192;

/// Jobs whose append ended without an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct UncertainJobs {
    ended: HashMap<JobId, MonoTime>,
    /// Jobs of which other entries have told, with the time until which they may be stored late.
    told: HashMap<JobId, MonoTime>,
}

impl UncertainJobs {
    /// Adds a job when its caller is told that the outcome is unknown.
    pub(super) fn add(&mut self, now: MonoTime, job: JobId) {
        self.ended.insert(job, now);
    }

    /// Adds a job of which another entry has told; returns whether there was room for it.
    pub(super) fn add_told(&mut self, late: LateJob) -> bool {
        let has_room = self.told.len() < MAX_TOLD || self.told.contains_key(&late.job);
        if has_room {
            let until = self.told.entry(late.job).or_insert(late.until);
            *until = late.until.max(*until);
        }
        has_room
    }

    /// Returns whether another entry has told that a job may be stored.
    pub(super) fn is_told(&self, job: JobId) -> bool {
        self.told.contains_key(&job)
    }

    /// Returns whether a job may be stored.
    pub(super) fn contains(&self, job: JobId) -> bool {
        self.ended.contains_key(&job) || self.is_told(job)
    }

    /// Returns this entry's jobs, with the time until which they may be stored late.
    pub(super) fn own(&self) -> impl Iterator<Item = LateJob> {
        self.ended.iter().map(|(&job, ended)| LateJob {
            job,
            until: ended.plus(LATE_APPEND_TIME),
        })
    }

    /// Forgets the jobs that the plan would contain by now. Called while the plan is current.
    pub(super) fn prune(&mut self, now: MonoTime) {
        self.ended
            .retain(|_, ended| now.since(*ended) <= LATE_APPEND_TIME);
        self.told.retain(|_, until| now <= *until);
    }
}
