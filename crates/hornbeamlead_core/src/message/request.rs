//! Messages on the TCP links between entries and agents, and between agents.

use crate::clock::MonoTime;
use crate::counter::RefusalReason;
use crate::ids::{DataCentreName, HostId, IdempotencyKey, Incarnation, RequestId, ServiceName};
use crate::message::control::CellView;
use bytes::Bytes;
use std::time::Duration;

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestSafety {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: Box<str>,
    /// Value; the entry refuses values that are not text.
    pub value: Box<str>,
}

/// Request of a caller to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Target service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query after the service segment, with the leading slash.
    pub path: Box<str>,
    /// Forwarded headers, without hop-by-hop headers and those of this system.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub safety: RequestSafety,
    /// Caller's idempotency key.
    pub key: Option<IdempotencyKey>,
}

/// Request forwarded by an entry or an arbiter to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Id of this attempt; replies carry the same id.
    pub id: RequestId,
    /// Request of the caller.
    pub request: CallerRequest,
    /// Deadline of the caller, in the clock of the process that holds this value.
    ///
    /// On the wire it is the remaining time, which the receiver converts back to a deadline.
    pub deadline: MonoTime,
    /// Set if an arbiter has recorded the key and forwards the request to the agent that runs it.
    pub granted: Option<KeyGrant>,
}

/// Exclusive permission of an arbiter for one agent to run a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Arbiter that recorded the key.
    pub arbiter: HostId,
    /// View of the cell under which the key was granted.
    pub view: u64,
}

/// Complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint responded.
    Answered(EndpointAnswer),
    /// The request did not run, and its id is fenced so that it never will.
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

/// Load of a worker; piggybacked on each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Number of requests that hold a slot.
    pub in_flight: u16,
    /// Number of requests that wait for a slot.
    pub queued: u16,
    /// Number of slots that requests may use at present, including those in use.
    pub slots: u16,
    /// Typical service time of the endpoint, in microseconds.
    pub service_time_us: u32,
    /// Whether the agent refuses new requests.
    pub leaving: bool,
}

/// Reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReply {
    /// Id of the attempt replied to.
    pub id: RequestId,
    /// Outcome of the attempt.
    pub outcome: RequestOutcome,
    /// Load of the worker.
    pub load: LoadSample,
}

/// Query for the state of a key on a host; it also fences the key there for older views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuery {
    /// Number repeated in the reply.
    pub query: u64,
    /// Arbiter that sends the query.
    pub arbiter: HostId,
    /// Incarnation of the arbiter.
    pub incarnation: Incarnation,
    /// Service of the key.
    pub service: ServiceName,
    /// Key to look up.
    pub key: IdempotencyKey,
    /// View of the arbiter; the host refuses grants of older views from now on.
    pub view: u64,
}

/// State of an idempotency key on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key was never seen on the host and is now fenced.
    Absent,
    /// The request is running.
    Running,
    /// The request ran and got this response.
    Answered(EndpointAnswer),
    /// The request was started; its outcome is unknown.
    Unknown,
}

/// Reply to a [`KeyQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyAnswer {
    /// Number of the query.
    pub query: u64,
    /// Host that replies.
    pub host: HostId,
    /// Incarnation of the replying agent.
    pub incarnation: Incarnation,
    /// State of the key.
    pub key_state: KeyState,
    /// Duration for which the host has followed the views of its cell; `Duration::MAX` if it has
    /// followed them from the first one on.
    pub observed_for: Duration,
    /// Earlier views of the cell that are still relevant.
    pub past: Vec<CellView>,
    /// Sets of data centres in service: the current one and earlier ones that are still relevant.
    pub homes: Vec<Vec<DataCentreName>>,
}

/// Message on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkMessage {
    /// Forwards a request.
    Request(ForwardedRequest),
    /// Replies to a request.
    Reply(RequestReply),
    /// Drops and fences a request that has not reached the endpoint.
    Cancel(RequestId),
    /// Queries the state of a key.
    KeyQuery(KeyQuery),
    /// Replies to a key query.
    KeyAnswer(KeyAnswer),
    /// Requests the notes after a revision.
    NotesRequest(crate::ids::Revision),
    /// Forwards records of the notes stream, oldest first.
    Notes(Vec<NoteCopy>),
}

/// Encoded record of the notes stream, forwarded between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteCopy {
    /// Offset on the log.
    pub offset: crate::ids::LogOffset,
    /// Payload as stored on the log.
    pub payload: Bytes,
}
