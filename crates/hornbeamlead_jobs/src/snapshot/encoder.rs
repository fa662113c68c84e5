//! Encodes snapshots.

use super::stored::{LEDGER_VERSION, StoredJob, StoredLeases, StoredRest, encode_optional};
use super::{PART_BYTES, PartHeader, SnapshotKeys, SnapshotPart};
use crate::ids::{JobId, StreamOffset};
use crate::ledger::JobLedger;
use crate::record::{encode, encode_after};
use crate::store::NewRecord;
use std::ops::Bound;

/// Encodes a snapshot job by job, so that the encoding of a large ledger can be spread over time.
#[derive(Debug)]
pub struct SnapshotEncoder {
    ledger: JobLedger,
    plan_offset: StreamOffset,
    /// Last job that is encoded.
    last: Option<JobId>,
    content: Vec<u8>,
    is_complete: bool,
}

impl SnapshotEncoder {
    /// Begins the snapshot of a ledger that includes all records of the plan before an offset.
    #[must_use]
    pub fn new(ledger: JobLedger, plan_offset: StreamOffset) -> Self {
        // A map is encoded as its length and its entries.
        let content = encode_after(LEDGER_VERSION, &(ledger.jobs.len() as u64)).to_vec();
        Self {
            ledger,
            plan_offset,
            last: None,
            content,
            is_complete: false,
        }
    }

    /// Offset of the plan before which all records are included.
    #[must_use]
    pub fn plan_offset(&self) -> StreamOffset {
        self.plan_offset
    }

    /// Size of what is encoded, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.content.len()
    }

    /// Encodes more jobs, until they take so many bytes. Returns whether all is encoded.
    pub fn advance(&mut self, bytes: usize) -> bool {
        if self.is_complete {
            return true;
        }
        let from = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let most = self.content.len().saturating_add(bytes);
        for (&job, state) in self.ledger.jobs.range((from, Bound::Unbounded)) {
            if self.content.len() >= most {
                return false;
            }
            let row = (job, StoredJob::from(&**state));
            // Writing to a vector does not fail.
            let content = std::mem::take(&mut self.content);
            self.content = postcard::to_extend(&row, content).unwrap_or_default();
            self.last = Some(job);
        }
        let rest = StoredRest::from(&self.ledger);
        let content = std::mem::take(&mut self.content);
        self.content = postcard::to_extend(&rest, content).unwrap_or_default();
        self.content
            .extend(encode(&StoredLeases::from(&self.ledger)));
        self.content.extend(encode_optional(&self.ledger));
        self.is_complete = true;
        true
    }

    /// Returns the records of the snapshot. Those under the same keys replace each other.
    #[must_use]
    pub fn finish(mut self, keys: SnapshotKeys) -> Vec<NewRecord> {
        self.advance(usize::MAX);
        let parts = self.content.chunks(PART_BYTES);
        let count = parts.len() as u32;
        let record = |(number, content): (usize, &[u8])| {
            let header = PartHeader {
                plan_offset: self.plan_offset,
                number: number as u32,
                parts: count,
                length: content.len() as u64,
            };
            NewRecord {
                key: Some(keys.key(number)),
                value: Some(SnapshotPart::encode(header, content)),
            }
        };
        parts.enumerate().map(record).collect()
    }
}
