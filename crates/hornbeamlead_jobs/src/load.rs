//! Load report: the work that waits for the workers of each service, as the planner states it to
//! entries with its heartbeat.

use crate::job::{JobBody, StepSpec};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most rows of a report. Each row takes about 30 bytes of a heartbeat.
pub const MAX_LOAD_ROWS: usize = 24;

/// Processor work, in thousandths of a core-second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CoreMillis(pub u64);

impl CoreMillis {
    /// Returns the estimated work of one task.
    #[must_use]
    pub fn of_task(spec: &StepSpec) -> Self {
        Self(u64::from(spec.cpu) * u64::from(spec.estimate_ms) / 1000)
    }

    /// Returns the work of several tasks, or the greatest value if that does not fit.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }

    /// Returns the sum, or the greatest value if that does not fit.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for CoreMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Work of jobs, by the way in which its tasks get processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobWork {
    /// Work of tasks that reserve what they request.
    pub reserved: CoreMillis,
    /// Work of best-effort tasks.
    pub best_effort: CoreMillis,
}

impl JobWork {
    /// Returns the estimated work of a job's tasks, without long-running ones.
    #[must_use]
    pub fn of_job(body: &JobBody) -> Self {
        let mut work = Self::default();
        for step in body.steps.iter().filter(|step| !step.long_running) {
            let tasks = CoreMillis::of_task(step).times(step.tasks.into());
            let class = work.class_mut(step.best_effort);
            *class = class.plus(tasks);
        }
        work
    }

    /// Returns the work of best-effort tasks, or of the others.
    #[must_use]
    pub fn class(&self, best_effort: bool) -> CoreMillis {
        match best_effort {
            true => self.best_effort,
            false => self.reserved,
        }
    }

    fn class_mut(&mut self, best_effort: bool) -> &mut CoreMillis {
        match best_effort {
            true => &mut self.best_effort,
            false => &mut self.reserved,
        }
    }

    /// Adds the work of other jobs.
    pub fn add(&mut self, other: Self) {
        self.reserved = self.reserved.plus(other.reserved);
        self.best_effort = self.best_effort.plus(other.best_effort);
    }

    /// Returns the work of several times as many jobs.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        let scaled = |work: CoreMillis| CoreMillis((work.0 as f64 * factor) as u64);
        Self {
            reserved: scaled(self.reserved),
            best_effort: scaled(self.best_effort),
        }
    }

    /// Returns the work of all tasks.
    #[must_use]
    pub fn total(&self) -> CoreMillis {
        self.reserved.plus(self.best_effort)
    }
}

/// Work of one priority that waits for the workers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Service whose workers run the tasks.
    pub service: Box<str>,
    /// Priority of the jobs; 0 is the highest.
    pub priority: u8,
    /// Whether the row states the work of best-effort tasks, or that of the others.
    pub best_effort: bool,
    /// Number of occurrences of jobs with such work.
    pub jobs: u32,
    /// Work of tasks that are ready or depend on others. A running task counts half. Tasks that no
    /// reachable worker could run do not count.
    pub work: CoreMillis,
    /// Waiting work of jobs that are too late to be worth anything, which is not part of `work`: it
    /// runs once nothing else waits.
    pub late_work: CoreMillis,
    /// Processor time that such tasks of all priorities can get, in thousandths of a core.
    pub room: u32,
    /// Rate at which work of such tasks of all priorities has completed since some waits, in
    /// thousandths of a core.
    pub rate: u32,
    /// Rate at which the work is expected to complete, in thousandths of a core.
    pub speed: u32,
    /// Time in milliseconds until all such work of this and higher priorities is expected to be
    /// complete.
    pub wait_ms: u32,
}

/// Work that waits when the planner sends a heartbeat. A row that is absent states no work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Rows with work, those with most work first.
    pub rows: Vec<LoadRow>,
    /// Number of rows that were left out.
    pub rest_rows: u32,
    /// Work of the rows that were left out.
    pub rest_work: CoreMillis,
}

impl LoadReport {
    /// Sorts the rows and cuts those beyond [`MAX_LOAD_ROWS`].
    #[must_use]
    pub fn new(mut rows: Vec<LoadRow>) -> Self {
        rows.sort_by(|left, right| {
            let by_name = || {
                let key = |row: &LoadRow| (row.service.clone(), row.priority, row.best_effort);
                key(left).cmp(&key(right))
            };
            right.work.cmp(&left.work).then_with(by_name)
        });
        let rest = rows.split_off(rows.len().min(MAX_LOAD_ROWS));
        let add = |sum: CoreMillis, row: &LoadRow| sum.plus(row.work);
        Self {
            rows,
            rest_rows: rest.len() as u32,
            rest_work: rest.iter().fold(CoreMillis::default(), add),
        }
    }

    /// Returns the longest wait of all rows, in milliseconds.
    #[must_use]
    pub fn longest_wait_ms(&self) -> u32 {
        self.rows.iter().map(|row| row.wait_ms).max().unwrap_or(0)
    }
}
