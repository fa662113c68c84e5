//! Cancellations that came before their jobs.
//!
//! An append of a job may be carried out after the cancellation was acknowledged, so a cancellation
//! holds for a job that comes later. The jobs stream keeps it for the next planner, until it is
//! forgotten. No plan record tells of it, as nobody may have submitted the job.

use crate::ids::JobId;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a cancellation holds for a job that has not come. An append may be carried out
/// seconds late, and callers repeat requests for some seconds.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// Most cancellations that are kept. Each takes a key of the jobs stream, which a recovery reads.
const MAX_CANCELS: usize = 8192;

/// Cancellations of jobs that the planner does not know.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyCancels {
    until: BTreeMap<JobId, MonoTime>,
    /// The same in the order in which they end.
    order: BTreeSet<(MonoTime, JobId)>,
}

impl EarlyCancels {
    /// Keeps a cancellation from now on.
    pub(super) fn keep(&mut self, now: MonoTime, job: JobId) {
        self.take(job);
        let until = now.plus(HOLD_TIME);
        self.until.insert(job, until);
        self.order.insert((until, job));
    }

    /// Removes a cancellation; returns whether there was one.
    pub(super) fn take(&mut self, job: JobId) -> bool {
        let until = self.until.remove(&job);
        until.is_some_and(|until| self.order.remove(&(until, job)))
    }

    /// Forgets the cancellations that have ended, and the oldest if there are too many, and returns
    /// their jobs.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<JobId> {
        let mut expired = Vec::new();
        while let Some(&(until, job)) = self.order.first()
            && (now >= until || self.order.len() > MAX_CANCELS)
        {
            self.take(job);
            expired.push(job);
        }
        expired
    }
}
