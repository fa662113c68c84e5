//! Snapshots of the ledger in the store, split into parts of one record each.

mod encoder;
mod reader;
mod stored;

pub use encoder::SnapshotEncoder;
pub use reader::SnapshotReader;

use crate::ids::StreamOffset;
use crate::ledger::JobLedger;
use crate::record::{DecodeError, decode_first, encode};
use crate::store::{NewRecord, ReadRecord};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of a part, in bytes; the store limits a record to 256 KiB.
const PART_BYTES: usize = 200 * 1024;

/// Keys under which the parts of a snapshot are stored. Successive planners use different ones, as
/// a late snapshot of a deposed planner would otherwise replace a part of its successor's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SnapshotSet {
    /// Keys of versions that know no sets.
    #[default]
    First,
    /// The other keys.
    Second,
}

impl SnapshotSet {
    /// Returns the set of the next planner.
    #[must_use]
    pub fn next(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }

    /// Returns the set of the newest snapshot that [`read_snapshot`] finds in the records.
    #[must_use]
    pub fn of_newest(records: &[ReadRecord]) -> Self {
        let (complete, _) = complete_snapshots(records);
        complete.first().map_or(Self::default(), |(set, _)| *set)
    }
}

/// Keys of the parts of a snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotKeys {
    /// Set of the planner.
    pub set: SnapshotSet,
    /// Whether these are the second keys of the set. A snapshot that takes several calls must not replace
    /// the one before, which has to do until it is stored as a whole.
    pub is_second: bool,
}

impl SnapshotKeys {
    /// Returns the keys of a key; `None` for a key of another writer.
    fn of_key(key: &str) -> Option<Self> {
        let sets = [SnapshotSet::First, SnapshotSet::Second];
        let mut all = sets.into_iter().flat_map(|set| {
            let keys = |is_second| Self { set, is_second };
            [false, true].map(keys)
        });
        all.find(|keys| key.starts_with(keys.prefix()))
    }

    fn prefix(self) -> &'static str {
        match (self.set, self.is_second) {
            (SnapshotSet::First, false) => "part/",
            (SnapshotSet::Second, false) => "part2/",
            (SnapshotSet::First, true) => "part3/",
            (SnapshotSet::Second, true) => "part4/",
        }
    }

    fn key(self, number: usize) -> Box<str> {
        format!("{}{number}", self.prefix()).into()
    }
}

impl From<SnapshotSet> for SnapshotKeys {
    fn from(set: SnapshotSet) -> Self {
        Self {
            set,
            is_second: false,
        }
    }
}

/// What precedes the content of a part.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PartHeader {
    /// Offset of the plan stream before which all records are included in the snapshot.
    plan_offset: StreamOffset,
    /// Index of this part, from 0.
    number: u32,
    /// Number of parts of the snapshot.
    parts: u32,
    /// Length of the content, in bytes.
    length: u64,
}

/// Part of a snapshot.
#[derive(Clone, Debug)]
struct SnapshotPart {
    header: PartHeader,
    /// Slice of the encoded ledger, which is followed by what is known of leases.
    content: Bytes,
}

impl SnapshotPart {
    fn encode(header: PartHeader, content: &[u8]) -> Bytes {
        [&encode(&header), content].concat().into()
    }

    fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (header, rest) = decode_first::<PartHeader>(bytes)?;
        let length = usize::try_from(header.length).unwrap_or(usize::MAX);
        let content = rest.get(..length).ok_or_else(|| DecodeError::Malformed {
            cause: "a part is cut off".into(),
        })?;
        Ok(Self {
            header,
            content: bytes.slice_ref(content),
        })
    }
}

/// Encodes a snapshot as records.
#[must_use]
pub fn snapshot_records(
    ledger: &JobLedger,
    plan_offset: StreamOffset,
    set: SnapshotSet,
) -> Vec<NewRecord> {
    SnapshotEncoder::new(ledger.clone(), plan_offset).finish(set.into())
}

/// Returns the parts of all complete snapshots in order, with their sets, and the error of a part that
/// cannot be decoded. The newest snapshot is the first.
fn complete_snapshots(
    records: &[ReadRecord],
) -> (Vec<(SnapshotSet, Vec<SnapshotPart>)>, Option<DecodeError>) {
    let mut snapshots = BTreeMap::<StreamOffset, (SnapshotSet, Vec<SnapshotPart>)>::new();
    let mut unreadable = None;
    for record in records {
        let (Some(value), Some(keys)) = (&record.value, SnapshotKeys::of_key(&record.key)) else {
            continue;
        };
        match SnapshotPart::decode(value) {
            Ok(part) => {
                let snapshot = snapshots.entry(part.header.plan_offset);
                let (_, parts) = snapshot.or_insert_with(|| (keys.set, Vec::new()));
                parts.push(part);
            }
            Err(error) => unreadable = Some(error),
        }
    }
    let is_complete = |parts: &[SnapshotPart]| {
        let expected = parts.first().map(|part| part.header.parts as usize);
        expected == Some(parts.len())
    };
    let newest_first = snapshots.into_values().rev();
    let mut complete: Vec<_> = newest_first
        .filter(|(_, parts)| is_complete(parts))
        .collect();
    for (_, parts) in &mut complete {
        parts.sort_by_key(|part| part.header.number);
    }
    (complete, unreadable)
}

/// Assembles the newest complete snapshot that can be decoded and returns it with its plan offset.
/// Returns `None` if no snapshot is complete, as when parts of it were replaced by those of another.
///
/// # Errors
/// Returns [`DecodeError`] if no snapshot can be decoded, because a part or a ledger has another version
/// or is malformed.
pub fn read_snapshot(records: &[ReadRecord]) -> SnapshotOutcome {
    let mut reader = SnapshotReader::new(records);
    loop {
        if let Some(outcome) = reader.advance(usize::MAX) {
            return outcome;
        }
    }
}

/// Outcome of [`read_snapshot`].
pub type SnapshotOutcome = Result<Option<(JobLedger, StreamOffset)>, DecodeError>;
