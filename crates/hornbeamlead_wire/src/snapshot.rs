//! Wire types of the snapshots that keep a stream readable after retention dropped older records.

use crate::convert::{from_wire, from_wire_option, to_wire};
use crate::error::WireError;
use crate::record::{
    WireAttemptRecord, WireEndedTask, WireEpochClaim, WireReleasedTask, WireTaskRange,
};
use hornbeamlead_core::ids::{CellId, Epoch, LogOffset};
use hornbeamlead_core::record::{CellSnapshot, JobSnapshot, OwnedRange, WriterPosition};
use serde::{Deserialize, Serialize};

/// Wire type of [`CellSnapshot`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireCellSnapshot {
    up_to: u64,
    epoch: u64,
    claim: Option<WireEpochClaim>,
    forced: u64,
    attempts: Vec<WireAttemptRecord>,
}

impl From<&CellSnapshot> for WireCellSnapshot {
    fn from(snapshot: &CellSnapshot) -> Self {
        Self {
            up_to: snapshot.up_to.0,
            epoch: snapshot.epoch.0,
            claim: snapshot.claim.as_ref().map(WireEpochClaim::from),
            forced: snapshot.forced.0,
            attempts: to_wire(&snapshot.attempts),
        }
    }
}

impl TryFrom<WireCellSnapshot> for CellSnapshot {
    type Error = WireError;

    fn try_from(wire: WireCellSnapshot) -> Result<Self, WireError> {
        Ok(Self {
            up_to: LogOffset(wire.up_to),
            epoch: Epoch(wire.epoch),
            claim: from_wire_option(wire.claim)?,
            forced: Epoch(wire.forced),
            attempts: from_wire(wire.attempts)?,
        })
    }
}

/// Wire type of [`OwnedRange`].
#[derive(Serialize, Deserialize)]
struct WireOwnedRange {
    cell: u32,
    range: WireTaskRange,
}

impl From<&OwnedRange> for WireOwnedRange {
    fn from(owned: &OwnedRange) -> Self {
        Self {
            cell: owned.cell.0,
            range: (&owned.range).into(),
        }
    }
}

impl TryFrom<WireOwnedRange> for OwnedRange {
    type Error = WireError;

    fn try_from(wire: WireOwnedRange) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(wire.cell),
            range: wire.range.try_into()?,
        })
    }
}

/// Wire type of [`WriterPosition`].
#[derive(Serialize, Deserialize)]
struct WireWriterPosition {
    cell: u32,
    epoch: u64,
    sequence: u64,
}

impl From<&WriterPosition> for WireWriterPosition {
    fn from(position: &WriterPosition) -> Self {
        Self {
            cell: position.cell.0,
            epoch: position.epoch.0,
            sequence: position.sequence,
        }
    }
}

impl From<WireWriterPosition> for WriterPosition {
    fn from(wire: WireWriterPosition) -> Self {
        Self {
            cell: CellId(wire.cell),
            epoch: Epoch(wire.epoch),
            sequence: wire.sequence,
        }
    }
}

/// Wire type of [`JobSnapshot`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireJobSnapshot {
    up_to: u64,
    owned: Vec<WireOwnedRange>,
    released: Vec<WireReleasedTask>,
    ended: Vec<WireEndedTask>,
    writer_positions: Vec<WireWriterPosition>,
}

impl From<&JobSnapshot> for WireJobSnapshot {
    fn from(snapshot: &JobSnapshot) -> Self {
        Self {
            up_to: snapshot.up_to.0,
            owned: to_wire(&snapshot.owned),
            released: to_wire(&snapshot.released),
            ended: to_wire(&snapshot.ended),
            writer_positions: to_wire(&snapshot.writer_positions),
        }
    }
}

impl TryFrom<WireJobSnapshot> for JobSnapshot {
    type Error = WireError;

    fn try_from(wire: WireJobSnapshot) -> Result<Self, WireError> {
        Ok(Self {
            up_to: LogOffset(wire.up_to),
            owned: from_wire(wire.owned)?,
            released: from_wire(wire.released)?,
            ended: from_wire(wire.ended)?,
            writer_positions: wire
                .writer_positions
                .into_iter()
                .map(WriterPosition::from)
                .collect(),
        })
    }
}
