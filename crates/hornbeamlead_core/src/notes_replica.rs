//! Replica of the notes stream: applies notes in order and forwards them to peers.

use crate::event::{NoteEntry, NoteRecord};
use crate::fleet::snapshot::SnapshotParts;
use crate::fleet::{FleetSnapshot, FleetState, NoteRefusal};
use crate::ids::{LogOffset, NoteId, Revision};
use crate::message::request::NoteCopy;
use crate::record::{LogBatch, LogRecord};
use std::collections::VecDeque;

/// Maximum number of records retained for peers once a snapshot covers the oldest.
pub const RETAINED_RECORDS: usize = 512;

/// Maximum number of records retained for peers while no snapshot covers the oldest.
const RETAINED_RECORDS_LIMIT: usize = 8 * RETAINED_RECORDS;

/// Maximum payload size of all records retained for peers, in bytes.
const RETAINED_BYTES_LIMIT: usize = 4 * 1024 * 1024;

/// Acceptance or refusal of one note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteDecision {
    /// Id of the note.
    pub id: NoteId,
    /// New revision, or the reason for the refusal.
    pub result: Result<Revision, NoteRefusal>,
}

/// Record retained for peers.
#[derive(Clone, Debug)]
struct RetainedRecord {
    copy: NoteCopy,
    /// Set for a snapshot: it covers all records before this offset.
    covered_before: Option<LogOffset>,
}

/// Applies records of the notes stream in order, each once, and retains the newest for peers.
///
/// Peers can always be served if a snapshot is written at least every [`RETAINED_RECORDS`] records.
#[derive(Clone, Debug, Default)]
pub struct NotesReplica {
    fleet: FleetState,
    retained: VecDeque<RetainedRecord>,
    retained_bytes: usize,
    /// Next offset to search for a snapshot after log retention removed the next record to apply.
    snapshot_search: Option<LogOffset>,
    parts: SnapshotParts,
}

