//! Ages of the jobs that have ended, counted in heartbeats of planners, so that each planner knows them.

use crate::ids::JobId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// When jobs have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAges {
    /// Heartbeats of all planners.
    heartbeats: u64,
    /// Number of the heartbeat before the end of each job, and the job.
    order: BTreeSet<(u64, JobId)>,
    /// The same by job. Not part of snapshots, since it follows from the order.
    #[serde(skip)]
    ended_at: BTreeMap<JobId, u64>,
}

impl EndedAges {
    pub(super) fn count_heartbeat(&mut self) {
        self.heartbeats += 1;
    }

    /// Adds a job that ends now, unless its end is known.
    pub fn add(&mut self, job: JobId) {
        if self.ended_at.contains_key(&job) {
            return;
        }
        self.ended_at.insert(job, self.heartbeats);
        self.order.insert((self.heartbeats, job));
    }

    pub(super) fn remove(&mut self, job: JobId) {
        if let Some(ended_at) = self.ended_at.remove(&job) {
            self.order.remove(&(ended_at, job));
        }
    }

    /// Returns the jobs since whose end planners have sent at least so many heartbeats, oldest first.
    pub fn older_than(&self, heartbeats: u64) -> impl Iterator<Item = JobId> {
        let last = self.heartbeats.checked_sub(heartbeats);
        let old = self.order.iter();
        let old = old.take_while(move |(ended_at, _)| last.is_some_and(|last| *ended_at <= last));
        old.map(|(_, job)| *job)
    }

    /// Returns whether no end is known and no heartbeat was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heartbeats == 0 && self.order.is_empty()
    }

    /// Completes ages that were read from a snapshot.
    #[must_use]
    pub(crate) fn restored(mut self) -> Self {
        self.ended_at = self.order.iter().map(|&(at, job)| (job, at)).collect();
        self
    }
}
