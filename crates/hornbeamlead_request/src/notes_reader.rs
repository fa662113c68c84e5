//! Paces the reading of the notes stream and finds the way round records that ran out.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::{NoteRecord, PLATFORM_TIMEOUT};
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogFault};
use std::time::Duration;

/// When and from where the notes stream is read next.
#[derive(Debug)]
pub(crate) struct NotesReader {
    interval: Duration,
    next_read: MonoTime,
    given_up: MonoTime,
    reading: bool,
    log_up: bool,
    cursor: LogOffset,
}

impl NotesReader {
    /// Makes a reader whose first read is due at once.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_read: MonoTime(0),
            given_up: MonoTime(0),
            reading: false,
            log_up: false,
            cursor: LogOffset(0),
        }
    }

    /// Returns whether the last read was answered.
    pub(crate) fn log_up(&self) -> bool {
        self.log_up
    }

    /// Returns when the reader wants to be asked again.
    pub(crate) fn wake_at(&self) -> MonoTime {
        match self.reading {
            true => self.given_up,
            false => self.next_read,
        }
    }

    /// Returns the offset to read from if a read is due; `applied` is the next one wanted.
    pub(crate) fn start_due(&mut self, now: MonoTime, applied: LogOffset) -> Option<LogOffset> {
        if now < self.wake_at() {
            return None;
        }
        self.reading = true;
        self.given_up = now.plus(2 * PLATFORM_TIMEOUT);
        self.cursor = self.cursor.max(applied);
        Some(self.cursor)
    }

    /// Takes the outcome of a read; `applied` is the next offset wanted after applying it.
    pub(crate) fn finish(
        &mut self,
        now: MonoTime,
        result: &Result<LogBatch<NoteRecord>, LogFault>,
        applied: LogOffset,
    ) {
        self.reading = false;
        self.next_read = now.plus(self.interval);
        match result {
            Ok(batch) => {
                self.log_up = true;
                self.follow(now, batch, applied);
            }
            Err(LogFault::Gone { oldest }) => {
                self.log_up = true;
                self.cursor = *oldest;
                self.next_read = now;
            }
            Err(LogFault::Unavailable) => self.log_up = false,
        }
    }

    /// Moves on past a batch, or back to the oldest record when no snapshot closed a gap.
    fn follow(&mut self, now: MonoTime, batch: &LogBatch<NoteRecord>, applied: LogOffset) {
        let past = batch
            .records
            .last()
            .map_or(self.cursor, |placed| LogOffset(placed.offset.0 + 1));
        let at_tail = past >= batch.next || batch.records.is_empty();
        self.cursor = match at_tail {
            true if applied < past => batch.oldest.max(applied),
            true | false => past,
        };
        if !at_tail {
            self.next_read = now;
        }
    }
}
