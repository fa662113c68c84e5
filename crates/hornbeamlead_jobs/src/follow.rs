//! Readers of the store's streams, which use long polling.

use crate::ids::StreamOffset;
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time that a long poll may take beyond its wait before it is abandoned, which is the only way
/// to detect a silently failed connection. Four times the slowest answer of a slow store
/// (60 x 4 ms).
const READ_MARGIN: Duration = Duration::from_millis(1000);

/// Longest backoff after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// First backoff after a failed read; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Result of a read by a [`StreamFollower`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The read returned records, which may be none.
    Records {
        /// Records in order.
        records: Vec<ReadRecord>,
        /// Whether no further record was stored when the read was answered.
        caught_up: bool,
    },
    /// Records expired before they were read, so the newest state has to be read again.
    Expired {
        /// First offset that is still stored.
        first: StreamOffset,
    },
    /// The read failed and is repeated after a backoff.
    Failed,
}

/// Reader that follows one stream by long polling.
#[derive(Clone, Debug)]
pub struct StreamFollower {
    stream: StreamName,
    caller: StoreCaller,
    wait: Duration,
    read_pause: Duration,
    next: StreamOffset,
    in_flight: bool,
    not_before: MonoTime,
    failures: u32,
    /// Time at which the last answered read was sent.
    last_answered: Option<MonoTime>,
    sent: MonoTime,
}

impl StreamFollower {
    /// Creates a reader that waits up to `wait` for a record and pauses for `read_pause` after each
    /// answer.
    #[must_use]
    pub fn new(
        stream: StreamName,
        caller: StoreCaller,
        wait: Duration,
        read_pause: Duration,
    ) -> Self {
        Self {
            stream,
            caller,
            wait,
            read_pause,
            next: 0,
            in_flight: false,
            not_before: MonoTime(0),
            failures: 0,
            last_answered: None,
            sent: MonoTime(0),
        }
    }

    /// Sets the next offset to read.
    pub fn seek(&mut self, next: StreamOffset) {
        self.next = next;
    }

    /// Continues after a read of the newest records.
    pub fn continue_after(&mut self, newest: &NewestRecords) {
        self.next = newest.end;
        self.last_answered = Some(newest.read_at);
    }

    /// Returns the next offset to read.
    #[must_use]
    pub fn next(&self) -> StreamOffset {
        self.next
    }

    /// Returns the time at which the last answered read was sent; all records stored before it
    /// have been read if the reader has caught up.
    #[must_use]
    pub fn last_read_at(&self) -> Option<MonoTime> {
        self.last_answered
    }

    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<StoreCall> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        self.sent = now;
        let wait_until = now.plus(self.wait);
        Some(StoreCall {
            caller: self.caller,
            operation: StoreOperation::Read {
                stream: self.stream,
                from: self.next,
                wait_until,
                end_only: false,
            },
            deadline: wait_until.plus(READ_MARGIN),
        })
    }

    /// Handles the outcome of a call.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> FollowOutcome {
        self.in_flight = false;
        match outcome {
            StoreOutcome::Records { end, records } => {
                self.failures = 0;
                self.last_answered = Some(self.sent);
                if let Some(last) = records.last() {
                    self.next = last.offset.saturating_add(1);
                }
                let caught_up = self.next >= end;
                // For a stream that does not exist yet, the store answers without waiting.
                let immediate = records.is_empty() && now.since(self.sent) < self.wait / 2;
                self.not_before = match caught_up {
                    true if immediate => now.plus(self.read_pause.max(MIN_BACKOFF)),
                    true => now.plus(self.read_pause),
                    false => now,
                };
                FollowOutcome::Records { records, caught_up }
            }
            StoreOutcome::Expired { first } => FollowOutcome::Expired { first },
            _ => {
                self.back_off(now);
                FollowOutcome::Failed
            }
        }
    }

    fn back_off(&mut self, now: MonoTime) {
        let factor = 1 << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.plus((MIN_BACKOFF * factor).min(MAX_BACKOFF));
    }
}

/// Paginated reader of the newest record of each key.
#[derive(Clone, Debug)]
pub struct NewestReader {
    stream: StreamName,
    caller: StoreCaller,
    records: Vec<ReadRecord>,
    after: Option<Box<str>>,
    first_end: Option<StreamOffset>,
    first_sent: Option<MonoTime>,
    in_flight: bool,
    not_before: MonoTime,
}

/// Newest record of each key, and the offset from which to follow the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestRecords {
    /// Newest record of each key.
    pub records: Vec<ReadRecord>,
    /// End of the stream when the first page was read.
    pub end: StreamOffset,
    /// Time at which the first page was requested; all records stored before it are included.
    pub read_at: MonoTime,
}

/// Time after which the read of a page is repeated. Pages are small; a slow store answers within
/// a quarter of this time.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);

impl NewestReader {
    /// Creates a reader that starts with the first page.
    #[must_use]
    pub fn new(stream: StreamName, caller: StoreCaller) -> Self {
        Self {
            stream,
            caller,
            records: Vec::new(),
            after: None,
            first_end: None,
            first_sent: None,
            in_flight: false,
            not_before: MonoTime(0),
        }
    }

    /// Delays the first page.
    #[must_use]
    pub(crate) fn starting_at(mut self, not_before: MonoTime) -> Self {
        self.not_before = not_before;
        self
    }

    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<StoreCall> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        self.first_sent.get_or_insert(now);
        Some(StoreCall {
            caller: self.caller,
            operation: StoreOperation::Newest {
                stream: self.stream,
                after: self.after.clone(),
            },
            deadline: now.plus(PAGE_TIMEOUT),
        })
    }

    /// Handles the outcome of a call and returns all records after the last page.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> Option<NewestRecords> {
        self.in_flight = false;
        let StoreOutcome::Page { records, more, end } = outcome else {
            self.not_before = now.plus(MIN_BACKOFF * 2);
            return None;
        };
        let first_end = *self.first_end.get_or_insert(end);
        self.after = records.last().map(|record| record.key.clone());
        self.records.extend(records);
        match more && self.after.is_some() {
            true => None,
            false => Some(NewestRecords {
                records: std::mem::take(&mut self.records),
                end: first_end,
                read_at: self.first_sent.unwrap_or(now),
            }),
        }
    }
}
