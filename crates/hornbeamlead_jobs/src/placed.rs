//! Placed report: jobs that left their queue because a task was placed, and of which no worker is
//! known to have begun a task, as the planner states them to entries with its heartbeat.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Most rows of a report. Each row takes 10 bytes of a heartbeat at most, and 6 as a rule.
pub const MAX_PLACED_ROWS: usize = 256;

/// Hash of a queue's name, which is the same in all processes and versions (FNV-1a).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueHash(pub u32);

impl QueueHash {
    const BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;

    /// Returns the hash of a queue, given as host and path prefix.
    #[must_use]
    pub fn of(queue: &str) -> Self {
        let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(Self::PRIME);
        Self(queue.bytes().fold(Self::BASIS, step))
    }
}

impl fmt::Display for QueueHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Jobs of one queue that are placed and not known to have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRow {
    /// Queue of the jobs.
    pub queue: QueueHash,
    /// Number of the jobs, at least 1.
    pub jobs: u32,
}

/// Jobs that are placed and not known to have begun when the planner sends a heartbeat. A queue
/// without a row has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedReport {
    /// Rows by queue, those with most jobs first.
    pub rows: Vec<PlacedRow>,
    /// Number of rows that were left out.
    pub rest_rows: u32,
    /// Jobs of the rows that were left out.
    pub rest_jobs: u32,
}

impl PlacedReport {
    /// Sorts the rows and cuts those beyond [`MAX_PLACED_ROWS`].
    #[must_use]
    pub fn new(mut rows: Vec<PlacedRow>) -> Self {
        rows.sort_by_key(|row| (u32::MAX - row.jobs, row.queue));
        let rest = rows.split_off(rows.len().min(MAX_PLACED_ROWS));
        let add = |sum: u32, row: &PlacedRow| sum.saturating_add(row.jobs);
        Self {
            rows,
            rest_rows: rest.len() as u32,
            rest_jobs: rest.iter().fold(0, add),
        }
    }

    /// Returns the stated number of jobs of a queue, or `None` without a row.
    #[must_use]
    pub fn jobs(&self, queue: QueueHash) -> Option<u32> {
        let row = self.rows.iter().find(|row| row.queue == queue);
        row.map(|row| row.jobs)
    }
}
