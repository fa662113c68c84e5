//! Callers' listener: reads a request whole, waits for its answer.

use super::entry::{EntryInput, TicketedRequest};
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

/// Largest body of a request, in bytes, as the platform's configurations limit it.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Time that a caller waits who does not say how long.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Longest time that a request may take; also one whose caller would wait longer.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Seconds after which a caller may come back that found the process busy.
const BUSY_RETRY_S: u32 = 1;

/// What the callers' handlers share.
pub(super) struct CallerDesk {
    pub(super) inbox: RingSender<EntryInput>,
    pub(super) table: Arc<ConnectionTable>,
    pub(super) metrics: FleetMetrics,
    pub(super) last_ticket: AtomicU64,
}

/// Handles one request of a caller.
pub(super) fn handle_call(desk: Arc<CallerDesk>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let guard = client_addr(&state).map(|peer| desk.table.begin_request(peer));
        let began = BootClock.mono();
        let reply = desk.reply(&mut state).await;
        desk.metrics
            .time("caller_request", BootClock.mono().since(began));
        let mut response = word_reply(&reply);
        if desk.table.is_stopping() {
            end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl CallerDesk {
    async fn reply(&self, state: &mut State) -> CallerReply {
        let now = BootClock.mono();
        let method = Method::borrow_from(state).clone();
        let path: Box<str> = Uri::borrow_from(state).path().into();
        let headers = HeaderMap::borrow_from(state);
        let wait = deadline_header(headers)
            .unwrap_or(DEFAULT_WAIT)
            .min(MAX_WAIT);
        let Some(host) = host_of(headers, Uri::borrow_from(state)) else {
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
            deadline: now.plus(wait),
        };
        let (sender, receiver) = oneshot::channel();
        let input = EntryInput::Request(Box::new(TicketedRequest {
            request,
            answer: sender,
        }));
        match self.inbox.offer(input) {
            // The decisions end only when nothing is in progress; this is the last way out.
            Ok(()) => receiver.await.unwrap_or(CallerReply::Unknown),
            Err(_) => {
                self.metrics.count("ring_full");
                CallerReply::Refused {
                    reason: "busy",
                    retry_after_s: BUSY_RETRY_S,
                }
            }
        }
    }
}

/// Returns the host that a caller names, without its port.
fn host_of(headers: &HeaderMap, uri: &Uri) -> Option<Box<str>> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| uri.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.into())
}

fn word_reply(reply: &CallerReply) -> Response<Body> {
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
