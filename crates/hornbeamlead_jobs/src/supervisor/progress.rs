//! Ages of the attempts on the worker, and their time without progress, which the agent knows across
//! planners.

use crate::ids::RunName;
use crate::message::{AgeRow, IdleRow, IdleRuns, RunAges};
use crate::worker::RunningRow;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without progress from which an attempt is reported as idle. The shortest limit of a planner
/// is 1 s.
const MIN_IDLE: Duration = Duration::from_millis(500);

/// Time between two lists above which it is unknown whether the worker stood still itself.
const MAX_LIST_GAP: Duration = Duration::from_millis(1000);

/// Progress of an attempt, and when it was first listed with it.
#[derive(Clone, Copy, Debug)]
struct RunProgress {
    percent: u8,
    reached_at: MonoTime,
}

/// Progress of all attempts that the worker lists.
#[derive(Debug, Default)]
pub(super) struct ProgressWatch {
    listed_at: MonoTime,
    runs: BTreeMap<RunName, RunProgress>,
    /// When each attempt was first listed.
    first_listed: BTreeMap<RunName, MonoTime>,
}

impl ProgressWatch {
    /// Notes the worker's list of running attempts.
    pub(super) fn note(&mut self, now: MonoTime, running: &[RunningRow]) {
        if now.since(self.listed_at) > MAX_LIST_GAP {
            self.runs.clear();
        }
        self.listed_at = now;
        let progress = |row: &RunningRow| {
            let known = self.runs.get(&row.run).copied();
            let reached = RunProgress {
                percent: row.percent,
                reached_at: now,
            };
            let unchanged = known.filter(|known| row.percent <= known.percent);
            (row.run, unchanged.unwrap_or(reached))
        };
        self.runs = running.iter().map(progress).collect();
        let first_listed = |row: &RunningRow| {
            let known = self.first_listed.get(&row.run).copied();
            (row.run, known.unwrap_or(now))
        };
        self.first_listed = running.iter().map(first_listed).collect();
    }

    /// Forgets all attempts, as those of a worker that has ended.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
        self.first_listed.clear();
    }

    /// Returns the ages of the attempts of the latest list.
    pub(super) fn ages(&self, running: &[RunningRow]) -> RunAges {
        let age = |(row, listed): (usize, &RunningRow)| {
            let age = self.listed_at.since(*self.first_listed.get(&listed.run)?);
            Some(AgeRow {
                row: u16::try_from(row).ok()?,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        };
        RunAges(running.iter().enumerate().filter_map(age).collect())
    }

    /// Returns the attempts of the latest list that make no progress, and have some left to make.
    pub(super) fn idle(&self, running: &[RunningRow]) -> IdleRuns {
        let idle = |(row, listed): (usize, &RunningRow)| {
            let progress = self.runs.get(&listed.run)?;
            let span = self.listed_at.since(progress.reached_at);
            let is_idle = progress.percent < 100 && span >= MIN_IDLE;
            is_idle.then_some(IdleRow {
                row: u16::try_from(row).ok()?,
                idle_ms: u32::try_from(span.as_millis()).unwrap_or(u32::MAX),
            })
        };
        IdleRuns(running.iter().enumerate().filter_map(idle).collect())
    }
}
