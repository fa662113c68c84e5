//! Journal of the plan: copies of its durable records under keys, which do not expire.
//!
//! A planner copies each batch that others act on before it acts on it. The first copy of a planner
//! also holds what it has replayed since the snapshot that it started from, so the copies of the
//! newest epoch suffice, and a snapshot makes all copies of earlier records superfluous.

use crate::ids::{PlannerEpoch, StreamOffset};
use crate::record::{DecodeError, PlanRecord, decode, encode};
use crate::store::{NewRecord, ReadRecord};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of the records of an entry, in bytes; the store limits a record to 256 KiB.
const ENTRY_BYTES: usize = 200 * 1024;

/// Most bytes that the offset and the length of a copy take.
const COPY_OVERHEAD: usize = 16;

/// Copy of a plan record, with its offset in the plan.
pub type CopiedRecord = (StreamOffset, Bytes);

/// Returns an upper bound on the size of a copy in an entry, in bytes.
#[must_use]
pub fn copy_bytes(copy: &CopiedRecord) -> usize {
    copy.1.len() + COPY_OVERHEAD
}

/// When a plan record is copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyTerm {
    /// Never, because it is of no use after an outage.
    Never,
    /// With the next record that is copied at once.
    Later,
    /// Before anything is done that depends on the record.
    AtOnce,
}

impl From<&PlanRecord> for CopyTerm {
    fn from(record: &PlanRecord) -> Self {
        match record {
            PlanRecord::Tick { .. } | PlanRecord::Host { .. } | PlanRecord::Stalled { .. } => {
                Self::Never
            }
            // Jobs are in their own stream. An unknown bound, or none, means the longest wait.
            PlanRecord::Claim(_)
            | PlanRecord::Takeover(_)
            | PlanRecord::Accepted { .. }
            | PlanRecord::GrantsConfirmed
            | PlanRecord::Crashed { .. }
            | PlanRecord::Sound { .. }
            | PlanRecord::WorkerCrashed { .. }
            | PlanRecord::Outlived { .. }
            | PlanRecord::Forgotten { .. }
            | PlanRecord::LeaseBound {
                remaining_ms: Some(_),
                ..
            } => Self::Later,
            PlanRecord::Started { .. }
            | PlanRecord::Ended { .. }
            | PlanRecord::Closed { .. }
            | PlanRecord::LeaseBound {
                remaining_ms: None, ..
            } => Self::AtOnce,
        }
    }
}

/// Part of the journal: all durable records of a section of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Epoch of the planner that wrote the entry.
    pub epoch: PlannerEpoch,
    /// Offset of that planner's claim in the plan.
    pub claim: StreamOffset,
    /// Begin of the section.
    pub since: StreamOffset,
    /// End of the section.
    pub end: StreamOffset,
    /// Records of the section in order.
    pub records: Vec<CopiedRecord>,
}

impl JournalEntry {
    /// Splits the entry into such that the store accepts as records.
    #[must_use]
    pub fn split(self) -> Vec<Self> {
        let part = |since| Self {
            since,
            records: Vec::new(),
            ..self
        };
        let mut parts = vec![part(self.since)];
        let mut size = 0;
        for record in &self.records {
            if size + copy_bytes(record) > ENTRY_BYTES {
                parts.push(part(record.0));
                size = 0;
            }
            size += copy_bytes(record);
            if let Some(last) = parts.last_mut() {
                last.records.push(record.clone());
            }
        }
        for index in 1..parts.len() {
            parts[index - 1].end = parts[index].since;
        }
        parts
    }

    /// Encodes the entry as a record of the journal's stream.
    #[must_use]
    pub fn to_record(&self, slot: usize) -> NewRecord {
        NewRecord {
            key: Some(slot.to_string().into()),
            value: Some(encode(self)),
        }
    }
}

/// Snapshot to which the journal is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotOrigin {
    /// Offset of the plan before which all records are included in the snapshot.
    pub offset: StreamOffset,
    /// Epoch of the planner that wrote it, if that planner writes a journal.
    pub writer: Option<PlannerEpoch>,
}

/// Reason for which the journal does not hold what the newest snapshot lacks.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JournalGap {
    /// An entry cannot be read.
    #[snafu(display("a journal entry is unreadable: {source}"), context(false))]
    Unreadable {
        /// Error of the decoder.
        source: DecodeError,
    },
    /// The newest snapshot is that of a planner that writes no journal.
    #[snafu(display("the planner of the newest snapshot writes no journal"))]
    Unwritten,
    /// Entries are missing.
    #[snafu(display("the journal begins at {since}, after the snapshot"))]
    Incomplete {
        /// First offset from which the journal is complete.
        since: StreamOffset,
    },
}

/// Returns the copies of all durable plan records that follow a snapshot, in order.
///
/// # Errors
/// Returns [`JournalGap`] if it is not certain that the journal holds all of them.
pub fn read_journal(
    records: &[ReadRecord],
    snapshot: SnapshotOrigin,
) -> Result<Vec<CopiedRecord>, JournalGap> {
    // The keys of entries are numbers; others are not those of a planner.
    let slots = records
        .iter()
        .filter(|record| record.key.parse::<usize>().is_ok());
    let values = slots.filter_map(|record| record.value.as_deref());
    let mut entries = values
        .map(decode::<JournalEntry>)
        .collect::<Result<Vec<_>, _>>()?;
    let newest = entries.iter().map(|entry| entry.epoch).max();
    entries.retain(|entry| Some(entry.epoch) == newest);
    entries.sort_by_key(|entry| entry.end);
    let claim = entries.last().map(|entry| entry.claim);
    match (snapshot.writer, newest) {
        // A planner that has written no entry has done nothing since its snapshot.
        (Some(writer), newest) if newest.is_none_or(|newest| writer > newest) => {
            return Ok(Vec::new());
        }
        (writer, Some(newest)) if writer == Some(newest) => {}
        (_, Some(_)) if claim.is_some_and(|claim| snapshot.offset <= claim) => {}
        _ => return UnwrittenSnafu.fail(),
    }
    let end = entries.last().map_or(0, |entry| entry.end);
    let follows = |since: StreamOffset, entry: &JournalEntry| match entry.end == since {
        true if since > snapshot.offset => Ok(entry.since),
        _ => Err(since),
    };
    let (Ok(since) | Err(since)) = entries.iter().rev().try_fold(end, follows);
    if since > snapshot.offset {
        return IncompleteSnafu { since }.fail();
    }
    let copies = entries.into_iter().flat_map(|entry| entry.records);
    Ok(copies.filter(|copy| copy.0 >= snapshot.offset).collect())
}
