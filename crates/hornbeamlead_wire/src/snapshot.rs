//! Forms of the snapshots that keep a stream readable beyond retention.

use crate::convert::{forms, optional, values};
use crate::error::WireError;
use crate::record::{AttemptRecordForm, ClaimForm, EndedForm, RangeForm, ReleasedForm};
use hornbeamlead_core::ids::{CellId, Epoch, LogOffset};
use hornbeamlead_core::record::{CellSnapshot, JobSnapshot, OwnedRange, WriterPosition};
use serde::{Deserialize, Serialize};

/// Form of [`CellSnapshot`].
#[derive(Serialize, Deserialize)]
pub(crate) struct CellSnapshotForm {
    up_to: u64,
    epoch: u64,
    claim: Option<ClaimForm>,
    forced: u64,
    attempts: Vec<AttemptRecordForm>,
}

impl From<&CellSnapshot> for CellSnapshotForm {
    fn from(snapshot: &CellSnapshot) -> Self {
        Self {
            up_to: snapshot.up_to.0,
            epoch: snapshot.epoch.0,
            claim: snapshot.claim.as_ref().map(ClaimForm::from),
            forced: snapshot.forced.0,
            attempts: forms(&snapshot.attempts),
        }
    }
}

impl TryFrom<CellSnapshotForm> for CellSnapshot {
    type Error = WireError;

    fn try_from(form: CellSnapshotForm) -> Result<Self, WireError> {
        Ok(Self {
            up_to: LogOffset(form.up_to),
            epoch: Epoch(form.epoch),
            claim: optional(form.claim)?,
            forced: Epoch(form.forced),
            attempts: values(form.attempts)?,
        })
    }
}

/// Form of [`OwnedRange`].
#[derive(Serialize, Deserialize)]
struct OwnedForm {
    cell: u32,
    range: RangeForm,
}

impl From<&OwnedRange> for OwnedForm {
    fn from(owned: &OwnedRange) -> Self {
        Self {
            cell: owned.cell.0,
            range: (&owned.range).into(),
        }
    }
}

impl TryFrom<OwnedForm> for OwnedRange {
    type Error = WireError;

    fn try_from(form: OwnedForm) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(form.cell),
            range: form.range.try_into()?,
        })
    }
}

/// Form of [`WriterPosition`].
#[derive(Serialize, Deserialize)]
struct MarkForm {
    cell: u32,
    epoch: u64,
    sequence: u64,
}

impl From<&WriterPosition> for MarkForm {
    fn from(mark: &WriterPosition) -> Self {
        Self {
            cell: mark.cell.0,
            epoch: mark.epoch.0,
            sequence: mark.sequence,
        }
    }
}

impl From<MarkForm> for WriterPosition {
    fn from(form: MarkForm) -> Self {
        Self {
            cell: CellId(form.cell),
            epoch: Epoch(form.epoch),
            sequence: form.sequence,
        }
    }
}

/// Form of [`JobSnapshot`].
#[derive(Serialize, Deserialize)]
pub(crate) struct JobSnapshotForm {
    up_to: u64,
    owned: Vec<OwnedForm>,
    released: Vec<ReleasedForm>,
    ended: Vec<EndedForm>,
    writer_positions: Vec<MarkForm>,
}

impl From<&JobSnapshot> for JobSnapshotForm {
    fn from(snapshot: &JobSnapshot) -> Self {
        Self {
            up_to: snapshot.up_to.0,
            owned: forms(&snapshot.owned),
            released: forms(&snapshot.released),
            ended: forms(&snapshot.ended),
            writer_positions: forms(&snapshot.writer_positions),
        }
    }
}

impl TryFrom<JobSnapshotForm> for JobSnapshot {
    type Error = WireError;

    fn try_from(form: JobSnapshotForm) -> Result<Self, WireError> {
        Ok(Self {
            up_to: LogOffset(form.up_to),
            owned: values(form.owned)?,
            released: values(form.released)?,
            ended: values(form.ended)?,
            writer_positions: form
                .writer_positions
                .into_iter()
                .map(WriterPosition::from)
                .collect(),
        })
    }
}
