//! Keeps a process's configuration: applies notes in order and passes them on.

use crate::event::{NoteEntry, NoteRecord};
use crate::fleet::snapshot::SnapshotParts;
use crate::fleet::{FleetSnapshot, FleetState, NoteRefusal};
use crate::ids::{LogOffset, NoteId, Revision};
use crate::message::request::NoteCopy;
use crate::record::{LogBatch, LogRecord};
use std::collections::VecDeque;

/// Records kept for passing on, at most.
pub const RETAINED_RECORDS: usize = 512;

/// Records kept for passing on at most while no snapshot contains the oldest.
const MOST_RECORDS: usize = 8 * RETAINED_RECORDS;

/// Bytes of records kept for passing on, at most.
const KEPT_BYTES: usize = 4 * 1024 * 1024;

/// Verdict on one note, for the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteDecision {
    /// Note.
    pub id: NoteId,
    /// New revision, or why the note was refused.
    pub result: Result<Revision, NoteRefusal>,
}

/// Record kept for passing on.
#[derive(Clone, Debug)]
struct KeptRecord {
    copy: NoteCopy,
    /// Set for a snapshot: records before this offset are contained in it.
    contains: Option<LogOffset>,
}

/// Applies records of the notes stream in order, each once, and keeps the newest for peers.
///
/// A peer can be served as long as a snapshot is written at least every [`RETAINED_RECORDS`] records.
#[derive(Clone, Debug, Default)]
pub struct NotesReplica {
    fleet: FleetState,
    kept: VecDeque<KeptRecord>,
    kept_bytes: usize,
    /// Where the search for a snapshot goes on after retention took the next record.
    search: Option<LogOffset>,
    parts: SnapshotParts,
}

impl NotesReplica {
    /// Returns the configuration in force.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.fleet.revision()
    }

    /// Returns the offset from which the log is to be read next.
    #[must_use]
    pub fn next_read_offset(&self) -> LogOffset {
        self.search.unwrap_or(self.fleet.next())
    }

    /// Notes that retention took the next record: a snapshot is searched from `oldest` on.
    pub fn skip_truncated(&mut self, oldest: LogOffset) {
        if oldest > self.next_read_offset() {
            self.search = Some(oldest);
        }
    }

    /// Applies what was read from the log.
    pub fn apply_batch(&mut self, batch: &LogBatch<NoteRecord>) -> Vec<NoteDecision> {
        self.apply_records(&batch.records)
    }

    /// Applies records read from the log or passed on by a peer.
    ///
    /// A record beyond a gap is left until the gap is closed or a snapshot covers it.
    pub fn apply_records(&mut self, records: &[LogRecord<NoteRecord>]) -> Vec<NoteDecision> {
        let mut verdicts = Vec::new();
        for placed in records {
            self.apply_one(placed, &mut verdicts);
        }
        verdicts
    }

    /// Returns copies of the records from which a peer whose next offset is `from` can go on.
    ///
    /// Where `from` is no longer kept they begin with the newest snapshot. Empty when the peer is
    /// up to date, or when it cannot be served from here.
    #[must_use]
    pub fn copies_from(&self, from: LogOffset) -> Vec<NoteCopy> {
        if self.kept.iter().any(|record| record.copy.offset == from) {
            return self.kept_since(from);
        }
        let contained = self.kept.iter().filter_map(|record| record.contains);
        match contained.filter(|up_to| *up_to > from).max() {
            Some(up_to) => {
                let mut copies = self.kept_parts(up_to);
                copies.extend(self.kept_since(up_to));
                copies
            }
            None => Vec::new(),
        }
    }

    fn kept_parts(&self, up_to: LogOffset) -> Vec<NoteCopy> {
        let parts = self
            .kept
            .iter()
            .filter(|record| record.contains == Some(up_to));
        parts.map(|record| record.copy.clone()).collect()
    }

    fn kept_since(&self, from: LogOffset) -> Vec<NoteCopy> {
        let copies = self.kept.iter().map(|record| &record.copy);
        copies.filter(|copy| copy.offset >= from).cloned().collect()
    }

    fn apply_one(&mut self, placed: &LogRecord<NoteRecord>, verdicts: &mut Vec<NoteDecision>) {
        match &placed.record.entry {
            Some(NoteEntry::Snapshot(snapshot)) => {
                self.keep(placed, Some(snapshot.up_to));
                self.load_part(snapshot);
                match placed.offset == self.fleet.next() {
                    true => self.fleet.skip(placed.offset),
                    false => self.pass_over(placed.offset),
                }
            }
            Some(NoteEntry::Note(note)) if placed.offset == self.fleet.next() => {
                let result = self.fleet.apply(placed.offset, note);
                verdicts.push(NoteDecision {
                    id: note.id.clone(),
                    result,
                });
                self.keep(placed, None);
            }
            None if placed.offset == self.fleet.next() => {
                self.fleet.skip(placed.offset);
                self.keep(placed, None);
            }
            Some(NoteEntry::Note(_)) | None => self.pass_over(placed.offset),
        }
    }

    /// Adds a part of a snapshot that is ahead, and loads the snapshot once it is whole.
    fn load_part(&mut self, snapshot: &FleetSnapshot) {
        if snapshot.up_to <= self.fleet.next() {
            return;
        }
        let whole = self.parts.add(snapshot);
        if whole.is_some_and(|whole| self.fleet.load(&whole)) {
            self.search = None;
        }
    }

    /// Moves the search for a snapshot past a record that cannot be applied.
    fn pass_over(&mut self, offset: LogOffset) {
        self.search = match self.search {
            Some(search) if offset >= search => Some(LogOffset(offset.0.saturating_add(1))),
            unchanged => unchanged,
        };
    }

    fn keep(&mut self, placed: &LogRecord<NoteRecord>, contains: Option<LogOffset>) {
        let place = self
            .kept
            .partition_point(|record| record.copy.offset < placed.offset);
        let known = self
            .kept
            .get(place)
            .is_some_and(|found| found.copy.offset == placed.offset);
        if known {
            return;
        }
        let payload = placed.record.raw.payload.clone();
        self.kept_bytes += payload.len();
        let copy = NoteCopy {
            offset: placed.offset,
            payload,
        };
        self.kept.insert(place, KeptRecord { copy, contains });
        while self.has_spare_record() {
            let Some(dropped) = self.kept.pop_front() else {
                break;
            };
            self.kept_bytes -= dropped.copy.payload.len();
        }
    }

    /// Returns whether the oldest record may be dropped.
    ///
    /// Over [`RETAINED_RECORDS`] that is one which a kept snapshot contains, so that a peer that starts
    /// from nothing can be served all the time; over the hard bounds it is any.
    fn has_spare_record(&self) -> bool {
        if self.kept.len() > MOST_RECORDS || self.kept_bytes > KEPT_BYTES {
            return true;
        }
        let Some(oldest) = self
            .kept
            .front()
            .filter(|_| self.kept.len() > RETAINED_RECORDS)
        else {
            return false;
        };
        let newest = self.kept.iter().filter_map(|record| record.contains).max();
        match oldest.contains {
            Some(up_to) => newest.is_some_and(|newest| newest > up_to),
            None => newest.is_some_and(|newest| newest > oldest.copy.offset),
        }
    }
}
