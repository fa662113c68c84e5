//! Reads the notes stream and applies it by the function that every process uses.

use crate::failure::ToolFailure;
use bytes::Bytes;
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::{FleetState, NoteRefusal};
use hornbeamlead_core::ids::{NoteId, Revision};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::notes_keeper::NotesReplica;
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, RawRecord, StreamName};
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_settings::note::decode_entry;

/// Records asked for in one read.
const READ_LIMIT: usize = 500;

/// What became of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoteFinding {
    /// It is not on the log, or so old that its fate is forgotten.
    Absent,
    /// It was accepted.
    Accepted(Revision),
    /// It was refused; the reason is known while the note itself is on the log.
    Refused(Option<NoteRefusal>),
    /// The id belongs to an earlier note of different content.
    Foreign,
}

/// Configuration as read from the log, with all that was seen of one note.
#[derive(Debug)]
pub(crate) struct NotesReader {
    log: LogClient,
    keeper: NotesReplica,
    watched: Option<NoteId>,
    seen: Option<ReleaseNote>,
    refusal: Option<NoteRefusal>,
}

impl NotesReader {
    /// Makes a reader that watches for one note.
    pub(crate) fn new(log: LogClient, watched: NoteId) -> Self {
        Self {
            watched: Some(watched),
            ..Self::unwatched(log)
        }
    }

    /// Makes a reader of the configuration alone.
    pub(crate) fn unwatched(log: LogClient) -> Self {
        Self {
            log,
            keeper: NotesReplica::default(),
            watched: None,
            seen: None,
            refusal: None,
        }
    }

    /// Returns the configuration read so far.
    pub(crate) fn fleet(&self) -> &FleetState {
        self.keeper.fleet()
    }

    /// Reads on to the end of the stream.
    ///
    /// # Errors
    /// Returns [`ToolFailure::LogDown`] without an answer, and [`ToolFailure::LogIncomplete`]
    /// when the records that are left do not make up a configuration.
    pub(crate) async fn read_to_end(&mut self) -> Result<(), ToolFailure> {
        loop {
            let from = self.keeper.next_read_offset();
            let batch = match self.log.read(&StreamName::Notes, from, READ_LIMIT).await {
                Ok(batch) => batch,
                Err(LogError::Truncated { oldest }) if oldest > from => {
                    self.keeper.skip_truncated(oldest);
                    continue;
                }
                Err(LogError::Truncated { .. } | LogError::Unavailable) => {
                    return Err(ToolFailure::LogDown);
                }
            };
            self.apply(&batch);
            if self.fleet().next() >= batch.next {
                return Ok(());
            }
            let reached = self.keeper.next_read_offset();
            if reached >= batch.next || reached == from {
                return Err(ToolFailure::LogIncomplete);
            }
        }
    }

    /// Tells what became of the watched note, which is expected to read `wanted` if given.
    pub(crate) fn finding(&self, wanted: Option<&ReleaseNote>) -> NoteFinding {
        let watched = self.watched.as_ref();
        let Some(note_result) = watched.and_then(|id| self.fleet().note_result(id)) else {
            return NoteFinding::Absent;
        };
        match (wanted, &self.seen) {
            (Some(wanted), Some(seen)) if wanted != seen => NoteFinding::Foreign,
            _ => match note_result.revision {
                Some(revision) => NoteFinding::Accepted(revision),
                None => NoteFinding::Refused(self.refusal.clone()),
            },
        }
    }

    fn apply(&mut self, batch: &LogBatch<Bytes>) {
        for placed in &batch.records {
            let record = decode(placed);
            self.watch(&record);
            let verdicts = self.keeper.apply_records(&[record]);
            for verdict in verdicts {
                match verdict.result {
                    Err(refusal) if self.watches(&verdict.id) && self.refusal.is_none() => {
                        self.refusal = Some(refusal);
                    }
                    Err(_) | Ok(_) => {}
                }
            }
        }
    }

    fn watches(&self, id: &NoteId) -> bool {
        self.watched.as_ref() == Some(id)
    }

    /// Remembers the first note of the watched id.
    fn watch(&mut self, record: &LogRecord<NoteRecord>) {
        match &record.record.entry {
            Some(NoteEntry::Note(note)) if self.watches(&note.id) && self.seen.is_none() => {
                self.seen = Some(note.clone());
            }
            _ => {}
        }
    }
}

fn decode(placed: &LogRecord<Bytes>) -> LogRecord<NoteRecord> {
    LogRecord {
        offset: placed.offset,
        record: NoteRecord {
            entry: decode_entry(&placed.record).ok(),
            raw: RawRecord {
                offset: placed.offset,
                payload: placed.record.clone(),
            },
        },
    }
}
