//! Agent's table of the attempts on its worker, backed by the worker's own list.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{TaskOrder, TaskPhase, TaskStatus};
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// How sure the agent is that the worker knows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryStage {
    /// The start call has not been answered.
    Starting,
    /// The start call had no answer; the worker may start it until `until`.
    Unsure {
        /// Last moment at which the worker may take the start.
        until: MonoTime,
    },
    /// The worker has it since `at`.
    Confirmed {
        /// When that became known.
        at: MonoTime,
    },
    /// The start was refused; the worker never had it.
    Refused,
}

/// Attempt in the table.
#[derive(Clone, Debug)]
struct TableEntry {
    status: TaskStatus,
    stage: EntryStage,
    start_by: MonoTime,
    /// Last time a stop was asked of the worker.
    stop_asked: Option<MonoTime>,
}

/// Agent's table of attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTable {
    entries: BTreeMap<AttemptId, TableEntry>,
}

impl AttemptTable {
    /// Returns whether an attempt is in the table.
    pub(crate) fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.contains_key(attempt)
    }

    /// Returns the sum of the reservations of all that runs or may run.
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

    /// Returns all attempts.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        let statuses = self.entries.values().map(|entry| entry.status.clone());
        statuses.collect()
    }

    /// Returns the status of an attempt.
    pub(crate) fn status(&self, attempt: &AttemptId) -> Option<&TaskStatus> {
        self.entries.get(attempt).map(|entry| &entry.status)
    }

    /// Returns a digest that changes with every state, checkpoint and speed.
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

    /// Admits an attempt whose start call is about to be made.
    pub(crate) fn admit(&mut self, order: &TaskOrder, start_by: MonoTime) {
        self.insert(order, start_by, EntryStage::Starting, TaskPhase::Running);
    }

    /// Enters an attempt that was refused, so that the planner learns of it.
    pub(crate) fn enter_refused(&mut self, order: &TaskOrder) {
        let stage = EntryStage::Refused;
        self.insert(order, MonoTime(0), stage, TaskPhase::Stopped);
    }

    fn insert(
        &mut self,
        order: &TaskOrder,
        start_by: MonoTime,
        stage: EntryStage,
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
            stage,
            start_by,
            stop_asked: None,
        };
        self.entries.insert(order.attempt.clone(), entry);
    }

    /// Notes that the worker took a start.
    pub(crate) fn confirm(&mut self, attempt: &AttemptId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.stage = EntryStage::Confirmed { at: now };
        }
    }

    /// Notes that the worker refused a start.
    pub(crate) fn refuse(&mut self, attempt: &AttemptId) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.stage = EntryStage::Refused;
            entry.status.phase = TaskPhase::Stopped;
        }
    }

    /// Notes that a start call had no answer.
    pub(crate) fn doubt(&mut self, attempt: &AttemptId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            let until = entry.start_by.max(now);
            entry.stage = EntryStage::Unsure { until };
        }
    }

    /// Takes the worker's list, asked for at `asked_at`, over.
    pub(crate) fn take_report(&mut self, listed: &[TaskStatus], asked_at: MonoTime) {
        for status in listed {
            self.take_status(status, asked_at);
        }
        let known: Vec<&AttemptId> = listed.iter().map(|status| &status.attempt).collect();
        for entry in self.entries.values_mut() {
            if !known.contains(&&entry.status.attempt) {
                miss(entry, asked_at);
            }
        }
    }

    fn take_status(&mut self, status: &TaskStatus, asked_at: MonoTime) {
        let confirmed = EntryStage::Confirmed { at: asked_at };
        let entry = self
            .entries
            .entry(status.attempt.clone())
            .or_insert_with(|| TableEntry {
                status: status.clone(),
                stage: confirmed,
                start_by: MonoTime(0),
                stop_asked: None,
            });
        if !matches!(entry.stage, EntryStage::Confirmed { .. }) {
            entry.stage = confirmed;
        }
        entry.status = status.clone();
    }

    /// Marks all that runs as lapsed, once no lease can be standing at the worker.
    pub(crate) fn lapse(&mut self) {
        for entry in self.entries.values_mut() {
            let confirmed = matches!(entry.stage, EntryStage::Confirmed { .. });
            if confirmed && entry.status.phase == TaskPhase::Running {
                entry.status.phase = TaskPhase::Lapsed;
            }
        }
    }

    /// Returns whether a stop may be asked now, and notes that it is.
    pub(crate) fn ask_stop(&mut self, attempt: &AttemptId, now: MonoTime, again: MonoTime) -> bool {
        let Some(entry) = self.entries.get_mut(attempt) else {
            return false;
        };
        let asked = entry.stop_asked.is_some_and(|at| at > again);
        if asked || entry.status.phase != TaskPhase::Running {
            return false;
        }
        entry.stop_asked = Some(now);
        true
    }

    /// Returns whether the worker never had an attempt.
    pub(crate) fn is_refused(&self, attempt: &AttemptId) -> bool {
        let entry = self.entries.get(attempt);
        entry.is_some_and(|entry| entry.stage == EntryStage::Refused)
    }

    /// Drops an ended attempt.
    pub(crate) fn forget(&mut self, attempt: &AttemptId) {
        self.entries.remove(attempt);
    }
}

/// Judges an entry that the worker's list lacks.
fn miss(entry: &mut TableEntry, asked_at: MonoTime) {
    match entry.stage {
        EntryStage::Unsure { until } if asked_at > until => {
            entry.stage = EntryStage::Refused;
            entry.status.phase = TaskPhase::Stopped;
        }
        EntryStage::Confirmed { at }
            if asked_at > at && entry.status.phase == TaskPhase::Running =>
        {
            entry.status.phase = TaskPhase::Lapsed;
        }
        EntryStage::Starting
        | EntryStage::Unsure { .. }
        | EntryStage::Confirmed { .. }
        | EntryStage::Refused => {}
    }
}
