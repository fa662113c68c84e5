//! Effects that the state machines of the roles ask their driver for.

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
    /// The endpoint's whole answer.
    Answered(EndpointAnswer),
    /// The request did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is not known.
        reason: RefusalReason,
    },
}

/// Effect asked for by the state machine of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEffect {
    /// Gives a caller its final answer.
    AnswerCaller {
        /// Ticket of the caller.
        ticket: CallerTicket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Sends a message to an agent over the link to its address, opened where needed.
    SendLink {
        /// Address of the agent.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Answers on an incoming link.
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
    /// Reads the notes stream from an offset on.
    ReadNotes {
        /// First offset wanted.
        from: LogOffset,
    },
    /// Counts a refusal.
    CountRefusal(RefusalReason),
    /// Counts a retry.
    CountRetry(RetryReason),
    /// Writes a decision to the log line and the ring.
    Decide(DecisionRecord),
    /// Asks to be woken; an earlier wish is replaced.
    WakeAt(MonoTime),
    /// All is done; the process may exit.
    Exit,
}

/// Record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendRecord {
    /// Snapshot of the configuration.
    NotesSnapshot(FleetSnapshot),
    /// Record of the jobs stream.
    Job(JobRecord),
    /// Record of a cell's stream.
    Cell(CellRecord),
}

/// Effect asked for by the state machine of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEffect {
    /// Answers on an incoming link.
    ReplyLink {
        /// The link.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// Sends a message to a peer agent over the link to its address, opened where needed.
    SendLink {
        /// Address of the peer.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Hands a request to the endpoint.
    CallEndpoint {
        /// Address of the endpoint.
        address: SocketAddr,
        /// The request; the driver gives up at its deadline.
        request: ForwardedRequest,
    },
    /// Drops the exchange with the endpoint for a request.
    AbandonEndpoint {
        /// The request.
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
    /// Reads a stream from an offset on.
    ReadLog {
        /// The stream.
        stream: StreamName,
        /// First offset wanted.
        from: LogOffset,
    },
    /// Appends a record.
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
    /// Writes a decision to the log line and the ring.
    Decide(DecisionRecord),
    /// Asks to be woken; the earliest wish of all parts counts.
    WakeAt(MonoTime),
    /// All is done; the process may exit.
    Exit,
}
