//! Calls to the platform's store, in the project's own terms.

use crate::ids::StreamOffset;
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};

/// Streams that the system uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StreamName {
    /// Attempts and ends, written by the planner alone.
    Plan,
    /// Accepted jobs and cancellations by key, written by entries.
    Jobs,
    /// Snapshots of the plan by key.
    Snapshots,
    /// Address of the planner, by key.
    Planner,
    /// What operators ask for, by key; read only.
    Operators,
}

/// Condition under which an append takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendCondition {
    /// None: repeating the append does no harm.
    Always,
    /// The stream ends here; begins an epoch of the writer.
    Claim {
        /// Expected end.
        end: StreamOffset,
        /// Epoch that begins.
        epoch: u64,
    },
    /// No later epoch has begun, and the numbers follow one another.
    Epoch {
        /// Epoch of the writer.
        epoch: u64,
        /// Number of the append in its epoch.
        sequence: u64,
    },
}

/// Record to be appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRecord {
    /// Key, for a stream by key.
    pub key: Option<Box<str>>,
    /// Content; none removes the key.
    pub value: Option<Bytes>,
}

/// Record as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// Position.
    pub offset: StreamOffset,
    /// Key, empty for a stream without keys.
    pub key: Box<str>,
    /// Content; none where the key was removed.
    pub value: Option<Bytes>,
}

/// What is asked of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// Append records, all or none.
    Append {
        /// Stream.
        stream: StreamName,
        /// Records.
        records: Vec<NewRecord>,
        /// Condition.
        condition: AppendCondition,
    },
    /// Read records from an offset; waits for one until `wait_until`.
    Read {
        /// Stream.
        stream: StreamName,
        /// First offset.
        from: StreamOffset,
        /// When to answer without a record.
        wait_until: MonoTime,
        /// Whether only the end of the stream matters.
        end_only: bool,
    },
    /// Read one page of the newest record of each key.
    Newest {
        /// Stream.
        stream: StreamName,
        /// Last key of the page before.
        after: Option<Box<str>>,
    },
}

/// Names the part of a process that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreCaller {
    /// Reader of operators' changes.
    Operators,
    /// Reader of the plan.
    Plan,
    /// Reader of jobs.
    Jobs,
    /// Search for the planner's address.
    Locator,
    /// Claim of the planner's duty.
    Claim,
    /// Recovery of the planner's state.
    Recovery,
    /// Planner's records.
    Records,
    /// Planner's snapshots and clean-up.
    Upkeep,
    /// A caller's request, by ticket.
    Ticket(u64),
    /// Another host, in whose name the call is made.
    Relay,
}

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// Who asks; comes back with the outcome.
    pub caller: StoreCaller,
    /// What.
    pub operation: StoreOperation,
    /// When the call is given up and its outcome counts as unknown.
    pub deadline: MonoTime,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// Appended.
    Appended {
        /// Offset of the first record.
        offset: StreamOffset,
    },
    /// The stream ends elsewhere; nothing was appended.
    Moved {
        /// Its end.
        end: StreamOffset,
    },
    /// A later epoch has begun, or the sequence does not follow; nothing was appended.
    Fenced,
    /// Records, perhaps none.
    Records {
        /// End of the stream.
        end: StreamOffset,
        /// Records, in order.
        records: Vec<ReadRecord>,
    },
    /// The records asked for have expired.
    Expired {
        /// First offset that is left.
        first: StreamOffset,
    },
    /// A page of newest records.
    Page {
        /// Records.
        records: Vec<ReadRecord>,
        /// Whether more pages follow.
        more: bool,
        /// End of the stream.
        end: StreamOffset,
    },
    /// The store refused; nothing was done.
    Refused {
        /// Why.
        cause: Box<str>,
    },
    /// No answer: an append may have taken effect, or may yet.
    Unanswered {
        /// Why.
        cause: Box<str>,
    },
}
