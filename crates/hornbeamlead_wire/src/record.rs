//! Forms of the records on the log.

use crate::convert::{forms, name, optional, text, values};
use crate::error::WireError;
use crate::snapshot::{CellSnapshotForm, JobSnapshotForm};
use crate::task::{AttemptForm, PhaseForm, TokenForm};
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, EndedTask, EpochClaim, JobEntry,
    JobRecord, ReleasedTask, SuccessorName, TaskRange,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Form of [`SuccessorName`].
#[derive(Serialize, Deserialize)]
pub(crate) struct SuccessorForm {
    host: Box<str>,
    control_address: SocketAddr,
}

impl From<&SuccessorName> for SuccessorForm {
    fn from(successor: &SuccessorName) -> Self {
        Self {
            host: text(&successor.host),
            control_address: successor.control_address,
        }
    }
}

impl TryFrom<SuccessorForm> for SuccessorName {
    type Error = WireError;

    fn try_from(form: SuccessorForm) -> Result<Self, WireError> {
        Ok(Self {
            host: name(&form.host)?,
            control_address: form.control_address,
        })
    }
}

/// Form of [`EpochClaim`].
#[derive(Serialize, Deserialize)]
pub(crate) struct ClaimForm {
    host: Box<str>,
    incarnation: u64,
    control_address: SocketAddr,
    previous: u64,
    successor: Option<SuccessorForm>,
    forced: bool,
}

impl From<&EpochClaim> for ClaimForm {
    fn from(claim: &EpochClaim) -> Self {
        Self {
            host: text(&claim.host),
            incarnation: claim.incarnation.0,
            control_address: claim.control_address,
            previous: claim.previous.0,
            successor: claim.successor.as_ref().map(SuccessorForm::from),
            forced: claim.forced,
        }
    }
}

impl TryFrom<ClaimForm> for EpochClaim {
    type Error = WireError;

    fn try_from(form: ClaimForm) -> Result<Self, WireError> {
        Ok(Self {
            host: name(&form.host)?,
            incarnation: Incarnation(form.incarnation),
            control_address: form.control_address,
            previous: Epoch(form.previous),
            successor: optional(form.successor)?,
            forced: form.forced,
        })
    }
}

/// Form of [`AttemptChange`].
#[derive(Serialize, Deserialize)]
enum ChangeForm {
    Started {
        host: Box<str>,
        resume_from: Option<TokenForm>,
    },
    Checkpointed {
        token: TokenForm,
    },
    Released {
        token: Option<TokenForm>,
    },
    Ended {
        phase: PhaseForm,
    },
}

impl From<&AttemptChange> for ChangeForm {
    fn from(change: &AttemptChange) -> Self {
        match change {
            AttemptChange::Started { host, resume_from } => Self::Started {
                host: text(host),
                resume_from: resume_from.as_ref().map(TokenForm::from),
            },
            AttemptChange::Checkpointed { token } => Self::Checkpointed {
                token: token.into(),
            },
            AttemptChange::Released { token } => Self::Released {
                token: token.as_ref().map(TokenForm::from),
            },
            AttemptChange::Ended { phase } => Self::Ended {
                phase: (*phase).into(),
            },
        }
    }
}

impl TryFrom<ChangeForm> for AttemptChange {
    type Error = WireError;

    fn try_from(form: ChangeForm) -> Result<Self, WireError> {
        Ok(match form {
            ChangeForm::Started { host, resume_from } => Self::Started {
                host: name(&host)?,
                resume_from: optional(resume_from)?,
            },
            ChangeForm::Checkpointed { token } => Self::Checkpointed {
                token: token.try_into()?,
            },
            ChangeForm::Released { token } => Self::Released {
                token: optional(token)?,
            },
            ChangeForm::Ended { phase } => Self::Ended {
                phase: phase.into(),
            },
        })
    }
}

/// Form of [`AttemptRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct AttemptRecordForm {
    attempt: AttemptForm,
    change: ChangeForm,
}

impl From<&AttemptRecord> for AttemptRecordForm {
    fn from(record: &AttemptRecord) -> Self {
        Self {
            attempt: (&record.attempt).into(),
            change: (&record.change).into(),
        }
    }
}

impl TryFrom<AttemptRecordForm> for AttemptRecord {
    type Error = WireError;

    fn try_from(form: AttemptRecordForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            change: form.change.try_into()?,
        })
    }
}

/// Form of [`CellEntry`].
#[derive(Serialize, Deserialize)]
enum CellEntryForm {
    Claim(ClaimForm),
    Successor {
        epoch: u64,
        successor: Option<SuccessorForm>,
    },
    Attempts {
        epoch: u64,
        changes: Vec<AttemptRecordForm>,
    },
    Snapshot(CellSnapshotForm),
}

impl From<&CellEntry> for CellEntryForm {
    fn from(entry: &CellEntry) -> Self {
        match entry {
            CellEntry::Claim(claim) => Self::Claim(claim.into()),
            CellEntry::Successor { epoch, successor } => Self::Successor {
                epoch: epoch.0,
                successor: successor.as_ref().map(SuccessorForm::from),
            },
            CellEntry::Attempts { epoch, changes } => Self::Attempts {
                epoch: epoch.0,
                changes: forms(changes),
            },
            CellEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.into()),
        }
    }
}

