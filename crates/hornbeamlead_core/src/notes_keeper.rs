//! Keeps a process's configuration: applies notes in order and passes them on.

use crate::event::{NoteEntry, NoteRecord};
use crate::fleet::{FleetState, NoteRefusal};
use crate::ids::{LogOffset, NoteId, Revision};
use crate::message::request::NoteCopy;
use crate::record::{LogBatch, PlacedRecord};
use std::collections::VecDeque;

/// Records kept for passing on, at most.
const KEPT_RECORDS: usize = 512;

/// Bytes of records kept for passing on, at most.
const KEPT_BYTES: usize = 4 * 1024 * 1024;

/// Verdict on one note, for the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteVerdict {
    /// Note.
    pub id: NoteId,
    /// New revision, or why the note was refused.
    pub result: Result<Revision, NoteRefusal>,
}

/// Applies records of the notes stream in order, each once, and keeps the newest for peers.
#[derive(Clone, Debug, Default)]
pub struct NotesKeeper {
    fleet: FleetState,
    kept: VecDeque<NoteCopy>,
    kept_bytes: usize,
}

impl NotesKeeper {
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

    /// Applies what was read from the log.
    pub fn apply_batch(&mut self, batch: &LogBatch<NoteRecord>) -> Vec<NoteVerdict> {
        self.apply_records(&batch.records)
    }

    /// Applies records read from the log or passed on by a peer.
    ///
    /// A record beyond a gap is left until the gap is closed or a snapshot covers it.
    pub fn apply_records(&mut self, records: &[PlacedRecord<NoteRecord>]) -> Vec<NoteVerdict> {
        let mut verdicts = Vec::new();
        for placed in records {
            self.apply_one(placed, &mut verdicts);
        }
        verdicts
    }

    /// Returns copies of the records from which a peer at `from` can go on.
    ///
    /// Empty when the peer is up to date, or when too much is missing for the kept records.
    #[must_use]
    pub fn copies_from(&self, from: LogOffset) -> Vec<NoteCopy> {
        let newest_snapshot = self
            .kept
            .iter()
            .rposition(|copy| is_restart_point(copy, from));
        match newest_snapshot {
            Some(start) => self.kept.iter().skip(start).cloned().collect(),
            None => Vec::new(),
        }
    }

    fn apply_one(&mut self, placed: &PlacedRecord<NoteRecord>, verdicts: &mut Vec<NoteVerdict>) {
        match &placed.record.entry {
            Some(NoteEntry::Snapshot(snapshot)) => {
                self.fleet.load(snapshot);
                let covered = snapshot.up_to >= placed.offset;
                if covered || self.fleet.next() >= placed.offset {
                    self.fleet.skip(placed.offset);
                    self.keep(placed);
                }
            }
            Some(NoteEntry::Note(note)) if placed.offset == self.fleet.next() => {
                let result = self.fleet.apply(placed.offset, note);
                verdicts.push(NoteVerdict {
                    id: note.id.clone(),
                    result,
                });
                self.keep(placed);
            }
            None if placed.offset == self.fleet.next() => {
                self.fleet.skip(placed.offset);
                self.keep(placed);
            }
            Some(NoteEntry::Note(_)) | None => {}
        }
    }

    fn keep(&mut self, placed: &PlacedRecord<NoteRecord>) {
        let newest = self.kept.back().map(|copy| copy.offset);
        if newest.is_some_and(|offset| offset >= placed.offset) {
            return;
        }
        let payload = placed.record.raw.payload.clone();
        self.kept_bytes += payload.len();
        self.kept.push_back(NoteCopy {
            offset: placed.offset,
            payload,
        });
        while self.kept.len() > KEPT_RECORDS || self.kept_bytes > KEPT_BYTES {
            let Some(dropped) = self.kept.pop_front() else {
                break;
            };
            self.kept_bytes -= dropped.payload.len();
        }
    }
}

/// Tells whether a peer that wants `from` next can start at this copy.
fn is_restart_point(copy: &NoteCopy, from: LogOffset) -> bool {
    copy.offset == from
}
