//! Reads the notes stream and applies it with the same function as every process of the fleet.

use crate::failure::ToolFailure;
use bytes::Bytes;
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::{FleetState, NoteRefusal};
use hornbeamlead_core::ids::{NoteId, Revision};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::notes_replica::NotesReplica;
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, RawRecord, StreamName};
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_settings::note::decode_entry;

/// Maximum number of records per read.
const READ_LIMIT: usize = 500;

/// Result of looking up a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoteLookup {
    /// The note was never on the log, or is so old that its outcome is no longer kept.
    Absent,
    /// The note was accepted as this revision.
    Accepted(Revision),
    /// The note was refused; the reason is known only while the note itself is on the log.
    Refused(Option<NoteRefusal>),
    /// The id was used by an earlier note of different content.
    ContentMismatch,
}

/// Replays the configuration from the log and optionally tracks one note.
#[derive(Debug)]
pub(crate) struct NotesReader {
    log: LogClient,
    replica: NotesReplica,
    tracked_id: Option<NoteId>,
    first_note: Option<ReleaseNote>,
    refusal: Option<NoteRefusal>,
}

impl NotesReader {
    /// Creates a reader that tracks one note.
    pub(crate) fn new(log: LogClient, tracked_id: NoteId) -> Self {
        Self {
            tracked_id: Some(tracked_id),
            ..Self::for_configuration(log)
        }
    }

    /// Creates a reader that tracks no note.
    pub(crate) fn for_configuration(log: LogClient) -> Self {
        Self {
            log,
            replica: NotesReplica::default(),
            tracked_id: None,
            first_note: None,
            refusal: None,
        }
    }

    /// Returns the configuration replayed so far.
    pub(crate) fn fleet(&self) -> &FleetState {
        self.replica.fleet()
    }

    /// Reads from the current offset to the end of the stream.
    ///
    /// # Errors
    /// Returns [`ToolFailure::LogUnavailable`] if the log does not answer, and
    /// [`ToolFailure::LogIncomplete`] if no configuration can be built from the records that
    /// retention has left.
    pub(crate) async fn read_to_end(&mut self) -> Result<(), ToolFailure> {
        loop {
            let from = self.replica.next_read_offset();
            let batch = match self.log.read(&StreamName::Notes, from, READ_LIMIT).await {
                Ok(batch) => batch,
                Err(LogError::Truncated { oldest }) if oldest > from => {
                    self.replica.skip_truncated(oldest);
                    continue;
                }
                Err(LogError::Truncated { .. } | LogError::Unavailable) => {
                    return Err(ToolFailure::LogUnavailable);
                }
            };
            self.apply(&batch);
            if self.fleet().next() >= batch.next {
                return Ok(());
            }
            let reached = self.replica.next_read_offset();
            if reached >= batch.next || reached == from {
                return Err(ToolFailure::LogIncomplete);
            }
        }
    }

    /// Looks up the tracked note; with `expected`, also compares its content.
    pub(crate) fn lookup(&self, expected: Option<&ReleaseNote>) -> NoteLookup {
        let tracked_id = self.tracked_id.as_ref();
        let Some(note_result) = tracked_id.and_then(|id| self.fleet().note_result(id)) else {
            return NoteLookup::Absent;
        };
        match (expected, &self.first_note) {
            (Some(expected), Some(first_note)) if expected != first_note => {
                NoteLookup::ContentMismatch
            }
            _ => match note_result.revision {
                Some(revision) => NoteLookup::Accepted(revision),
                None => NoteLookup::Refused(self.refusal.clone()),
            },
        }
    }

    fn apply(&mut self, batch: &LogBatch<Bytes>) {
        for log_record in &batch.records {
            let record = decode(log_record);
            self.keep_tracked(&record);
            let verdicts = self.replica.apply_records(&[record]);
            for verdict in verdicts {
                match verdict.result {
                    Err(refusal) if self.is_tracked(&verdict.id) && self.refusal.is_none() => {
                        self.refusal = Some(refusal);
                    }
                    Err(_) | Ok(_) => {}
                }
            }
        }
    }

    fn is_tracked(&self, id: &NoteId) -> bool {
        self.tracked_id.as_ref() == Some(id)
    }

    /// Keeps the first note with the tracked id.
    fn keep_tracked(&mut self, record: &LogRecord<NoteRecord>) {
        match &record.record.entry {
            Some(NoteEntry::Note(note))
                if self.is_tracked(&note.id) && self.first_note.is_none() =>
            {
                self.first_note = Some(note.clone());
            }
            _ => {}
        }
    }
}

fn decode(log_record: &LogRecord<Bytes>) -> LogRecord<NoteRecord> {
    LogRecord {
        offset: log_record.offset,
        record: NoteRecord {
            entry: decode_entry(&log_record.record).ok(),
            raw: RawRecord {
                offset: log_record.offset,
                payload: log_record.record.clone(),
            },
        },
    }
}
