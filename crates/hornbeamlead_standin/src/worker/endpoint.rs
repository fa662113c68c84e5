//! HTTP interface of the endpoint, for requests.
//!
//! The response repeats method, path and body, so that a caller can recognise its own. Query
//! parameters change it: `work_us` sets the service time, `status` the status and `bytes` the
//! length of the body.

use super::control::ServiceFault;
use super::history::RequestRun;
use super::server::{answer_standin, wait_unfrozen};
use super::state::WorkerState;
use super::{SharedState, lock};
use crate::body::ReplyBody;
use crate::http::{ConnectionLimit, HttpReply, HttpRequest, empty_reply, serve};
use bytes::Bytes;
use hyper::StatusCode;
use rand::Rng;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum length of a response body that a query can request, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Slot held by a run; dropping it ends the run.
struct SlotGuard {
    state: SharedState,
    index: usize,
    started_us: u64,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        let ended_us = state.clock.now_us();
        state.in_flight -= 1;
        if let Some(run) = state.runs.runs.get_mut(self.index) {
            run.ended_us = Some(ended_us);
        }
        let latency_us = ended_us.saturating_sub(self.started_us);
        state.usage.push_latency(ended_us, latency_us);
    }
}

/// Serves requests forever.
pub(crate) async fn run(listener: TcpListener, state: SharedState) -> io::Result<()> {
    let limit = ConnectionLimit::new(usize::from(lock(&state).settings.connections));
    let refused = Arc::clone(&limit.refused);
    serve(listener, limit, move |request| {
        let state = state.clone();
        let exceeded = refused.load(Ordering::SeqCst) as u64;
        async move {
            lock(&state).runs.connections_exceeded = exceeded;
            answer(state, request).await
        }
    })
    .await
}

async fn answer(state: SharedState, request: HttpRequest) -> Option<HttpReply> {
    if let Some(reply) = answer_standin(&state, &request) {
        return Some(reply);
    }
    wait_unfrozen(&state).await;
    let fault = draw_fault(&mut lock(&state));
    let Some(slot) = take_slot(&state, &request) else {
        return Some(empty_reply(StatusCode::SERVICE_UNAVAILABLE));
    };
    let service_time = draw_service_time(&mut lock(&state), &request);
    tokio::time::sleep(service_time).await;
    wait_unfrozen(&state).await;
    if fault == ServiceFault::Silent {
        std::future::pending::<()>().await;
    }
    drop(slot);
    match fault {
        ServiceFault::None => Some(echo_reply(&request)),
        ServiceFault::Failing => Some(empty_reply(StatusCode::INTERNAL_SERVER_ERROR)),
        ServiceFault::Disconnecting | ServiceFault::Silent => None,
        ServiceFault::Truncating => Some(truncate(echo_reply(&request))),
    }
}

fn draw_fault(state: &mut WorkerState) -> ServiceFault {
    let hit = state.random.random_range(0..100) < state.control.service.fault_percent;
    match hit {
        true => state.control.service.fault,
        false => ServiceFault::None,
    }
}

fn take_slot(shared: &SharedState, request: &HttpRequest) -> Option<SlotGuard> {
    let mut state = lock(shared);
    if state.in_flight >= state.settings.slots {
        state.runs.slots_exceeded += 1;
        return None;
    }
    state.in_flight += 1;
    state.runs.peak_in_flight = state.runs.peak_in_flight.max(state.in_flight);
    let started_us = state.clock.now_us();
    state.runs.runs.push(record_run(request, started_us));
    Some(SlotGuard {
        state: Arc::clone(shared),
        index: state.runs.runs.len() - 1,
        started_us,
    })
}

fn record_run(request: &HttpRequest, at_us: u64) -> RequestRun {
    let header = |name: &str| {
        let value = request.headers.get(name)?;
        Some(String::from_utf8_lossy(value.as_bytes()).into())
    };
    RequestRun {
        request: header("hornbeamlead-request").unwrap_or_default(),
        method: request.method.as_str().into(),
        path: path_and_query(request).into(),
        key: header("idempotency-key"),
        body: String::from_utf8_lossy(&request.body).into(),
        own_headers: own_headers(request),
        at_us,
        ended_us: None,
    }
}

fn own_headers(request: &HttpRequest) -> Vec<Box<str>> {
    let headers = request
        .headers
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("hornbeamlead-"));
    headers
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            format!("{name}: {value}").into()
        })
        .collect()
}

fn draw_service_time(state: &mut WorkerState, request: &HttpRequest) -> Duration {
    let service = state.control.service.clone();
    let time_us = request.query_number("work_us").unwrap_or(service.time_us);
    let deviation_us = time_us * service.jitter_percent.min(100) / 100;
    let min_us = time_us - deviation_us;
    let jittered_us = state
        .random
        .random_range(min_us..=min_us + 2 * deviation_us);
    Duration::from_micros(jittered_us * state.service_time_percent() / 100)
}

fn echo_reply(request: &HttpRequest) -> HttpReply {
    let mut text = format!("{} {}\n", request.method, path_and_query(request)).into_bytes();
    text.extend_from_slice(&request.body);
    if let Some(length) = request.query_number("bytes") {
        let length = usize::try_from(length).unwrap_or(MAX_ANSWER_BYTES);
        text.resize(length.min(MAX_ANSWER_BYTES), b'.');
    }
    let status = request
        .query_number("status")
        .and_then(|it| u16::try_from(it).ok());
    let status = status.and_then(|it| StatusCode::from_u16(it).ok());
    let mut reply = HttpReply::new(ReplyBody::complete(Bytes::from(text)));
    *reply.status_mut() = status.unwrap_or(StatusCode::OK);
    reply
}

/// Makes the connection end within the response body.
fn truncate(mut reply: HttpReply) -> HttpReply {
    reply.body_mut().truncate();
    reply
}

fn path_and_query(request: &HttpRequest) -> String {
    match &*request.query {
        "" => request.path.clone().into(),
        query => format!("{}?{query}", request.path),
    }
}
