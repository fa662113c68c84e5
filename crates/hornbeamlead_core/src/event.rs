//! Events that the driver hands to the state machines of the roles.

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

/// Record of the notes stream, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoteEntry {
    /// Release note.
    Note(ReleaseNote),
    /// Whole configuration up to an offset.
    Snapshot(FleetSnapshot),
}

/// Note with its place and its payload, kept for passing on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteRecord {
    /// Content; `None` when the payload could not be decoded, which every process skips alike.
    pub entry: Option<NoteEntry>,
    /// Record as it stands on the log.
    pub raw: RawRecord,
}

/// Result of reading one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamBatch {
    /// Notes.
    Notes(LogBatch<NoteRecord>),
    /// Claims of ranges.
    Jobs(LogBatch<JobRecord>),
    /// Epochs and attempts of a cell.
    Cell(LogBatch<CellRecord>),
}

/// What the endpoint did with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// Whole answer.
    Answered(EndpointAnswer),
    /// No connection; not a byte was sent.
    Unreachable,
    /// The exchange broke off or ran out of time after bytes were sent.
    Broken,
}

/// Endpoint's announcement to the agent of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnnounce {
    /// Life of the endpoint.
    pub incarnation: crate::ids::Incarnation,
    /// Address of the endpoint's HTTP listener, for requests.
    pub address: SocketAddr,
    /// Address of the worker's HTTP listener, for tasks.
    pub worker_address: SocketAddr,
    /// Services it runs.
    pub services: Vec<ServiceName>,
    /// Slots for requests.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
    /// All that the host has.
    pub capacity: ResourceSize,
    /// True once the endpoint is leaving.
    pub leaving: bool,
}

/// Event for the state machine of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// A caller's request was read whole.
    CallerRequested {
        /// Ticket under which the driver waits for the answer.
        ticket: CallerTicket,
        /// What is asked.
        request: CallerRequest,
        /// Timeout that the caller named, as a deadline; `None` for the service's default.
        deadline: Option<MonoTime>,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Its ticket.
        ticket: CallerTicket,
    },
    /// A reply came over a link.
    Replied {
        /// Address of the agent that sent it.
        from: SocketAddr,
        /// The reply.
        reply: RequestReply,
    },
    /// A link could not be opened: nothing that was to be sent over it was sent.
    LinkRefused {
        /// Address of the agent.
        to: SocketAddr,
        /// Requests that were not sent.
        unsent: Vec<RequestId>,
    },
    /// An open link broke; what was sent over it may have arrived.
    LinkBroken {
        /// Address of the agent.
        to: SocketAddr,
    },
    /// A datagram came.
    Datagram {
        /// Sender.
        from: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// The notes stream was read, or another process passed notes on.
    NotesRead {
        /// Clock before the read began.
        began: MonoTime,
        /// Outcome.
        result: Result<LogBatch<NoteRecord>, LogError>,
    },
    /// Another process passed notes on.
    NotesForwarded(Vec<LogRecord<NoteRecord>>),
    /// A peer asks for notes from a revision on.
    NotesRequested {
        /// Link to answer on.
        link: LinkId,
        /// Revision that the peer has.
        from: Revision,
    },
    /// The wake-up time came.
    TimerFired,
    /// The process was asked to stop.
    StopRequested,
}

/// Event for the state machine of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A request came over a link, from an entry or from an arbiter.
    Requested {
        /// Link to answer on.
        link: LinkId,
        /// The request.
        request: ForwardedRequest,
    },
    /// A request is to be dropped if it has not reached the endpoint.
    Cancelled {
        /// Link it came on.
        link: LinkId,
        /// The request.
        id: RequestId,
    },
    /// A runner's reply to a request that this agent handed over as arbiter.
    Replied {
        /// Address of the runner.
        from: SocketAddr,
        /// The reply.
        reply: RequestReply,
    },
    /// Another arbiter asks about a key.
    KeyQueried {
        /// Link to answer on.
        link: LinkId,
        /// The question.
        query: KeyQuery,
    },
    /// A peer answered about a key.
    KeyAnswered {
        /// Address of the peer.
        from: SocketAddr,
        /// The answer.
        answer: KeyAnswer,
    },
    /// An incoming link closed; replies to it are lost.
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
    /// An outgoing link to a peer broke.
    LinkBroken {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// The endpoint is done with a request.
    EndpointDone {
        /// The request.
        id: RequestId,
        /// What happened.
        outcome: EndpointOutcome,
    },
    /// The endpoint announced itself.
    EndpointAnnounced(EndpointAnnounce),
    /// A datagram came.
    Datagram {
        /// Sender.
        from: SocketAddr,
        /// Content.
        message: ControlMessage,
    },
    /// The worker answered a call, or did not.
    WorkerDone {
        /// The call.
        call: WorkerCall,
        /// Outcome.
        result: Result<WorkerAnswer, WorkerError>,
    },
    /// A stream was read.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// Clock before the read began.
        began: MonoTime,
        /// Outcome.
        result: Result<StreamBatch, LogError>,
    },
    /// An append was answered, or not.
    LogAppended {
        /// The stream.
        stream: StreamName,
        /// Id of the record.
        id: RecordId,
        /// Position if known; after [`LogError`] the record may stand on the log all the same.
        result: Result<LogOffset, LogError>,
    },
    /// Another process passed notes on.
    NotesForwarded(Vec<LogRecord<NoteRecord>>),
    /// A peer asks for notes from a revision on.
    NotesRequested {
        /// Link to answer on.
        link: LinkId,
        /// Revision that the peer has.
        from: Revision,
    },
    /// The wake-up time came.
    TimerFired,
    /// The process was asked to stop.
    StopRequested,
}

/// Words of an operator's question to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusQuery {
    /// Whole status of the process.
    Fleet,
    /// Recent decisions about a subject.
    Explain(Box<str>),
    /// Fate of a note.
    Note(NoteId),
    /// Fate of a key.
    Key(IdempotencyKey),
}

/// Time after which an unanswered log or worker call counts as failed.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
