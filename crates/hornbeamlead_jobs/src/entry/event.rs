//! Events of an entry.

use crate::effect::LinkId;
use crate::job::JobBody;
use crate::notice::NoticeMessage;
use crate::store::{StoreCaller, StoreOutcome};
use hornbeamlead_core::clock::MonoTime;

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOperation {
    /// Submit a job; an error states why the request body is invalid.
    Submit(Result<JobBody, &'static str>),
    /// Read the state of a job, or the length of the queue if the path names no job.
    Read,
    /// Cancel a job.
    Cancel,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Number of the request, unique within the process.
    pub ticket: u64,
    /// Host name in the request.
    pub host: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// Requested operation.
    pub operation: CallerOperation,
    /// Time at which the caller stops waiting.
    pub deadline: MonoTime,
}

/// Event of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller's request arrived.
    Request(CallerRequest),
    /// A call to the store ended.
    Stored {
        /// Component that made the call.
        caller: StoreCaller,
        /// Outcome of the call.
        outcome: StoreOutcome,
    },
    /// A link that the entry dialed is open.
    LinkOpened(LinkId),
    /// A link has closed, or could not be opened.
    LinkClosed(LinkId),
    /// An agent sent notices of other entries.
    Notices {
        /// Link on which they arrived.
        link: LinkId,
        /// Message of the agent.
        message: NoticeMessage,
    },
    /// Periodic event.
    Tick,
}
