//! Replay of a cell's stream, deterministic in every reader: epoch, claim, successor and attempts.

use crate::stream::StreamState;
use hornbeamlead_core::ids::{AttemptId, Epoch, HostId, LogOffset, RecordId, TaskId};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, CellSnapshot, EpochClaim, LogRecord,
    SuccessorName,
};
use hornbeamlead_core::task::{CheckpointToken, TaskPhase};
use std::collections::BTreeMap;

/// State of a task's newest attempt, as recorded on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Started on a host; it may not run yet, or no longer.
    Started {
        /// Host chosen for the attempt.
        host: HostId,
    },
    /// Known not to run; the task may be resumed in a new attempt.
    Released,
    /// Ended for good.
    Ended(TaskPhase),
}

/// Newest attempt of a task, as recorded on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatestAttempt {
    /// Number of the attempt.
    pub number: u32,
    /// State of the attempt.
    pub state: AttemptState,
    /// Newest checkpoint of the task.
    pub token: Option<CheckpointToken>,
}

/// State built by replaying a cell's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellState {
    next: LogOffset,
    epoch: Epoch,
    claim: Option<EpochClaim>,
    forced: Epoch,
    attempts: BTreeMap<TaskId, LatestAttempt>,
}

impl CellState {
    /// Returns the epoch in force; 0 before the first claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the claim in force, with the most recently named successor.
    #[must_use]
    pub fn claim(&self) -> Option<&EpochClaim> {
        self.claim.as_ref()
    }

    /// Returns the named successor.
    #[must_use]
    pub fn successor(&self) -> Option<&SuccessorName> {
        self.claim.as_ref()?.successor.as_ref()
    }

    /// Returns the newest epoch opened by a forced claim; 0 for none.
    #[must_use]
    pub fn forced(&self) -> Epoch {
        self.forced
    }

    /// Returns the newest attempt of each task.
    #[must_use]
    pub fn attempts(&self) -> &BTreeMap<TaskId, LatestAttempt> {
        &self.attempts
    }

    /// Returns a snapshot with the tasks that `keep` accepts.
    pub fn snapshot(&self, keep: impl Fn(&TaskId) -> bool) -> CellSnapshot {
        let kept = self.attempts.iter().filter(|(task, _)| keep(task));
        CellSnapshot {
            up_to: self.next,
            epoch: self.epoch,
            claim: self.claim.clone(),
            forced: self.forced,
            attempts: kept
                .flat_map(|(task, latest)| restore_records(task, latest))
                .collect(),
        }
    }

    /// Returns whether a claim would take effect as the next record of the log.
    #[must_use]
    pub fn admits(&self, claim: &EpochClaim) -> bool {
        claim.previous == self.epoch && self.may_claim(claim)
    }

    fn may_claim(&self, claim: &EpochClaim) -> bool {
        let Some(current) = &self.claim else {
            return true;
        };
        let restarted = claim.host == current.host && claim.incarnation >= current.incarnation;
        match &current.successor {
            _ if claim.forced || restarted => true,
            None => true,
            Some(successor) => successor.host == claim.host,
        }
    }

    fn apply_entry(&mut self, offset: LogOffset, entry: &CellEntry) {
        match entry {
            CellEntry::Claim(claim) if self.admits(claim) => {
                self.epoch = Epoch::after(offset);
                if claim.forced {
                    self.forced = self.epoch;
                }
                self.claim = Some(claim.clone());
            }
            CellEntry::Successor { epoch, successor } if *epoch == self.epoch => {
                if let Some(claim) = &mut self.claim {
                    claim.successor.clone_from(successor);
                }
            }
            CellEntry::Attempts { epoch, changes } if *epoch == self.epoch => {
                changes.iter().for_each(|change| self.apply_change(change));
            }
            CellEntry::Claim(_)
            | CellEntry::Successor { .. }
            | CellEntry::Attempts { .. }
            | CellEntry::Snapshot(_) => {}
        }
    }

