//! Effects that the role state machines request from their driver.

use crate::clock::MonoTime;
use crate::counter::{RefusalReason, RetryReason};
use crate::explain::DecisionRecord;
use crate::fleet::FleetSnapshot;
use crate::ids::{CallerTicket, LinkId, LogOffset, RequestId};
use crate::message::control::ControlMessage;
use crate::message::request::{EndpointAnswer, ForwardedRequest, LinkMessage};
use crate::record::{CellRecord, JobRecord, StreamName};
use crate::task::WorkerCall;
use std::net::SocketAddr;
use std::time::Duration;

/// Final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// Complete response of the endpoint.
    Answered(EndpointAnswer),
    /// The request did not run.
    NotRun {
        /// Why the request was refused.
        reason: RefusalReason,
        /// Delay after which a retry makes sense.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: RefusalReason,
    },
}

/// Effect requested by the state machine of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEffect {
    /// Sends a caller its final answer.
    AnswerCaller {
        /// Ticket of the caller.
        ticket: CallerTicket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Sends a message to an agent over the link to its address, opening the link if needed.
    SendLink {
        /// Address of the agent.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Replies on an incoming link.
    ReplyLink {
        /// The link.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// Sends a datagram.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// Reads the notes stream.
    ReadNotes {
        /// First offset to read.
        from: LogOffset,
    },
    /// Counts a refusal.
    CountRefusal(RefusalReason),
    /// Counts a retry.
    CountRetry(RetryReason),
    /// Logs a decision and adds it to the decision history.
    Decide(DecisionRecord),
    /// Sets the wake-up timer, replacing the previous setting.
    WakeAt(MonoTime),
    /// Shutdown is complete; the process may exit.
    Exit,
}

/// Record to append to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendRecord {
    /// Snapshot of the configuration.
    NotesSnapshot(FleetSnapshot),
    /// Record of the jobs stream.
    Job(JobRecord),
    /// Record of a cell's stream.
    Cell(CellRecord),
}

/// Effect requested by the state machine of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEffect {
    /// Replies on an incoming link.
    ReplyLink {
        /// The link.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// Sends a message to a peer agent over the link to its address, opening the link if needed.
    SendLink {
        /// Address of the peer.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Sends a request to the endpoint.
    CallEndpoint {
        /// Address of the endpoint.
        address: SocketAddr,
        /// The request; the driver aborts the exchange at its deadline.
        request: ForwardedRequest,
    },
    /// Aborts the exchange with the endpoint for a request.
    AbandonEndpoint {
        /// Id of the request.
        id: RequestId,
    },
    /// Sends a datagram.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// Calls the worker.
    CallWorker {
        /// Address of the worker, as announced.
        address: SocketAddr,
        /// The call.
        call: WorkerCall,
    },
    /// Reads a stream.
    ReadLog {
        /// The stream.
        stream: StreamName,
        /// First offset to read.
        from: LogOffset,
    },
    /// Appends a record to a stream.
    AppendLog {
        /// The stream.
        stream: StreamName,
        /// The record.
        record: AppendRecord,
    },
    /// Counts a refusal.
    CountRefusal(RefusalReason),
    /// Counts a retry.
    CountRetry(RetryReason),
    /// Logs a decision and adds it to the decision history.
    Decide(DecisionRecord),
    /// Requests a wake-up; the earliest time requested by any component applies.
    WakeAt(MonoTime),
    /// Shutdown is complete; the process may exit.
    Exit,
}
