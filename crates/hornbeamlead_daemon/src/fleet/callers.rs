//! HTTP handler for callers: reads the complete request, hands it to the event loop and waits for
//! the reply.

use super::entry::{EntryInput, PendingRequest};
use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use crate::web::{ConnectionTable, end_connection, plain};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use hornbeamlead_adapter::{deadline_header, decode_job, encode_reply};
use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::{CallerOperation, CallerRequest};
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum request body, in bytes; the platform's configurations set the same limit.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum timeout of a request, also if its deadline header allows more.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry-After, in seconds, of a request that is refused because the ring is full.
const BUSY_RETRY_AFTER_S: u32 = 1;

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
        let guard = client_addr(&state).map(|peer| context.table.begin_request(peer));
        let started = BootClock.mono();
        let reply = context.reply(&mut state).await;
        context
            .metrics
            .observe_call("caller_request", BootClock.mono().since(started));
        let mut response = encode_response(&reply);
        if context.table.is_stopping() {
            end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl CallerContext {
    async fn reply(&self, state: &mut State) -> CallerReply {
        let now = BootClock.mono();
        let method = Method::borrow_from(state).clone();
        let path: Box<str> = Uri::borrow_from(state).path().into();
        let headers = HeaderMap::borrow_from(state);
        let timeout = deadline_header(headers)
            .unwrap_or(DEFAULT_TIMEOUT)
            .min(MAX_TIMEOUT);
        let Some(host) = request_host(headers, Uri::borrow_from(state)) else {
            return CallerReply::Invalid("no host is named");
        };
        let body = Limited::new(Body::take_from(state), MAX_BODY_BYTES)
            .collect()
            .await;
        let operation = match (method, body) {
            (Method::POST, Ok(body)) => CallerOperation::Submit(
                decode_job(&body.to_bytes()).map_err(|_| "the body is no job"),
            ),
            (Method::GET, _) => CallerOperation::Read,
            (Method::DELETE, _) => CallerOperation::Cancel,
            (Method::POST, Err(_)) => return CallerReply::Invalid("the body is cut or too long"),
            _ => return CallerReply::Invalid("no such method"),
        };
        let request = CallerRequest {
            ticket: self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1,
            host,
            path,
            operation,
            deadline: now.plus(timeout),
        };
        let (sender, receiver) = oneshot::channel();
        let input = EntryInput::Request(Box::new(PendingRequest {
            request,
            reply_sender: sender,
        }));
        match self.inbox.offer(input) {
            // The sender is dropped unused only if the event loop ends first, at the stop deadline.
            Ok(()) => receiver.await.unwrap_or(CallerReply::Unknown),
            Err(_) => {
                self.metrics.count("ring_full");
                CallerReply::Refused {
                    reason: "busy",
                    retry_after_s: BUSY_RETRY_AFTER_S,
                }
            }
        }
    }
}

/// Returns the host of the Host header or else of the URI, without the port.
fn request_host(headers: &HeaderMap, uri: &Uri) -> Option<Box<str>> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| uri.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.into())
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
