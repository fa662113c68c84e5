//! Messages on the links (TCP) between entries and agents, and between agents.

use crate::clock::MonoTime;
use crate::counter::RefusalReason;
use crate::ids::{DataCentreName, HostId, IdempotencyKey, Incarnation, RequestId, ServiceName};
use crate::message::control::CellView;
use bytes::Bytes;
use std::time::Duration;

/// Largest body of a request or answer, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Whether running a request twice does harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestSafety {
    /// May run again.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
}

/// HTTP header, by name and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: Box<str>,
    /// Value; bytes that are not text are refused at the entry.
    pub value: Box<str>,
}

/// What a caller asked of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Service called.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query after the service's segment, with its leading slash.
    pub path: Box<str>,
    /// Headers that are passed on; hop-by-hop ones and the system's own are removed.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// Whether it may run again.
    pub safety: RequestSafety,
    /// Caller's idempotency key.
    pub key: Option<IdempotencyKey>,
}

/// Request on its way from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Id of this attempt; an answer is matched by it.
    pub id: RequestId,
    /// What is asked.
    pub request: CallerRequest,
    /// End of the caller's patience, in the clock of the process that holds this value.
    ///
    /// It crosses the wire as the time left and becomes a deadline again on receipt.
    pub deadline: MonoTime,
    /// Set when an arbiter has recorded the key and hands the request to a runner.
    pub granted: Option<KeyGrant>,
}

/// Arbiter's word that a key may run, here and nowhere else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Arbiter that recorded the key.
    pub arbiter: HostId,
    /// View of the cell under which it acted.
    pub view: u64,
}

/// Whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, hop-by-hop ones removed.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
}

/// What became of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint answered.
    Answered(EndpointAnswer),
    /// The request did not run and, by this id, never will.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// When it makes sense to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        /// Why the outcome is not known.
        reason: RefusalReason,
    },
}

/// Load of a worker, as it rides back on each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that hold a slot.
    pub in_flight: u16,
    /// Requests that wait for one.
    pub queued: u16,
    /// Slots that may be used now.
    pub slots: u16,
    /// Typical time that the endpoint takes, in microseconds.
    pub service_time_us: u32,
    /// True once the agent takes no new work.
    pub leaving: bool,
}

/// Reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReply {
    /// Id of the attempt that is answered.
    pub id: RequestId,
    /// What became of it.
    pub outcome: RequestOutcome,
    /// Load of the worker.
    pub load: LoadSample,
}

/// Question whether a host knows a key; asking fences the key for older views there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuery {
    /// Number that the answer repeats.
    pub query: u64,
    /// Arbiter that asks.
    pub arbiter: HostId,
    /// Life of that arbiter.
    pub incarnation: Incarnation,
    /// Service of the key.
    pub service: ServiceName,
    /// Key asked about.
    pub key: IdempotencyKey,
    /// View under which the arbiter asks; grants of older ones are refused from now on.
    pub view: u64,
}

/// What a host knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Never seen here, and fenced from now on.
    Absent,
    /// Running here.
    Running,
    /// Ran here, with this answer.
    Answered(EndpointAnswer),
    /// Started here, outcome not known.
    Unknown,
}

/// Answer to a [`KeyQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyAnswer {
    /// Number of the query.
    pub query: u64,
    /// Host that answers.
    pub host: HostId,
    /// Life of that host.
    pub incarnation: Incarnation,
    /// What it knows.
    pub key_state: KeyState,
    /// Time for which it has followed the views of its cell; `Duration::MAX` since the first one.
    pub observed_for: Duration,
    /// Views before the one it follows now, as far as they still matter.
    pub past: Vec<CellView>,
    /// Sets of data centres in service, the one in force there and those before that still matter.
    pub homes: Vec<Vec<DataCentreName>>,
}

/// Message on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkMessage {
    /// Hands a request over.
    Request(ForwardedRequest),
    /// Answers one.
    Reply(RequestReply),
    /// Asks that a request which has not reached the endpoint be dropped and fenced.
    Cancel(RequestId),
    /// Asks about a key.
    KeyQuery(KeyQuery),
    /// Answers about a key.
    KeyAnswer(KeyAnswer),
    /// Asks for the notes from a revision on.
    NotesRequest(crate::ids::Revision),
    /// Gives accepted notes, oldest first, as they stand on the log.
    Notes(Vec<NoteCopy>),
}

/// Copy of a record of the notes stream, passed between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteCopy {
    /// Offset on the log.
    pub offset: crate::ids::LogOffset,
    /// Payload as it stands there.
    pub payload: Bytes,
}