impl NotesReplica {
    /// Returns the current configuration.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the current configuration revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.fleet.revision()
    }

    /// Returns the offset at which the next read of the log has to start.
    #[must_use]
    pub fn next_read_offset(&self) -> LogOffset {
        self.snapshot_search.unwrap_or(self.fleet.next())
    }

    /// Starts the search for a snapshot at `oldest` after log retention removed the next record.
    pub fn skip_truncated(&mut self, oldest: LogOffset) {
        if oldest > self.next_read_offset() {
            self.snapshot_search = Some(oldest);
        }
    }

    /// Applies a batch read from the log.
    pub fn apply_batch(&mut self, batch: &LogBatch<NoteRecord>) -> Vec<NoteDecision> {
        self.apply_records(&batch.records)
    }

    /// Applies records read from the log or forwarded by a peer.
    ///
    /// A record beyond a gap is ignored; it has to be delivered again after the gap is closed, or
    /// covered by a snapshot.
    pub fn apply_records(&mut self, records: &[LogRecord<NoteRecord>]) -> Vec<NoteDecision> {
        let mut decisions = Vec::new();
        for log_record in records {
            self.apply_record(log_record, &mut decisions);
        }
        decisions
    }

    /// Returns copies of the records that a peer needs whose next offset is `from`.
    ///
    /// If `from` is no longer retained, the copies begin with the newest snapshot. The result is
    /// empty if the peer is up to date or the retained records cannot bring it up to date.
    #[must_use]
    pub fn copies_from(&self, from: LogOffset) -> Vec<NoteCopy> {
        if self
            .retained
            .iter()
            .any(|record| record.copy.offset == from)
        {
            return self.retained_since(from);
        }
        let snapshot_offsets = self
            .retained
            .iter()
            .filter_map(|record| record.covered_before);
        match snapshot_offsets.filter(|up_to| *up_to > from).max() {
            Some(up_to) => {
                let mut copies = self.snapshot_copies(up_to);
                copies.extend(self.retained_since(up_to));
                copies
            }
            None => Vec::new(),
        }
    }

    fn snapshot_copies(&self, up_to: LogOffset) -> Vec<NoteCopy> {
        let parts = self
            .retained
            .iter()
            .filter(|record| record.covered_before == Some(up_to));
        parts.map(|record| record.copy.clone()).collect()
    }

    fn retained_since(&self, from: LogOffset) -> Vec<NoteCopy> {
        let copies = self.retained.iter().map(|record| &record.copy);
        copies.filter(|copy| copy.offset >= from).cloned().collect()
    }

    fn apply_record(
        &mut self,
        log_record: &LogRecord<NoteRecord>,
        decisions: &mut Vec<NoteDecision>,
    ) {
        match &log_record.record.entry {
            Some(NoteEntry::Snapshot(snapshot)) => {
                self.retain(log_record, Some(snapshot.up_to));
                self.add_snapshot_part(snapshot);
                match log_record.offset == self.fleet.next() {
                    true => self.fleet.skip(log_record.offset),
                    false => self.advance_search(log_record.offset),
                }
            }
            Some(NoteEntry::Note(note)) if log_record.offset == self.fleet.next() => {
                let result = self.fleet.apply(log_record.offset, note);
                decisions.push(NoteDecision {
                    id: note.id.clone(),
                    result,
                });
                self.retain(log_record, None);
            }
            None if log_record.offset == self.fleet.next() => {
                self.fleet.skip(log_record.offset);
                self.retain(log_record, None);
            }
            Some(NoteEntry::Note(_)) | None => self.advance_search(log_record.offset),
        }
    }

    /// Adds a part of a snapshot newer than the state; loads the snapshot once it is complete.
    fn add_snapshot_part(&mut self, snapshot: &FleetSnapshot) {
        if snapshot.up_to <= self.fleet.next() {
            return;
        }
        let complete = self.parts.add(snapshot);
        if complete.is_some_and(|complete| self.fleet.load(&complete)) {
            self.snapshot_search = None;
        }
    }

    /// Advances the search for a snapshot past a record that cannot be applied.
    fn advance_search(&mut self, offset: LogOffset) {
        self.snapshot_search = match self.snapshot_search {
            Some(next) if offset >= next => Some(LogOffset(offset.0.saturating_add(1))),
            unchanged => unchanged,
        };
    }

    fn retain(&mut self, log_record: &LogRecord<NoteRecord>, covered_before: Option<LogOffset>) {
        let index = self
            .retained
            .partition_point(|record| record.copy.offset < log_record.offset);
        let duplicate = self
            .retained
            .get(index)
            .is_some_and(|found| found.copy.offset == log_record.offset);
        if duplicate {
            return;
        }
        let payload = log_record.record.raw.payload.clone();
        self.retained_bytes += payload.len();
        let copy = NoteCopy {
            offset: log_record.offset,
            payload,
        };
        self.retained.insert(
            index,
            RetainedRecord {
                copy,
                covered_before,
            },
        );
        while self.can_drop_oldest() {
            let Some(dropped) = self.retained.pop_front() else {
                break;
            };
            self.retained_bytes -= dropped.copy.payload.len();
        }
    }

    /// Returns whether the oldest record may be dropped.
    ///
    /// Above [`RETAINED_RECORDS`] it may be dropped only if a retained snapshot covers it, so that a
    /// peer with empty state can be served at any time. Above the hard limits it is always dropped.
    fn can_drop_oldest(&self) -> bool {
        if self.retained.len() > RETAINED_RECORDS_LIMIT
            || self.retained_bytes > RETAINED_BYTES_LIMIT
        {
            return true;
        }
        let Some(oldest) = self
            .retained
            .front()
            .filter(|_| self.retained.len() > RETAINED_RECORDS)
        else {
            return false;
        };
        let newest = self
            .retained
            .iter()
            .filter_map(|record| record.covered_before)
            .max();
        match oldest.covered_before {
            Some(up_to) => newest.is_some_and(|newest| newest > up_to),
            None => newest.is_some_and(|newest| newest > oldest.copy.offset),
        }
    }
}
