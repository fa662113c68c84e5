//! HTTP interface of the endpoint, for requests.
//!
//! The answer repeats method, path and body, so that a caller can tell its own. The query may ask
//! for more: `work_us` sets the time taken, `status` the status, `bytes` the length of the answer.

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

/// Longest answer that a query may ask for, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Run of a request that holds a slot.
struct SlotRun {
    state: SharedState,
    index: usize,
    began_us: u64,
}

impl Drop for SlotRun {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        let ended_us = state.clock.now_us();
        state.in_flight -= 1;
        if let Some(run) = state.runs.runs.get_mut(self.index) {
            run.ended_us = Some(ended_us);
        }
        let latency_us = ended_us.saturating_sub(self.began_us);
        state.usage.push_latency(ended_us, latency_us);
    }
}

/// Serves requests without an end.
pub(crate) async fn run(listener: TcpListener, state: SharedState) -> io::Result<()> {
    let cap = ConnectionLimit::new(usize::from(lock(&state).settings.connections));
    let refused = Arc::clone(&cap.refused);
    serve(listener, cap, move |ask| {
        let state = state.clone();
        let exceeded = refused.load(Ordering::SeqCst) as u64;
        async move {
            lock(&state).runs.connections_exceeded = exceeded;
            answer(state, ask).await
        }
    })
    .await
}

async fn answer(state: SharedState, ask: HttpRequest) -> Option<HttpReply> {
    if let Some(reply) = answer_standin(&state, &ask) {
        return Some(reply);
    }
    wait_unfrozen(&state).await;
    let fault = draw_fault(&mut lock(&state));
    let Some(slot) = take_slot(&state, &ask) else {
        return Some(empty_reply(StatusCode::SERVICE_UNAVAILABLE));
    };
    let span = draw_service_time(&mut lock(&state), &ask);
    tokio::time::sleep(span).await;
    wait_unfrozen(&state).await;
    if fault == ServiceFault::Silent {
        std::future::pending::<()>().await;
    }
    drop(slot);
    match fault {
        ServiceFault::None => Some(echo(&ask)),
        ServiceFault::Failing => Some(empty_reply(StatusCode::INTERNAL_SERVER_ERROR)),
        ServiceFault::Disconnecting | ServiceFault::Silent => None,
        ServiceFault::Truncating => Some(cut_off(echo(&ask))),
    }
}

fn draw_fault(state: &mut WorkerState) -> ServiceFault {
    let hit = state.random.random_range(0..100) < state.control.service.fault_percent;
    match hit {
        true => state.control.service.fault,
        false => ServiceFault::None,
    }
}

fn take_slot(shared: &SharedState, ask: &HttpRequest) -> Option<SlotRun> {
    let mut state = lock(shared);
    if state.in_flight >= state.settings.slots {
        state.runs.slots_exceeded += 1;
        return None;
    }
    state.in_flight += 1;
    state.runs.peak_in_flight = state.runs.peak_in_flight.max(state.in_flight);
    let began_us = state.clock.now_us();
    state.runs.runs.push(record_run(ask, began_us));
    Some(SlotRun {
        state: Arc::clone(shared),
        index: state.runs.runs.len() - 1,
        began_us,
    })
}

fn record_run(ask: &HttpRequest, at_us: u64) -> RequestRun {
    let header = |name: &str| {
        let value = ask.headers.get(name)?;
        Some(String::from_utf8_lossy(value.as_bytes()).into())
    };
    RequestRun {
        request: header("hornbeamlead-request").unwrap_or_default(),
        method: ask.method.as_str().into(),
        path: path_and_query(ask).into(),
        key: header("idempotency-key"),
        body: String::from_utf8_lossy(&ask.body).into(),
        own_headers: own_headers(ask),
        at_us,
        ended_us: None,
    }
}

fn own_headers(ask: &HttpRequest) -> Vec<Box<str>> {
    let own = ask
        .headers
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("hornbeamlead-"));
    own.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        format!("{name}: {value}").into()
    })
    .collect()
}

fn draw_service_time(state: &mut WorkerState, ask: &HttpRequest) -> Duration {
    let service = state.control.service.clone();
    let time_us = ask.query_number("work_us").unwrap_or(service.time_us);
    let deviation_us = time_us * service.jitter_percent.min(100) / 100;
    let least_us = time_us - deviation_us;
    let jittered_us = state
        .random
        .random_range(least_us..=least_us + 2 * deviation_us);
    Duration::from_micros(jittered_us * state.service_percent() / 100)
}

fn echo(ask: &HttpRequest) -> HttpReply {
    let mut text = format!("{} {}\n", ask.method, path_and_query(ask)).into_bytes();
    text.extend_from_slice(&ask.body);
    if let Some(length) = ask.query_number("bytes") {
        let length = usize::try_from(length).unwrap_or(MAX_ANSWER_BYTES);
        text.resize(length.min(MAX_ANSWER_BYTES), b'.');
    }
    let status = ask
        .query_number("status")
        .and_then(|it| u16::try_from(it).ok());
    let status = status.and_then(|it| StatusCode::from_u16(it).ok());
    let mut reply = HttpReply::new(ReplyBody::whole(Bytes::from(text)));
    *reply.status_mut() = status.unwrap_or(StatusCode::OK);
    reply
}

/// Promises a longer body than is sent, so that the connection ends in its middle.
fn cut_off(mut reply: HttpReply) -> HttpReply {
    reply.body_mut().break_off();
    reply
}

fn path_and_query(ask: &HttpRequest) -> String {
    match &*ask.query {
        "" => ask.path.clone().into(),
        query => format!("{}?{query}", ask.path),
    }
}
