//! Reader of one stream: applies records in order and recovers from truncation by a snapshot.

use hornbeamlead_core::ids::{LogOffset, RecordId};
use hornbeamlead_core::record::{LogBatch, LogRecord};

/// State built by applying a stream's records in order.
pub trait StreamState: Default {
    /// Type of the stream's records.
    type Record: Clone;

    /// Returns the offset of the next record to apply.
    fn next(&self) -> LogOffset;

    /// Applies a record at or after [`StreamState::next`]; one without effect only advances the
    /// offset.
    fn apply(&mut self, log_record: &LogRecord<Self::Record>);

    /// Returns the state contained in a snapshot record; `None` for any other record.
    fn restore(record: &Self::Record) -> Option<Self>;

    /// Returns the id of a record.
    fn id(record: &Self::Record) -> &RecordId;
}

/// Reader of one stream.
#[derive(Clone, Debug)]
pub struct StreamReader<S: StreamState> {
    state: S,
    cursor: LogOffset,
    /// Records read after truncated ones, until a snapshot covers the gap.
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
    /// Returns the state up to the last applied record.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the offset of the next record to read.
    pub fn cursor(&self) -> LogOffset {
        self.cursor
    }

    /// Returns whether truncated records are missing that no snapshot has covered yet.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Skips the records before `oldest`, which were truncated; the state stays as it is until a
    /// snapshot covers them.
    pub fn skip_truncated(&mut self, oldest: LogOffset) {
        if oldest <= self.state.next() {
            self.cursor = self.state.next();
            return;
        }
        self.cursor = oldest;
        self.gap = Some(Vec::new());
    }

    /// Applies a batch of records; returns whether the tail was reached without a gap.
    pub fn take(&mut self, batch: &LogBatch<S::Record>) -> bool {
        if batch.oldest > self.cursor {
            self.skip_truncated(batch.oldest);
        }
        for log_record in &batch.records {
            self.apply_record(log_record);
        }
        self.cursor >= batch.next && self.gap.is_none()
    }

    fn apply_record(&mut self, log_record: &LogRecord<S::Record>) {
        if log_record.offset < self.cursor {
            return;
        }
        self.cursor = LogOffset(log_record.offset.0.saturating_add(1));
        match &mut self.gap {
            None => self.state.apply(log_record),
            Some(records) => {
                records.push(log_record.clone());
                self.close_gap(&log_record.record);
            }
        }
    }

    fn close_gap(&mut self, record: &S::Record) {
        let Some(restored) = S::restore(record) else {
            return;
        };
        let oldest = self
            .gap
            .iter()
            .flatten()
            .map(|log_record| log_record.offset)
            .min();
        if oldest.is_some_and(|offset| restored.next() < offset) {
            return;
        }
        self.state = restored;
        for log_record in self.gap.take().into_iter().flatten() {
            if log_record.offset >= self.state.next() {
                self.state.apply(&log_record);
            }
        }
    }
}
