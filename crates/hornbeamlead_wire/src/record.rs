//! Wire types of the log records.

use crate::convert::{from_wire, from_wire_option, parse_name, text, to_wire};
use crate::error::WireError;
use crate::snapshot::{WireCellSnapshot, WireJobSnapshot};
use crate::task::{WireAttemptId, WireCheckpointToken, WireTaskPhase};
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, EndedTask, EpochClaim, JobEntry,
    JobRecord, ReleasedTask, SuccessorName, TaskRange,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Wire type of [`SuccessorName`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireSuccessorName {
    host: Box<str>,
    control_address: SocketAddr,
}

impl From<&SuccessorName> for WireSuccessorName {
    fn from(successor: &SuccessorName) -> Self {
        Self {
            host: text(&successor.host),
            control_address: successor.control_address,
        }
    }
}

impl TryFrom<WireSuccessorName> for SuccessorName {
    type Error = WireError;

    fn try_from(wire: WireSuccessorName) -> Result<Self, WireError> {
        Ok(Self {
            host: parse_name(&wire.host)?,
            control_address: wire.control_address,
        })
    }
}

/// Wire type of [`EpochClaim`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireEpochClaim {
    host: Box<str>,
    incarnation: u64,
    control_address: SocketAddr,
    previous: u64,
    successor: Option<WireSuccessorName>,
    forced: bool,
}

impl From<&EpochClaim> for WireEpochClaim {
    fn from(claim: &EpochClaim) -> Self {
        Self {
            host: text(&claim.host),
            incarnation: claim.incarnation.0,
            control_address: claim.control_address,
            previous: claim.previous.0,
            successor: claim.successor.as_ref().map(WireSuccessorName::from),
            forced: claim.forced,
        }
    }
}

impl TryFrom<WireEpochClaim> for EpochClaim {
    type Error = WireError;

    fn try_from(wire: WireEpochClaim) -> Result<Self, WireError> {
        Ok(Self {
            host: parse_name(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            control_address: wire.control_address,
            previous: Epoch(wire.previous),
            successor: from_wire_option(wire.successor)?,
            forced: wire.forced,
        })
    }
}

/// Wire type of [`AttemptChange`].
#[derive(Serialize, Deserialize)]
enum WireAttemptChange {
    Started {
        host: Box<str>,
        resume_from: Option<WireCheckpointToken>,
    },
    Checkpointed {
        token: WireCheckpointToken,
    },
    Released {
        token: Option<WireCheckpointToken>,
    },
    Ended {
        phase: WireTaskPhase,
    },
}

impl From<&AttemptChange> for WireAttemptChange {
    fn from(change: &AttemptChange) -> Self {
        match change {
            AttemptChange::Started { host, resume_from } => Self::Started {
                host: text(host),
                resume_from: resume_from.as_ref().map(WireCheckpointToken::from),
            },
            AttemptChange::Checkpointed { token } => Self::Checkpointed {
                token: token.into(),
            },
            AttemptChange::Released { token } => Self::Released {
                token: token.as_ref().map(WireCheckpointToken::from),
            },
            AttemptChange::Ended { phase } => Self::Ended {
                phase: (*phase).into(),
            },
        }
    }
}

impl TryFrom<WireAttemptChange> for AttemptChange {
    type Error = WireError;

    fn try_from(wire: WireAttemptChange) -> Result<Self, WireError> {
        Ok(match wire {
            WireAttemptChange::Started { host, resume_from } => Self::Started {
                host: parse_name(&host)?,
                resume_from: from_wire_option(resume_from)?,
            },
            WireAttemptChange::Checkpointed { token } => Self::Checkpointed {
                token: token.try_into()?,
            },
            WireAttemptChange::Released { token } => Self::Released {
                token: from_wire_option(token)?,
            },
            WireAttemptChange::Ended { phase } => Self::Ended {
                phase: phase.into(),
            },
        })
    }
}

/// Wire type of [`AttemptRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireAttemptRecord {
    attempt: WireAttemptId,
    change: WireAttemptChange,
}

impl From<&AttemptRecord> for WireAttemptRecord {
    fn from(record: &AttemptRecord) -> Self {
        Self {
            attempt: (&record.attempt).into(),
            change: (&record.change).into(),
        }
    }
}

impl TryFrom<WireAttemptRecord> for AttemptRecord {
    type Error = WireError;

    fn try_from(wire: WireAttemptRecord) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            change: wire.change.try_into()?,
        })
    }
}

/// Wire type of [`CellEntry`].
#[derive(Serialize, Deserialize)]
enum WireCellEntry {
    Claim(WireEpochClaim),
    Successor {
        epoch: u64,
        successor: Option<WireSuccessorName>,
    },
    Attempts {
        epoch: u64,
        changes: Vec<WireAttemptRecord>,
    },
    Snapshot(WireCellSnapshot),
}

impl From<&CellEntry> for WireCellEntry {
    fn from(entry: &CellEntry) -> Self {
        match entry {
            CellEntry::Claim(claim) => Self::Claim(claim.into()),
            CellEntry::Successor { epoch, successor } => Self::Successor {
                epoch: epoch.0,
                successor: successor.as_ref().map(WireSuccessorName::from),
            },
            CellEntry::Attempts { epoch, changes } => Self::Attempts {
                epoch: epoch.0,
                changes: to_wire(changes),
            },
            CellEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.into()),
        }
    }
}

impl TryFrom<WireCellEntry> for CellEntry {
    type Error = WireError;