impl TryFrom<CellEntryForm> for CellEntry {
    type Error = WireError;

    fn try_from(form: CellEntryForm) -> Result<Self, WireError> {
        Ok(match form {
            CellEntryForm::Claim(claim) => Self::Claim(claim.try_into()?),
            CellEntryForm::Successor { epoch, successor } => Self::Successor {
                epoch: Epoch(epoch),
                successor: optional(successor)?,
            },
            CellEntryForm::Attempts { epoch, changes } => Self::Attempts {
                epoch: Epoch(epoch),
                changes: values(changes)?,
            },
            CellEntryForm::Snapshot(snapshot) => Self::Snapshot(snapshot.try_into()?),
        })
    }
}

/// Form of [`CellRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct CellForm {
    id: Box<str>,
    entry: CellEntryForm,
}

impl From<&CellRecord> for CellForm {
    fn from(record: &CellRecord) -> Self {
        Self {
            id: text(&record.id),
            entry: (&record.entry).into(),
        }
    }
}

impl TryFrom<CellForm> for CellRecord {
    type Error = WireError;

    fn try_from(form: CellForm) -> Result<Self, WireError> {
        Ok(Self {
            id: name(&form.id)?,
            entry: form.entry.try_into()?,
        })
    }
}

/// Form of [`TaskRange`].
#[derive(Serialize, Deserialize)]
pub(crate) struct RangeForm {
    job: Box<str>,
    first: u32,
    count: u32,
}

impl From<&TaskRange> for RangeForm {
    fn from(range: &TaskRange) -> Self {
        Self {
            job: text(&range.job),
            first: range.first,
            count: range.count,
        }
    }
}

impl TryFrom<RangeForm> for TaskRange {
    type Error = WireError;

    fn try_from(form: RangeForm) -> Result<Self, WireError> {
        Ok(Self {
            job: name(&form.job)?,
            first: form.first,
            count: form.count,
        })
    }
}

/// Form of [`ReleasedTask`].
#[derive(Serialize, Deserialize)]
pub(crate) struct ReleasedForm {
    attempt: AttemptForm,
    token: Option<TokenForm>,
}

impl From<&ReleasedTask> for ReleasedForm {
    fn from(task: &ReleasedTask) -> Self {
        Self {
            attempt: (&task.attempt).into(),
            token: task.token.as_ref().map(TokenForm::from),
        }
    }
}

impl TryFrom<ReleasedForm> for ReleasedTask {
    type Error = WireError;

    fn try_from(form: ReleasedForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            token: optional(form.token)?,
        })
    }
}

/// Form of [`EndedTask`].
#[derive(Serialize, Deserialize)]
pub(crate) struct EndedForm {
    attempt: AttemptForm,
    phase: PhaseForm,
}

impl From<&EndedTask> for EndedForm {
    fn from(task: &EndedTask) -> Self {
        Self {
            attempt: (&task.attempt).into(),
            phase: task.phase.into(),
        }
    }
}

impl TryFrom<EndedForm> for EndedTask {
    type Error = WireError;

    fn try_from(form: EndedForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            phase: form.phase.into(),
        })
    }
}

/// Form of [`JobEntry`].
#[derive(Serialize, Deserialize)]
enum JobEntryForm {
    Claim {
        cell: u32,
        epoch: u64,
        range: RangeForm,
    },
    Release {
        cell: u32,
        epoch: u64,
        tasks: Vec<ReleasedForm>,
    },
    Ended {
        cell: u32,
        tasks: Vec<EndedForm>,
    },
    Snapshot(JobSnapshotForm),
}

impl From<&JobEntry> for JobEntryForm {
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
                tasks: forms(tasks),
            },
            JobEntry::Ended { cell, tasks } => Self::Ended {
                cell: cell.0,
                tasks: forms(tasks),
            },
            JobEntry::Snapshot(snapshot) => Self::Snapshot(snapshot.into()),
        }
    }
}

impl TryFrom<JobEntryForm> for JobEntry {
    type Error = WireError;

    fn try_from(form: JobEntryForm) -> Result<Self, WireError> {
        Ok(match form {
            JobEntryForm::Claim { cell, epoch, range } => Self::Claim {
                cell: CellId(cell),
                epoch: Epoch(epoch),
                range: range.try_into()?,
            },
            JobEntryForm::Release { cell, epoch, tasks } => Self::Release {
                cell: CellId(cell),
                epoch: Epoch(epoch),
                tasks: values(tasks)?,
            },
            JobEntryForm::Ended { cell, tasks } => Self::Ended {
                cell: CellId(cell),
                tasks: values(tasks)?,
            },
            JobEntryForm::Snapshot(snapshot) => Self::Snapshot(snapshot.try_into()?),
        })
    }
}

/// Form of [`JobRecord`].
#[derive(Serialize, Deserialize)]
pub(crate) struct JobForm {
    id: Box<str>,
    entry: JobEntryForm,
}

impl From<&JobRecord> for JobForm {
    fn from(record: &JobRecord) -> Self {
        Self {
            id: text(&record.id),
            entry: (&record.entry).into(),
        }
    }
}

impl TryFrom<JobForm> for JobRecord {
    type Error = WireError;

    fn try_from(form: JobForm) -> Result<Self, WireError> {
        Ok(Self {
            id: name(&form.id)?,
            entry: form.entry.try_into()?,
        })
    }
}
