//! Large jobs that this entry has accepted and that have not ended. Planners hold the bodies of all
//! open jobs, so a few hundred of the largest ones would fill the memory of any host.

use crate::ids::JobId;
use std::collections::HashMap;

/// Size of a body in memory from which it counts as large, in bytes; many times that of usual jobs.
const LARGE_BODY_BYTES: usize = 16 * 1024;

/// Memory that the large jobs of one entry may take, in bytes.
pub const MAX_LARGE_BYTES: usize = 2 * 1024 * 1024;

/// Open large jobs by id, with the size of their bodies.
#[derive(Clone, Debug, Default)]
pub(super) struct LargeJobs {
    open: HashMap<JobId, usize>,
    bytes: usize,
}

impl LargeJobs {
    /// Adds a job unless it is small; returns `false` if there is no room for it, also without those
    /// that have ended.
    pub(super) fn add(
        &mut self,
        job: JobId,
        body_bytes: usize,
        has_ended: impl Fn(JobId) -> bool,
    ) -> bool {
        if body_bytes < LARGE_BODY_BYTES || self.open.contains_key(&job) {
            return true;
        }
        if self.bytes + body_bytes > MAX_LARGE_BYTES {
            self.open.retain(|job, _| !has_ended(*job));
            self.bytes = self.open.values().sum();
        }
        let has_room = self.bytes + body_bytes <= MAX_LARGE_BYTES;
        if has_room {
            self.open.insert(job, body_bytes);
            self.bytes += body_bytes;
        }
        has_room
    }

    /// Removes a job that was not stored.
    pub(super) fn remove(&mut self, job: JobId) {
        self.bytes -= self.open.remove(&job).unwrap_or(0);
    }
}