    fn try_from(wire: WireCellEntry) -> Result<Self, WireError> {
        Ok(match wire {
            WireCellEntry::Claim(claim) => Self::Claim(claim.try_into()?),
            WireCellEntry::Successor { epoch, successor } => Self::Successor {
                epoch: Epoch(epoch),
                successor: from_wire_option(successor)?,
            },
            WireCellEntry::Attempts { epoch, changes } => Self::Attempts {
                epoch: Epoch(epoch),
                changes: from_wire(changes)?,
            },
            WireCellEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.try_into()?),
        })
    }
}

/// Wire type of [`CellRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireCellRecord {
    id: Box<str>,
    entry: WireCellEntry,
}

impl From<&CellRecord> for WireCellRecord {
    fn from(record: &CellRecord) -> Self {
        Self {
            id: text(&record.id),
            entry: (&record.entry).into(),
        }
    }
}

impl TryFrom<WireCellRecord> for CellRecord {
    type Error = WireError;

    fn try_from(wire: WireCellRecord) -> Result<Self, WireError> {
        Ok(Self {
            id: parse_name(&wire.id)?,
            entry: wire.entry.try_into()?,
        })
    }
}

/// Wire type of [`TaskRange`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireTaskRange {
    job: Box<str>,
    first: u32,
    count: u32,
}

impl From<&TaskRange> for WireTaskRange {
    fn from(range: &TaskRange) -> Self {
        Self {
            job: text(&range.job),
            first: range.first,
            count: range.count,
        }
    }
}

impl TryFrom<WireTaskRange> for TaskRange {
    type Error = WireError;

    fn try_from(wire: WireTaskRange) -> Result<Self, WireError> {
        Ok(Self {
            job: parse_name(&wire.job)?,
            first: wire.first,
            count: wire.count,
        })
    }
}

/// Wire type of [`ReleasedTask`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireReleasedTask {
    attempt: WireAttemptId,
    token: Option<WireCheckpointToken>,
}

impl From<&ReleasedTask> for WireReleasedTask {
    fn from(task: &ReleasedTask) -> Self {
        Self {
            attempt: (&task.attempt).into(),
            token: task.token.as_ref().map(WireCheckpointToken::from),
        }
    }
}

impl TryFrom<WireReleasedTask> for ReleasedTask {
    type Error = WireError;

    fn try_from(wire: WireReleasedTask) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            token: from_wire_option(wire.token)?,
        })
    }
}

/// Wire type of [`EndedTask`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireEndedTask {
    attempt: WireAttemptId,
    phase: WireTaskPhase,
}

impl From<&EndedTask> for WireEndedTask {
    fn from(task: &EndedTask) -> Self {
        Self {
            attempt: (&task.attempt).into(),
            phase: task.phase.into(),
        }
    }
}

impl TryFrom<WireEndedTask> for EndedTask {
    type Error = WireError;

    fn try_from(wire: WireEndedTask) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            phase: wire.phase.into(),
        })
    }
}

/// Wire type of [`JobEntry`].
#[derive(Serialize, Deserialize)]
enum WireJobEntry {
    Claim {
        cell: u32,
        epoch: u64,
        range: WireTaskRange,
    },
    Release {
        cell: u32,
        epoch: u64,
        tasks: Vec<WireReleasedTask>,
    },
    Ended {
        cell: u32,
        tasks: Vec<WireEndedTask>,
    },
    Snapshot(WireJobSnapshot),
}

impl From<&JobEntry> for WireJobEntry {
    fn from(entry: &JobEntry) -> Self {
        match entry {
            JobEntry::Claim { cell, epoch, range } => Self::Claim {
                cell: cell.0,
                epoch: epoch.0,
                range: range.into(),
            },
            JobEntry::Release { cell, epoch, tasks } => Self::Release {
                cell: cell.0,
                epoch: epoch.0,
                tasks: to_wire(tasks),
            },
            JobEntry::Ended { cell, tasks } => Self::Ended {
                cell: cell.0,
                tasks: to_wire(tasks),
            },
            JobEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.into()),
        }
    }
}

impl TryFrom<WireJobEntry> for JobEntry {
    type Error = WireError;

    fn try_from(wire: WireJobEntry) -> Result<Self, WireError> {
        Ok(match wire {
            WireJobEntry::Claim { cell, epoch, range } => Self::Claim {
                cell: CellId(cell),
                epoch: Epoch(epoch),
                range: range.try_into()?,
            },
            WireJobEntry::Release { cell, epoch, tasks } => Self::Release {
                cell: CellId(cell),
                epoch: Epoch(epoch),
                tasks: from_wire(tasks)?,
            },
            WireJobEntry::Ended { cell, tasks } => Self::Ended {
                cell: CellId(cell),
                tasks: from_wire(tasks)?,
            },
            WireJobEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.try_into()?),
        })
    }
}

/// Wire type of [`JobRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireJobRecord {
    id: Box<str>,
    entry: WireJobEntry,
}

impl From<&JobRecord> for WireJobRecord {
    fn from(record: &JobRecord) -> Self {
        Self {
            id: text(&record.id),
            entry: (&record.entry).into(),
        }
    }
}

impl TryFrom<WireJobRecord> for JobRecord {
    type Error = WireError;

    fn try_from(wire: WireJobRecord) -> Result<Self, WireError> {
        Ok(Self {
            id: parse_name(&wire.id)?,
            entry: wire.entry.try_into()?,
        })
    }
}
