//! Schedule of reads of the notes stream.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::{NoteRecord, PLATFORM_TIMEOUT};
use hornbeamlead_core::record::{LogBatch, LogError};
use std::time::Duration;

/// Decides when the notes stream is read next; the offset is not tracked here.
#[derive(Debug)]
pub(crate) struct NotesReader {
    interval: Duration,
    next_read: MonoTime,
    times_out_at: MonoTime,
    reading: bool,
    log_up: bool,
}

impl NotesReader {
    /// Creates a reader whose first read is due immediately.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_read: MonoTime(0),
            times_out_at: MonoTime(0),
            reading: false,
            log_up: false,
        }
    }

    /// Returns whether the log answered the last read.
    pub(crate) fn log_up(&self) -> bool {
        self.log_up
    }

    /// Returns when the next read is due, or when the current one counts as lost.
    pub(crate) fn wake_at(&self) -> MonoTime {
        match self.reading {
            true => self.times_out_at,
            false => self.next_read,
        }
    }

    /// Returns whether a read is due; if so, it counts as started.
    pub(crate) fn start_due(&mut self, now: MonoTime) -> bool {
        if now < self.wake_at() {
            return false;
        }
        self.reading = true;
        self.times_out_at = now.plus(2 * PLATFORM_TIMEOUT);
        true
    }

    /// Handles the result of a read; if more records remain, the next read is due immediately.
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
                .is_some_and(|record| record.offset.0 + 1 < batch.next.0),
            Err(LogError::Truncated { .. }) => true,
            Err(LogError::Unavailable) => false,
        };
        self.next_read = match more {
            true => now,
            false => now.plus(self.interval),
        };
    }
}
