//! Reader of one stream: applies records in order and finds a snapshot when retention overtook it.

use hornbeamlead_core::ids::{LogOffset, RecordId};
use hornbeamlead_core::record::{LogBatch, LogRecord};

/// State that is made by applying a stream's records in order.
pub trait StreamState: Default {
    /// Record of the stream.
    type Record: Clone;

    /// Returns the offset that is to be applied next.
    fn next(&self) -> LogOffset;

    /// Applies a record at or after [`StreamState::next`]; void records only move the offset on.
    fn apply(&mut self, placed: &LogRecord<Self::Record>);

    /// Returns the state that a snapshot record holds.
    fn restore(record: &Self::Record) -> Option<Self>;

    /// Returns the id of a record.
    fn id(record: &Self::Record) -> &RecordId;
}

/// Reader of one stream.
#[derive(Clone, Debug)]
pub struct StreamReader<S: StreamState> {
    state: S,
    cursor: LogOffset,
    /// Records read since retention overtook the reader, until a snapshot covers the gap.
    gap: Option<Vec<LogRecord<S::Record>>>,
}

impl<S: StreamState> Default for StreamReader<S> {
    fn default() -> Self {
        Self {
            state: S::default(),
            cursor: LogOffset(0),
            gap: None,
        }
    }
}

impl<S: StreamState> StreamReader<S> {
    /// Returns the state as far as it was read.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the offset to read from.
    pub fn cursor(&self) -> LogOffset {
        self.cursor
    }

    /// Returns whether records are missing that no snapshot has covered yet.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Notes that records before `oldest` are gone; the state then waits for a snapshot.
    pub fn skip_truncated(&mut self, oldest: LogOffset) {
        if oldest <= self.state.next() {
            self.cursor = self.state.next();
            return;
        }
        self.cursor = oldest;
        self.gap = Some(Vec::new());
    }

    /// Takes a stretch as read; returns whether the tail was reached without a gap.
    pub fn take(&mut self, batch: &LogBatch<S::Record>) -> bool {
        if batch.oldest > self.cursor {
            self.skip_truncated(batch.oldest);
        }
        for placed in &batch.records {
            self.take_one(placed);
        }
        self.cursor >= batch.next && self.gap.is_none()
    }

    fn take_one(&mut self, placed: &LogRecord<S::Record>) {
        if placed.offset < self.cursor {
            return;
        }
        self.cursor = LogOffset(placed.offset.0.saturating_add(1));
        match &mut self.gap {
            None => self.state.apply(placed),
            Some(records) => {
                records.push(placed.clone());
                self.close_gap(&placed.record);
            }
        }
    }

    fn close_gap(&mut self, record: &S::Record) {
        let Some(restored) = S::restore(record) else {
            return;
        };
        let oldest = self.gap.iter().flatten().map(|placed| placed.offset).min();
        if oldest.is_some_and(|offset| restored.next() < offset) {
            return;
        }
        self.state = restored;
        for placed in self.gap.take().into_iter().flatten() {
            if placed.offset >= self.state.next() {
                self.state.apply(&placed);
            }
        }
    }
}
