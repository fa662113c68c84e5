//! HTTP handler for callers: reads the complete request, hands it to the event loop and waits for
//! the reply.

use super::entry::{EntryInput, PendingRequest, WaitingCaller};
use super::metrics::FleetMetrics;
use crate::budget::{ByteLease, ClientShare};
use crate::clock::BootClock;
use crate::ring::RingSender;
use crate::web::{
    ConnectionLimits, ConnectionTable, RequestError, RequestGuard, end_connection, plain, read_body,
};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_adapter::{deadline_header, decode_job, encode_reply};
use hornbeamlead_jobs::config::CallerLimits;
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, CallerRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum timeout of a request, also if its deadline header allows more.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry-After, in seconds, of a request that is refused because the process has no room for it.
const BUSY_RETRY_AFTER_S: u32 = 1;

/// Copies of a job until its reply: the decoded job, its record, and the call that stores it.
const JOB_COPIES: usize = 3;

/// Maximum of `maxHeaderBytes`; with longer heads, the memory for connections allows few of them.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Time by which a limit of the configuration is exceeded before a connection is closed, so that a
/// client that keeps to the limit itself is not met by it.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// Part of the memory for requests, as a divisor, that one body may take.
const BODY_SHARE: usize = 8;

/// Returns the limits of the callers' listener under a configuration, within those of the machine.
pub(super) fn callers_limits(share: ClientShare, limits: CallerLimits) -> ConnectionLimits {
    let defaults = ConnectionLimits::wide(share);
    let bytes = |limit: Option<u32>, default: usize| limit.map_or(default, |limit| limit as usize);
    let span =
        |limit: Option<Duration>, default| limit.map_or(default, |span| span + TIMEOUT_SLACK);
    let max_head_bytes = bytes(limits.max_head_bytes, defaults.max_head_bytes);
    let max_head_bytes = max_head_bytes.min(MAX_HEAD_BYTES);
    ConnectionLimits {
        max_connections: share.connections(max_head_bytes),
        max_head_bytes,
        max_body_bytes: bytes(limits.max_body_bytes, defaults.max_body_bytes)
            .min(share.held_bytes / BODY_SHARE),
        head_timeout: span(limits.head_timeout, defaults.head_timeout),
        idle_timeout: span(limits.idle_timeout, defaults.idle_timeout),
        ..defaults
    }
}

/// State shared by the handlers of all callers.
pub(super) struct CallerContext {
    pub(super) inbox: RingSender<EntryInput>,
    pub(super) table: Arc<ConnectionTable>,
    pub(super) metrics: FleetMetrics,
    pub(super) last_ticket: AtomicU64,
}

pub(super) fn handle_call(context: Arc<CallerContext>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let guard = context.table.begin_call(&state);
        let is_submission = *Method::borrow_from(&state) == Method::POST;
        let started = BootClock.mono();
        let reply = context.reply(&mut state, &guard).await;
        context
            .metrics
            .observe_call("caller_request", BootClock.mono().since(started));
        let mut response = match &reply {
            Ok(reply) => encode_response(reply),
            Err(error) => refuse_request(*error, is_submission),
        };
        if context.table.is_stopping() || reply.is_err() {
            end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl CallerContext {
    async fn reply(
        &self,
        state: &mut State,
        guard: &RequestGuard,
    ) -> Result<CallerReply, RequestError> {
        let received = BootClock.mono();
        let method = Method::borrow_from(state).clone();
        let uri = Uri::take_from(state);
        let headers = HeaderMap::take_from(state);
        let timeout = deadline_header(&headers).map(|timeout| timeout.min(MAX_TIMEOUT));
        let Some(host) = request_host(&headers, &uri) else {
            return Ok(CallerReply::Invalid("no host is named"));
        };
        let path: Box<str> = uri.path().into();
        // Both keep the buffer of the head, and the body is still to come.
        drop((headers, uri));
        let mut lease = ByteLease::empty(guard.table().budget());
        let operation = match method {
            Method::GET => CallerOperation::Read,
            Method::DELETE => CallerOperation::Cancel,
            Method::POST => {
                let longest = guard.table().limits().body_timeout;
                let deadline = Instant::now() + timeout.unwrap_or(longest).min(longest);
                let body = read_body(guard, Body::take_from(state), deadline).await?;
                lease = body.lease;
                CallerOperation::Submit(decode_job(&body.bytes).map_err(|_| "the body is no job"))
            }
            _ => return Ok(CallerReply::Invalid("no such method")),
        };
        let held_bytes = host.len() + path.len() + operation_bytes(&operation);
        guard.grow_lease(&mut lease, held_bytes).await?;
        guard.begin_handling()?;
        // Without a deadline of the caller's own, the time to send the body is not counted.
        let deadline = match timeout {
            Some(timeout) => received.plus(timeout),
            None => BootClock.mono().plus(DEFAULT_TIMEOUT),
        };
        let request = CallerRequest {
            ticket: self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1,
            host,
            path,
            operation,
            deadline,
        };
        Ok(self.submit(request, lease).await)
    }

    /// Hands a request to the event loop and waits for the reply.
    async fn submit(&self, request: CallerRequest, lease: ByteLease) -> CallerReply {
        let is_submission = matches!(request.operation, CallerOperation::Submit(_));
        let (reply_sender, receiver) = oneshot::channel();
        let waiting = WaitingCaller {
            reply_sender,
            _lease: lease,
        };
        let pending = PendingRequest { request, waiting };
        match self.inbox.offer(EntryInput::Request(Box::new(pending))) {
            // The sender is dropped unused only if the event loop ends first, at the stop deadline.
            Ok(()) => receiver.await.unwrap_or(CallerReply::Unknown),
            Err(_) => {
                self.metrics.count("ring_full");
                match is_submission {
                    true => CallerReply::Unknown,
                    false => refused("busy"),
                }
            }
        }
    }
}

/// Returns the memory that a request takes until its reply, besides its host and path.
fn operation_bytes(operation: &CallerOperation) -> usize {
    match operation {
        CallerOperation::Submit(Ok(job)) => JOB_COPIES * job.held_bytes(),
        _ => 0,
    }
}

/// Returns the host of the Host header or else of the URI, without the port.
fn request_host(headers: &HeaderMap, uri: &Uri) -> Option<Box<str>> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| uri.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.into())
}

/// Builds the response to a request that was not received or is not handled.
///
/// Of a job that is not handled it is not said that it never runs: the caller may have come before, and
/// whether its job was stored then is not known here.
fn refuse_request(error: RequestError, is_submission: bool) -> Response<Body> {
    match error {
        RequestError::TooLong | RequestError::Cut => {
            encode_response(&CallerReply::Invalid("the body is cut or too long"))
        }
        RequestError::NoMemory | RequestError::Busy if is_submission => {
            encode_response(&CallerReply::Unknown)
        }
        RequestError::NoMemory => encode_response(&refused("memory_full")),
        RequestError::Busy => encode_response(&refused("busy")),
        RequestError::TimedOut => json_response(
            StatusCode::REQUEST_TIMEOUT,
            Bytes::from_static(br#"{"error":"the body was not complete in time"}"#),
        ),
    }
}

fn refused(reason: &'static str) -> CallerReply {
    CallerReply::Refused {
        reason,
        retry_after_s: BUSY_RETRY_AFTER_S,
    }
}

fn encode_response(reply: &CallerReply) -> Response<Body> {
    let (status, body, retry_after) = encode_reply(reply);
    let mut response = json_response(status, body);
    if let Some(seconds) = retry_after {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = plain(status, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
