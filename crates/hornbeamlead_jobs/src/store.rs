//! Calls to the platform's store and their outcomes, independent of the platform's wire format.

use crate::ids::{CallNumber, PlannerEpoch, ReaderNumber, StreamOffset};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};

/// Stream of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StreamName {
    /// Attempts and their ends, written by the planner only.
    Plan,
    /// Accepted jobs and cancellations, keyed; written by entries.
    Jobs,
    /// Snapshots of the plan, keyed.
    Snapshots,
    /// Address of the planner, keyed.
    Planner,
    /// Configuration and evacuations set by operators, keyed; read only.
    Operators,
    /// Copies of durable plan records, keyed; written by the planner only.
    Journal,
}

/// Condition under which an append takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendCondition {
    /// No condition, for appends that are idempotent.
    Always,
    /// The stream has the expected end; the append begins an epoch of the writer.
    Claim {
        /// Expected end of the stream.
        end: StreamOffset,
        /// Epoch that begins.
        epoch: u64,
    },
    /// No later epoch has begun, and the sequence number follows that of the last append.
    Epoch {
        /// Epoch of the writer.
        epoch: u64,
        /// Sequence number of the append in its epoch.
        sequence: u64,
    },
}

/// Record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRecord {
    /// Key, in a keyed stream.
    pub key: Option<Box<str>>,
    /// Content; `None` removes the key.
    pub value: Option<Bytes>,
}

/// Record read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// Offset in the stream.
    pub offset: StreamOffset,
    /// Key; empty in a stream without keys.
    pub key: Box<str>,
    /// Content; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Operation that the store has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// Append records atomically.
    Append {
        /// Stream to append to.
        stream: StreamName,
        /// Records in order.
        records: Vec<NewRecord>,
        /// Condition under which the records are appended.
        condition: AppendCondition,
    },
    /// Read records from an offset on by long polling.
    Read {
        /// Stream to read.
        stream: StreamName,
        /// Offset of the first record.
        from: StreamOffset,
        /// Time at which to answer without a record.
        wait_until: MonoTime,
        /// Whether only the end of the stream is needed.
        end_only: bool,
    },
    /// Read one page of the newest record of each key.
    Newest {
        /// Stream to read.
        stream: StreamName,
        /// Last key of the previous page; `None` for the first page.
        after: Option<Box<str>>,
    },
}

/// Component of a planner that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PlannerComponent {
    /// Reader of the operators' stream.
    Operators,
    /// Recovery of the plan.
    Plan,
    /// Recovery of the jobs.
    Recovery,
    /// Reader of the jobs stream.
    Jobs,
    /// Writer of the plan stream.
    Records,
    /// Maintenance: the planner's address, snapshots and the removal of ended jobs.
    Upkeep,
    /// Writer of the journal.
    Journal,
}

impl PlannerComponent {
    /// Returns the caller that this component is in the planner of an epoch.
    #[must_use]
    pub fn caller(self, epoch: PlannerEpoch) -> StoreCaller {
        let component = self;
        StoreCaller::Planner { epoch, component }
    }
}

/// Component of a process that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreCaller {
    /// Reader of the operators' stream.
    Operators,
    /// Reader of the plan stream.
    Plan,
    /// Reader of the planner's address, which ignores outcomes of calls of earlier readers.
    Locator(ReaderNumber),
    /// Election, which ignores outcomes of all calls but the last: a call of an abandoned election
    /// may still be in flight.
    Claim(CallNumber),
    /// Repeated read of the plan's end, whose answer is valid in any election.
    PlanEnd,
    /// Planner, which ignores outcomes of another epoch: a process that is elected again may still
    /// have calls of its earlier planner in flight.
    Planner {
        /// Epoch of the planner.
        epoch: PlannerEpoch,
        /// Component that made the call.
        component: PlannerComponent,
    },
    /// Request of a caller, by its number.
    Ticket(u64),
    /// Reader of the end of the jobs stream.
    JobsEnd,
    /// Another host, for which this one makes the call.
    Relay,
}

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// Component that makes the call; returned with the outcome.
    pub caller: StoreCaller,
    /// Operation to perform.
    pub operation: StoreOperation,
    /// Time at which the call is abandoned and its outcome counts as unknown.
    pub deadline: MonoTime,
}

/// Outcome of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The records were appended.
    Appended {
        /// Offset of the first record.
        offset: StreamOffset,
    },
    /// The stream does not have the expected end; nothing was appended.
    Moved {
        /// Actual end of the stream.
        end: StreamOffset,
    },
    /// A later epoch has begun, or the sequence number is wrong; nothing was appended.
    Fenced,
    /// The result of a read, which may be empty.
    Records {
        /// End of the stream.
        end: StreamOffset,
        /// Records in order.
        records: Vec<ReadRecord>,
    },
    /// The requested records have expired.
    Expired {
        /// First offset that is still stored.
        first: StreamOffset,
    },
    /// A page of the newest records.
    Page {
        /// Newest record of each key of the page.
        records: Vec<ReadRecord>,
        /// Whether more pages follow.
        more: bool,
        /// End of the stream.
        end: StreamOffset,
    },
    /// The store refused; the call had no effect.
    Refused {
        /// Reason, for the log.
        cause: Box<str>,
    },
    /// No answer; an append may have taken effect, or may still do so later.
    Unanswered {
        /// Reason, for the log.
        cause: Box<str>,
    },
}
