//! Table of the attempts on an agent's worker, synchronized with the worker's own list.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{TaskOrder, TaskPhase, TaskStatus};
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Progress of an attempt's start call at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartState {
    /// The start call has not been answered.
    Starting,
    /// The start call got no answer; the worker may still start the attempt until `until`.
    Unconfirmed {
        /// Latest time at which the worker accepts the start.
        until: MonoTime,
    },
    /// The worker is known to have the attempt since `at`.
    Confirmed {
        /// When the worker's answer or list showed the attempt.
        at: MonoTime,
    },
    /// The start was refused or did not arrive in time; the worker never had the attempt.
    Refused,
}

/// Attempt in the table.
#[derive(Clone, Debug)]
struct TableEntry {
    status: TaskStatus,
    start_state: StartState,
    start_by: MonoTime,
    /// When a stop was last requested from the worker.
    stop_requested_at: Option<MonoTime>,
}

/// Attempts on an agent's worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTable {
    entries: BTreeMap<AttemptId, TableEntry>,
}

impl AttemptTable {
    /// Returns whether an attempt is in the table.
    pub(crate) fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Returns the sum of the reservations of the attempts that run or may run.
    pub(crate) fn admitted(&self) -> ResourceSize {
        self.running().fold(ResourceSize::default(), |sum, status| {
            sum.plus(&status.size)
        })
    }

    /// Returns the attempts that run or may run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &TaskStatus> {
        self.entries
            .values()
            .map(|entry| &entry.status)
            .filter(|status| status.phase == TaskPhase::Running)
    }

    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        let statuses = self.entries.values().map(|entry| entry.status.clone());
        statuses.collect()
    }

    pub(crate) fn status(&self, attempt: &AttemptId) -> Option<&TaskStatus> {
        self.entries.get(attempt).map(|entry| &entry.status)
    }

    /// Returns a digest that changes with the phase, checkpoint or speed of any attempt; never 0.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for status in self.entries.values().map(|entry| &entry.status) {
            status.attempt.hash(&mut hasher);
            status.phase.hash(&mut hasher);
            status.checkpoint.hash(&mut hasher);
            status.speed_percent.hash(&mut hasher);
        }
        hasher.finish().max(1)
    }

    /// Inserts an attempt whose start call is about to be made.
    pub(crate) fn admit(&mut self, order: &TaskOrder, start_by: MonoTime) {
        self.insert(order, start_by, StartState::Starting, TaskPhase::Running);
    }

    /// Inserts an attempt that was refused, so that the planner is informed.
    pub(crate) fn insert_refused(&mut self, order: &TaskOrder) {
        let start_state = StartState::Refused;
        self.insert(order, MonoTime(0), start_state, TaskPhase::Stopped);
    }

    fn insert(
        &mut self,
        order: &TaskOrder,
        start_by: MonoTime,
        start_state: StartState,
        phase: TaskPhase,
    ) {
        let status = TaskStatus {
            attempt: order.attempt.clone(),
            phase,
            size: order.size,
            kind: order.kind.clone(),
            checkpoint: order.resume_from.clone(),
            speed_percent: 100,
            usage: None,
        };
        let entry = TableEntry {
            status,
            start_state,
            start_by,
            stop_requested_at: None,
        };
        self.entries.insert(order.attempt.clone(), entry);
    }

    /// Records that the worker accepted a start.
    pub(crate) fn mark_confirmed(&mut self, attempt: &AttemptId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.start_state = StartState::Confirmed { at: now };
        }
    }

    /// Records that the worker refused a start.
    pub(crate) fn mark_refused(&mut self, attempt: &AttemptId) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.start_state = StartState::Refused;
            entry.status.phase = TaskPhase::Stopped;
        }
    }

    /// Records that a start call got no answer.
    pub(crate) fn mark_unconfirmed(&mut self, attempt: &AttemptId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            let until = entry.start_by.max(now);
            entry.start_state = StartState::Unconfirmed { until };
        }
    }

    /// Applies the worker's list that was requested at `requested_at`.
    pub(crate) fn apply_report(&mut self, listed: &[TaskStatus], requested_at: MonoTime) {
        for status in listed {
            self.apply_status(status, requested_at);
        }
        let known: Vec<&AttemptId> = listed.iter().map(|status| &status.attempt).collect();
        for entry in self.entries.values_mut() {
            if !known.contains(&&entry.status.attempt) {
                apply_missing(entry, requested_at);
            }
        }
    }

    fn apply_status(&mut self, status: &TaskStatus, requested_at: MonoTime) {
        let confirmed = StartState::Confirmed { at: requested_at };
        let entry = self
            .entries
            .entry(status.attempt.clone())
            .or_insert_with(|| TableEntry {
                status: status.clone(),
                start_state: confirmed,
                start_by: MonoTime(0),
                stop_requested_at: None,
            });
        if !matches!(entry.start_state, StartState::Confirmed { .. }) {
            entry.start_state = confirmed;
        }
        entry.status = status.clone();
    }

    /// Marks the running attempts as lapsed, once no lease at the worker can be valid.
    pub(crate) fn mark_lapsed(&mut self) {
        for entry in self.entries.values_mut() {
            let confirmed = matches!(entry.start_state, StartState::Confirmed { .. });
            if confirmed && entry.status.phase == TaskPhase::Running {
                entry.status.phase = TaskPhase::Lapsed;
            }
        }
    }

    /// Records a stop request; returns false if the attempt does not run or a stop was requested
    /// after `retry_before`.
    pub(crate) fn request_stop(
        &mut self,
        attempt: &AttemptId,
        now: MonoTime,
        retry_before: MonoTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(attempt) else {
            return false;
        };
        let requested = entry.stop_requested_at.is_some_and(|at| at > retry_before);
        if requested || entry.status.phase != TaskPhase::Running {
            return false;
        }
        entry.stop_requested_at = Some(now);
        true
    }

    /// Returns whether the worker never had the attempt: its start was refused or did not arrive
    /// in time.
    pub(crate) fn is_refused(&self, attempt: &AttemptId) -> bool {
        let entry = self.entries.get(attempt);
        entry.is_some_and(|entry| entry.start_state == StartState::Refused)
    }

    /// Removes an ended attempt.
    pub(crate) fn forget(&mut self, attempt: &AttemptId) {
        self.entries.remove(attempt);
    }
}

/// Updates an entry that is missing from the worker's list.
fn apply_missing(entry: &mut TableEntry, requested_at: MonoTime) {
    match entry.start_state {
        StartState::Unconfirmed { until } if requested_at > until => {
            entry.start_state = StartState::Refused;
            entry.status.phase = TaskPhase::Stopped;
        }
        StartState::Confirmed { at }
            if requested_at > at && entry.status.phase == TaskPhase::Running =>
        {
            entry.status.phase = TaskPhase::Lapsed;
        }
        StartState::Starting
        | StartState::Unconfirmed { .. }
        | StartState::Confirmed { .. }
        | StartState::Refused => {}
    }
}
