//! Paces the reading of the notes stream.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::{NoteRecord, PLATFORM_TIMEOUT};
use hornbeamlead_core::record::{LogBatch, LogError};
use std::time::Duration;

/// When the notes stream is read next; the keeper of the notes knows from where.
#[derive(Debug)]
pub(crate) struct NotesReader {
    interval: Duration,
    next_read: MonoTime,
    given_up: MonoTime,
    reading: bool,
    log_up: bool,
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

    /// Returns whether a read is due; it counts as begun then.
    pub(crate) fn start_due(&mut self, now: MonoTime) -> bool {
        if now < self.wake_at() {
            return false;
        }
        self.reading = true;
        self.given_up = now.plus(2 * PLATFORM_TIMEOUT);
        true
    }

    /// Takes the outcome of a read; the next one is due at once if there is more to read.
    pub(crate) fn finish(
        &mut self,
        now: MonoTime,
        result: &Result<LogBatch<NoteRecord>, LogError>,
    ) {
        self.reading = false;
        self.log_up = *result != Err(LogError::Unavailable);
        let more = match result {
            Ok(batch) => batch
                .records
                .last()
                .is_some_and(|placed| placed.offset.0 + 1 < batch.next.0),
            Err(LogError::Truncated { .. }) => true,
            Err(LogError::Unavailable) => false,
        };
        self.next_read = match more {
            true => now,
            false => now.plus(self.interval),
        };
    }
}
