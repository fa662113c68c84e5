//! Follows a stream of the store by long reads.

use crate::ids::StreamOffset;
use crate::store::{ReadRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time that a long read may take beyond its wait before it is given up: a connection that went
/// silent shows only so. Four times the slowest answer seen on a slow store (60 x 4 ms).
const READ_SLACK: Duration = Duration::from_millis(1000);

/// Longest pause after failed reads.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// First pause after a failed read; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// What a read brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// Records in order, perhaps none; the follower is at the stream's end if `caught_up`.
    Records {
        /// Records.
        records: Vec<ReadRecord>,
        /// Whether no further record was stored when the read was answered.
        caught_up: bool,
    },
    /// Records were lost to expiry; the newest state has to be read anew.
    Expired,
    /// The read failed and is repeated after a pause.
    Failed,
}

/// Reader of one stream.
#[derive(Clone, Debug)]
pub struct StreamFollower {
    stream: StreamName,
    caller: StoreCaller,
    wait: Duration,
    rest: Duration,
    next: StreamOffset,
    busy: bool,
    not_before: MonoTime,
    failures: u32,
    /// When the read was sent that was last answered.
    last_answered: Option<MonoTime>,
    sent: MonoTime,
}

impl StreamFollower {
    /// Makes a reader that waits up to `wait` for a record and rests for `rest` after each answer.
    #[must_use]
    pub fn new(stream: StreamName, caller: StoreCaller, wait: Duration, rest: Duration) -> Self {
        Self {
            stream,
            caller,
            wait,
            rest,
            next: 0,
            busy: false,
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

    /// Returns the next offset to read.
    #[must_use]
    pub fn next(&self) -> StreamOffset {
        self.next
    }

    /// Returns when the newest answered read was sent: what it told is at most so old.
    #[must_use]
    pub fn last_read_at(&self) -> Option<MonoTime> {
        self.last_answered
    }

    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<StoreCall> {
        if self.busy || now < self.not_before {
            return None;
        }
        self.busy = true;
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
            deadline: wait_until.plus(READ_SLACK),
        })
    }

    /// Takes in the outcome of a call.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> FollowOutcome {
        self.busy = false;
        match outcome {
            StoreOutcome::Records { end, records } => {
                self.failures = 0;
                self.last_answered = Some(self.sent);
                if let Some(last) = records.last() {
                    self.next = last.offset + 1;
                }
                let caught_up = self.next >= end;
                // A stream that does not exist yet is answered at once, without a wait.
                let early = records.is_empty() && now.since(self.sent) < self.wait / 2;
                self.not_before = match caught_up {
                    true if early => now.plus(self.rest.max(MIN_PAUSE)),
                    true => now.plus(self.rest),
                    false => now,
                };
                FollowOutcome::Records { records, caught_up }
            }
            StoreOutcome::Expired { .. } => FollowOutcome::Expired,
            _ => {
                self.pause(now);
                FollowOutcome::Failed
            }
        }
    }

    fn pause(&mut self, now: MonoTime) {
        let factor = 1 << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.plus((MIN_PAUSE * factor).min(MAX_PAUSE));
    }
}

/// Reader of the newest record of each key, page by page.
#[derive(Clone, Debug)]
pub struct NewestReader {
    stream: StreamName,
    caller: StoreCaller,
    records: Vec<ReadRecord>,
    after: Option<Box<str>>,
    first_end: Option<StreamOffset>,
    busy: bool,
    not_before: MonoTime,
}

/// Newest record of each key, and the offset from which to follow the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestRecords {
    /// Records.
    pub records: Vec<ReadRecord>,
    /// End of the stream when the first page was read.
    pub end: StreamOffset,
}

/// Time after which a page is asked for again. Pages are small; a slow store takes a quarter of it.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);

impl NewestReader {
    /// Makes a reader.
    #[must_use]
    pub fn new(stream: StreamName, caller: StoreCaller) -> Self {
        Self {
            stream,
            caller,
            records: Vec::new(),
            after: None,
            first_end: None,
            busy: false,
            not_before: MonoTime(0),
        }
    }

    /// Returns the call to make now, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<StoreCall> {
        if self.busy || now < self.not_before {
            return None;
        }
        self.busy = true;
        Some(StoreCall {
            caller: self.caller,
            operation: StoreOperation::Newest {
                stream: self.stream,
                after: self.after.clone(),
            },
            deadline: now.plus(PAGE_TIMEOUT),
        })
    }

    /// Takes in the outcome of a call; returns all records after the last page.
    pub fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> Option<NewestRecords> {
        self.busy = false;
        let StoreOutcome::Page { records, more, end } = outcome else {
            self.not_before = now.plus(MIN_PAUSE * 2);
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
            }),
        }
    }
}
