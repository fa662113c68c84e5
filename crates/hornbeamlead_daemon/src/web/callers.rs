//! Callers' listener: reads a complete request, waits for its answer and returns it.

mod parse;

use super::table::{ConnectionTable, RequestGuard};
use super::{headers, reply};
use crate::clock::HostClock;
use crate::counters::ProcessCounters;
use crate::decision::{CallerCall, EntryInput, InboxItem};
use crate::ring::{OfferRefusal, RingSender};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::CallerAnswer;
use hornbeamlead_core::event::EntryEvent;
use hornbeamlead_core::ids::{CallerTicket, HostId, Incarnation};
use hornbeamlead_core::message::request::EndpointAnswer;
use hyper::{Method, Response, StatusCode, Uri};
use parse::{CallRefusal, ParsedCall};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Path of the readiness probe of the platform's balancer.
const HEALTH_PATH: &str = "/_health";

/// `Retry-After` value for callers that found the process overloaded or stopping.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the callers' handlers.
pub(crate) struct CallerContext {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<EntryInput>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) clock: HostClock,
    pub(crate) table: Arc<ConnectionTable>,
    /// Last ticket issued.
    pub(crate) last_ticket: AtomicU64,
}

/// Handles one request on the callers' listener.
pub(crate) fn call_handler(context: Arc<CallerContext>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let guard = context.table.begin_call(&state);
        let mut response = context.respond(&mut state, &guard).await;
        if context.table.is_stopping() {
            reply::end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl CallerContext {
    async fn respond(&self, state: &mut State, guard: &RequestGuard) -> Response<Body> {
        if Uri::borrow_from(state).path() == HEALTH_PATH {
            return self.health();
        }
        let began = Instant::now();
        let ticket = CallerTicket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let request_name = format!("{}/{}/{}", self.host, self.incarnation, ticket);
        let head_request = *Method::borrow_from(state) == Method::HEAD;
        let answer = match parse::read_call(state, guard, &self.clock).await {
            Ok(call) => self.submit(ticket, call).await,
            Err(refusal) => return self.refuse_call(&refusal, &request_name),
        };
        self.counters.request(began.elapsed());
        build_response(answer, head_request, &request_name)
    }

    fn health(&self) -> Response<Body> {
        match self.table.is_stopping() {
            false => reply::plain(StatusCode::OK, Bytes::from_static(b"ready\n")),
            true => reply::plain(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"stopping\n"),
            ),
        }
    }

    async fn submit(&self, ticket: CallerTicket, call: ParsedCall) -> CallerAnswer {
        let (sender, receiver) = oneshot::channel();
        // Held until the answer, as the decision thread keeps the request until then.
        let _lease = call.lease;
        let input = EntryInput::Call(CallerCall {
            ticket,
            request: call.request,
            deadline: call.deadline,
            answer: sender,
        });
        if let Err(refusal) = self.inbox.offer(InboxItem::Input(input)) {
            return self.refuse_offer(&refusal);
        }
        let mut caller = CallerGuard {
            context: self,
            ticket,
            answered: false,
        };
        let answer = receiver.await;
        caller.answered = true;
        // The decision thread exits only when no request is in progress, so this is a fallback.
        answer.unwrap_or(CallerAnswer::Unknown {
            reason: RefusalReason::Leaving,
        })
    }

    fn refuse_offer<T>(&self, refusal: &OfferRefusal<T>) -> CallerAnswer {
        let reason = refusal.reason();
        self.counters.refusal(reason);
        CallerAnswer::NotRun {
            reason,
            retry_after: RETRY_AFTER,
        }
    }

    fn refuse_call(&self, refusal: &CallRefusal, request_name: &str) -> Response<Body> {
        if !refusal.is_counted {
            self.counters.refusal(refusal.reason);
        }
        let mut response = reply::not_run(refusal.reason, RETRY_AFTER, request_name);
        if refusal.ends_connection {
            reply::end_connection(&mut response);
        }
        response
    }
}

/// Notifies the decision thread when it is dropped before the answer, because the caller
/// disconnected.
struct CallerGuard<'a> {
    context: &'a CallerContext,
    ticket: CallerTicket,
    answered: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let ticket = self.ticket;
        let input = EntryInput::Event(EntryEvent::CallerDisconnected { ticket });
        if self.context.inbox.deliver(InboxItem::Input(input)).is_err() {
            self.context.counters.refusal(RefusalReason::RingFull);
        }
    }
}

fn build_response(answer: CallerAnswer, head_request: bool, request_name: &str) -> Response<Body> {
    match answer {
        CallerAnswer::Answered(answer) => forward_answer(&answer, head_request),
        CallerAnswer::NotRun {
            reason,
            retry_after,
        } => reply::not_run(reason, retry_after, request_name),
        CallerAnswer::Unknown { reason } => reply::unknown(reason, request_name),
    }
}

/// Builds the response from the endpoint's answer.
fn forward_answer(answer: &EndpointAnswer, head_request: bool) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = reply::plain(status, answer.body.clone());
    headers::add_answer_fields(&answer.headers, head_request, response.headers_mut());
    response
}
