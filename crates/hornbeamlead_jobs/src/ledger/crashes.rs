//! Crashes of workers under tasks, which follow from the plan's records, so that the next planner
//! knows them.
//!
//! A crash has one cause, but takes all attempts on the worker with it. So a task is not given up by
//! the number of crashes alone: some of them have to be attributed to it, which the planner does if
//! no other attempt can account for the crash.

use super::JobLedger;
use crate::ids::{JobId, RunName, TaskSlot};
use crate::job::RunEnd;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;

/// Weight of crashes under a task from which on it starts apart from others only.
const ISOLATED_WEIGHT: u16 = 2;

/// Crashes under a task after which it may crash its workers some time after its start.
const REPEATED_CRASHES: u16 = 3;

/// Crashes that no other attempt can account for, at once or not, after which a task is given up
/// while no worker crashes by itself.
const MIN_ALONE: u16 = 4;

/// Most tasks of which crashes are known.
const MAX_TASKS: usize = 10_000;

/// How likely an attempt has caused a crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSuspicion {
    /// Others had started after it.
    Unlikely,
    /// It had just started, as others had.
    Possible,
    /// It was among the few that had started last.
    Likely,
    /// No other attempt can account for the crash, but the worker had listed it as running.
    Alone,
    /// No other attempt can account for the crash, which came before the worker listed it.
    Certain,
}

impl fmt::Display for CrashSuspicion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unlikely => "unlikely",
            Self::Possible => "possible",
            Self::Likely => "likely",
            Self::Alone => "alone",
            Self::Certain => "certain",
        })
    }
}

impl CrashSuspicion {
    fn weight(self) -> u16 {
        match self {
            Self::Unlikely => 0,
            Self::Possible => 1,
            Self::Likely | Self::Alone | Self::Certain => ISOLATED_WEIGHT,
        }
    }
}

/// Crashes of workers under a task since it last succeeded or ran for long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Crashes right after a start that no other attempt can account for.
    pub certain: u16,
    /// Crashes that no other attempt can account for.
    pub alone: u16,
    /// All crashes, of which others may be the cause.
    pub count: u16,
    /// Sum of the weights of the crashes.
    pub weight: u16,
}

impl TaskCrashes {
    /// Returns whether the task starts apart from others only, so that the next crash can be
    /// attributed.
    #[must_use]
    pub fn is_isolated(self) -> bool {
        self.weight >= ISOLATED_WEIGHT || self.is_repeated()
    }

    /// Returns whether so many workers have crashed that the task may crash them some time after its
    /// start.
    #[must_use]
    pub fn is_repeated(self) -> bool {
        self.count >= REPEATED_CRASHES
    }

    /// Returns whether the task crashes its workers beyond reasonable doubt.
    #[must_use]
    pub fn is_conclusive(self, unrest: FleetUnrest) -> bool {
        let certain = self.is_repeated() && self.certain >= unrest.min_certain();
        certain || unrest == FleetUnrest::Calm && self.alone >= MIN_ALONE
    }
}

/// How often workers crash by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetUnrest {
    /// None has lately.
    Calm,
    /// Some have.
    Some,
    /// As many as half of the hosts have, or more.
    Severe,
}

impl FleetUnrest {
    /// Returns the number of certain crashes after which a task is given up. A worker may crash by
    /// itself just after a task has started there apart from others, the more so with more unrest. The
    /// platform permits five starts.
    fn min_certain(self) -> u16 {
        match self {
            Self::Calm => 2,
            Self::Some => 3,
            Self::Severe => 4,
        }
    }
}

pub(super) fn slots_of(job: JobId) -> RangeInclusive<TaskSlot> {
    let slot = |step, index| TaskSlot { job, step, index };
    slot(0, 0)..=slot(u16::MAX, u32::MAX)
}

impl JobLedger {
    /// Returns the crashes under a task, in all occurrences of its job.
    #[must_use]
    pub fn crashes_under(&self, slot: TaskSlot) -> TaskCrashes {
        self.crashes.get(&slot).copied().unwrap_or_default()
    }

    /// Returns a task of a job that crashes its workers beyond reasonable doubt.
    #[must_use]
    pub fn conclusive_crashes(
        &self,
        job: JobId,
        unrest: FleetUnrest,
    ) -> Option<(TaskSlot, TaskCrashes)> {
        let mut crashes = self.crashes.range(slots_of(job));
        let conclusive = crashes.find(|(_, crashes)| crashes.is_conclusive(unrest));
        conclusive.map(|(slot, crashes)| (*slot, *crashes))
    }

    /// Counts a crash under an attempt, which is still placed unless its end was recorded before.
    pub(super) fn note_crash(&mut self, run: RunName, suspicion: CrashSuspicion) {
        let Some(placement) = self.placement(run) else {
            return;
        };
        let host = placement.host.clone();
        self.avoid_host(run.task, host);
        let slot = TaskSlot::from(run.task);
        if !self.crashes.contains_key(&slot) {
            self.limit_crashes();
        }
        let crashes = self.crashes.entry(slot).or_default();
        crashes.count = crashes.count.saturating_add(1);
        crashes.weight = crashes.weight.saturating_add(suspicion.weight());
        let certain = u16::from(suspicion == CrashSuspicion::Certain);
        let alone = u16::from(suspicion >= CrashSuspicion::Alone);
        crashes.certain = crashes.certain.saturating_add(certain);
        crashes.alone = crashes.alone.saturating_add(alone);
    }

    /// Forgets the task with the fewest crashes if there are too many.
    fn limit_crashes(&mut self) {
        if self.crashes.len() < MAX_TASKS {
            return;
        }
        let fewest = self.crashes.iter().min_by_key(|(_, crashes)| **crashes);
        if let Some(slot) = fewest.map(|(slot, _)| *slot) {
            self.crashes.remove(&slot);
        }
    }

    /// Forgets the crashes under a task that has run for long.
    pub(super) fn note_sound(&mut self, run: RunName) {
        self.crashes.remove(&run.task.into());
    }

    /// Forgets the crashes under a task that has succeeded.
    pub(super) fn clear_crashes(&mut self, run: RunName, end: RunEnd) {
        if end == RunEnd::Done {
            self.crashes.remove(&run.task.into());
            self.crash_history.chains.remove(&run.task.into());
        }
    }

    /// Forgets the crashes under the tasks of a job.
    pub(super) fn forget_crashes(&mut self, job: JobId) {
        let crashes = self.crashes.range(slots_of(job)).map(|it| *it.0);
        let chains = self.crash_history.chains.range(slots_of(job));
        let slots: Vec<_> = crashes.chain(chains.map(|it| *it.0)).collect();
        for slot in slots {
            self.crashes.remove(&slot);
            self.crash_history.chains.remove(&slot);
        }
    }
}