    fn apply_change(&mut self, record: &AttemptRecord) {
        let AttemptId { task, number } = &record.attempt;
        match &record.change {
            AttemptChange::Started { host, resume_from } => {
                self.record_start(task, *number, host, resume_from.as_ref());
            }
            AttemptChange::Checkpointed { token } => {
                if let Some(latest) = self.started_attempt(task, *number) {
                    update_checkpoint(&mut latest.token, Some(token));
                }
            }
            AttemptChange::Released { token } => {
                if let Some(latest) = self.started_attempt(task, *number) {
                    update_checkpoint(&mut latest.token, token.as_ref());
                    latest.state = AttemptState::Released;
                }
            }
            AttemptChange::Ended { phase } => {
                if let Some(latest) = self.started_attempt(task, *number) {
                    latest.state = AttemptState::Ended(*phase);
                }
            }
        }
    }

    /// Records a start; ignored unless the task was never started, or was released and the number
    /// is new.
    fn record_start(
        &mut self,
        task: &TaskId,
        number: u32,
        host: &HostId,
        resume_from: Option<&CheckpointToken>,
    ) {
        let startable = self
            .attempts
            .get(task)
            .is_none_or(|latest| latest.state == AttemptState::Released && latest.number < number);
        if !startable {
            return;
        }
        let latest = LatestAttempt {
            number,
            state: AttemptState::Started { host: host.clone() },
            token: resume_from.cloned(),
        };
        self.attempts.insert(task.clone(), latest);
    }

    fn started_attempt(&mut self, task: &TaskId, number: u32) -> Option<&mut LatestAttempt> {
        self.attempts.get_mut(task).filter(|latest| {
            latest.number == number && matches!(latest.state, AttemptState::Started { .. })
        })
    }
}

impl StreamState for CellState {
    type Record = CellRecord;

    fn next(&self) -> LogOffset {
        self.next
    }

    fn apply(&mut self, log_record: &LogRecord<CellRecord>) {
        if log_record.offset < self.next {
            return;
        }
        self.next = LogOffset(log_record.offset.0.saturating_add(1));
        self.apply_entry(log_record.offset, &log_record.record.entry);
    }

    fn restore(record: &CellRecord) -> Option<Self> {
        let CellEntry::Snapshot(snapshot) = &record.entry else {
            return None;
        };
        let mut state = Self {
            next: snapshot.up_to,
            epoch: snapshot.epoch,
            claim: snapshot.claim.clone(),
            forced: snapshot.forced,
            attempts: BTreeMap::new(),
        };
        snapshot
            .attempts
            .iter()
            .for_each(|change| state.apply_change(change));
        Some(state)
    }

    fn id(record: &CellRecord) -> &RecordId {
        &record.id
    }
}

/// Replaces a checkpoint by one with at least as much progress.
fn update_checkpoint(token: &mut Option<CheckpointToken>, newer: Option<&CheckpointToken>) {
    let progress = token.as_ref().map(|known| known.progress_ms);
    match newer {
        Some(found) if Some(found.progress_ms) >= progress => *token = Some(found.clone()),
        Some(_) | None => {}
    }
}

/// Returns the records that restore the state of an attempt.
fn restore_records(task: &TaskId, latest: &LatestAttempt) -> Vec<AttemptRecord> {
    let attempt = AttemptId {
        task: task.clone(),
        number: latest.number,
    };
    let host = match &latest.state {
        AttemptState::Started { host } => host.clone(),
        AttemptState::Released | AttemptState::Ended(_) => unknown_host(),
    };
    let start = AttemptChange::Started {
        host,
        resume_from: latest.token.clone(),
    };
    let rest = match &latest.state {
        AttemptState::Started { .. } => None,
        AttemptState::Released => Some(AttemptChange::Released { token: None }),
        AttemptState::Ended(phase) => Some(AttemptChange::Ended { phase: *phase }),
    };
    std::iter::once(start)
        .chain(rest)
        .map(|change| AttemptRecord {
            attempt: attempt.clone(),
            change,
        })
        .collect()
}

/// Returns the placeholder written for the host of an attempt that no longer runs.
fn unknown_host() -> HostId {
    #[expect(clippy::unwrap_used, reason = "the literal is a valid name")]
    HostId::new("none").unwrap()
}
