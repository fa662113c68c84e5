//! Events that the driver passes to the role state machines.

use crate::clock::MonoTime;
use crate::fleet::FleetSnapshot;
use crate::ids::{
    CallerTicket, IdempotencyKey, LinkId, LogOffset, NoteId, RecordId, RequestId, Revision,
    ServiceName,
};
use crate::message::control::ControlMessage;
use crate::message::request::{
    CallerRequest, EndpointAnswer, ForwardedRequest, KeyAnswer, KeyQuery, RequestReply,
};
use crate::note::ReleaseNote;
use crate::record::{CellRecord, JobRecord, LogBatch, LogError, LogRecord, RawRecord, StreamName};
use crate::resource::ResourceSize;
use crate::task::{WorkerAnswer, WorkerCall, WorkerError};
use std::net::SocketAddr;
use std::time::Duration;

/// Decoded record of the notes stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoteEntry {
    /// Release note.
    Note(ReleaseNote),
    /// Snapshot of the configuration up to an offset.
    Snapshot(FleetSnapshot),
}

/// Record of the notes stream with the encoded record, which is forwarded to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteRecord {
    /// Decoded content; `None` for an undecodable payload, which every process skips.
    pub entry: Option<NoteEntry>,
    /// Encoded record as read from the log.
    pub raw: RawRecord,
}

/// Result of reading one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamBatch {
    /// Notes.
    Notes(LogBatch<NoteRecord>),
    /// Claims of task ranges.
    Jobs(LogBatch<JobRecord>),
    /// Epochs and attempts of a cell.
    Cell(LogBatch<CellRecord>),
}

/// Outcome of forwarding a request to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// A complete response was received.
    Answered(EndpointAnswer),
    /// No connection could be opened; no bytes were sent.
    Unreachable,
    /// The exchange failed or timed out after bytes were sent.
    Broken,
}

/// Announcement of an endpoint to the agent of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnnounce {
    /// Incarnation of the endpoint.
    pub incarnation: crate::ids::Incarnation,
    /// Address of the endpoint's HTTP listener, for requests.
    pub address: SocketAddr,
    /// Address of the worker's HTTP listener, for tasks.
    pub worker_address: SocketAddr,
    /// Services that the endpoint serves.
    pub services: Vec<ServiceName>,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of concurrent connections.
    pub connections: u16,
    /// Total resources of the host.
    pub capacity: ResourceSize,
    /// Whether the endpoint is shutting down.
    pub leaving: bool,
}

/// Event for the state machine of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// A complete caller request was received.
    CallerRequested {
        /// Ticket by which the driver matches the answer.
        ticket: CallerTicket,
        /// The request.
        request: CallerRequest,
        /// Deadline from the caller's timeout; `None` for the default timeout of the service.
        deadline: Option<MonoTime>,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Its ticket.
        ticket: CallerTicket,
    },
    /// A reply arrived over a link.
    Replied {
        /// Address of the agent that sent it.
        from: SocketAddr,
        /// The reply.
        reply: RequestReply,
    },
    /// A link could not be opened; none of the messages queued for it were sent.
    LinkRefused {
        /// Address of the agent.
        to: SocketAddr,
        /// Requests that were not sent.
        unsent: Vec<RequestId>,
    },
    /// An open link failed; messages sent over it may have arrived.
    LinkBroken {
        /// Address of the agent.
        to: SocketAddr,
    },
    /// A datagram arrived.
    Datagram {
        /// Sender.
        from: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// A read of the notes stream ended.
    NotesRead {
        /// Clock before the read began.
        began: MonoTime,
        /// Records read, or the error.
        result: Result<LogBatch<NoteRecord>, LogError>,
    },
    /// Another process forwarded records of the notes stream.
    NotesForwarded(Vec<LogRecord<NoteRecord>>),
    /// A peer requested the notes after its revision.
    NotesRequested {
        /// Link to reply on.
        link: LinkId,
        /// Current revision of the peer.
        from: Revision,
    },
    /// The wake-up timer expired.
    TimerFired,
    /// Shutdown of the process was requested.
    StopRequested,
}

/// Event for the state machine of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A request arrived over a link from an entry or an arbiter.
    Requested {
        /// Link to reply on.
        link: LinkId,
        /// The request.
        request: ForwardedRequest,
    },
    /// A request was cancelled; it is dropped if it has not reached the endpoint.
    Cancelled {
        /// Link on which the cancellation arrived.
        link: LinkId,
        /// Id of the request.
        id: RequestId,
    },
    /// An agent replied to a request that this agent granted to it as arbiter.
    Replied {
        /// Address of the agent that ran the request.
        from: SocketAddr,
        /// The reply.
        reply: RequestReply,
    },
    /// Another arbiter queried the state of an idempotency key.
    KeyQueried {
        /// Link to reply on.
        link: LinkId,
        /// The query.
        query: KeyQuery,
    },
    /// A peer replied to a key query.
    KeyAnswered {
        /// Address of the peer.
        from: SocketAddr,
        /// The answer.
        answer: KeyAnswer,
    },
    /// An incoming link closed; replies can no longer be delivered on it.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// An outgoing link to a peer could not be opened.
    LinkRefused {
        /// Address of the peer.
        to: SocketAddr,
        /// Requests that were not sent.
        unsent: Vec<RequestId>,
    },
    /// An open outgoing link to a peer failed.
    LinkBroken {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// An exchange with the endpoint ended.
    EndpointDone {
        /// Id of the request.
        id: RequestId,
        /// Outcome of the exchange.
        outcome: EndpointOutcome,
    },
    /// The endpoint sent an announcement.
    EndpointAnnounced(EndpointAnnounce),
    /// A datagram arrived.
    Datagram {
        /// Sender.
        from: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// A call to the worker ended.
    WorkerDone {
        /// The call.
        call: WorkerCall,
        /// Answer of the worker, or the error.
        result: Result<WorkerAnswer, WorkerError>,
    },
    /// A read of a stream ended.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// Clock before the read began.
        began: MonoTime,
        /// Records read, or the error.
        result: Result<StreamBatch, LogError>,
    },
    /// An append to a stream ended.
    LogAppended {
        /// The stream.
        stream: StreamName,
        /// Id of the record.
        id: RecordId,
        /// Offset of the record; after a [`LogError`] the record may still have been appended.
        result: Result<LogOffset, LogError>,
    },
    /// Another process forwarded records of the notes stream.
    NotesForwarded(Vec<LogRecord<NoteRecord>>),
    /// A peer requested the notes after its revision.
    NotesRequested {
        /// Link to reply on.
        link: LinkId,
        /// Current revision of the peer.
        from: Revision,
    },
    /// The wake-up timer expired.
    TimerFired,
    /// Shutdown of the process was requested.
    StopRequested,
}

/// Status query of an operator to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusQuery {
    /// Full status of the process.
    Fleet,
    /// Recent decisions whose subject contains this text.
    Explain(Box<str>),
    /// Acceptance or refusal of a note.
    Note(NoteId),
    /// State of an idempotency key.
    Key(IdempotencyKey),
}

/// Timeout of a call to the log or to a worker.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
