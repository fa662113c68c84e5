//! HTTP interface of the worker, for calls about tasks.

use super::state::Refusal;
use super::{SharedState, lock};
use crate::control::patch_settings;
use crate::http::{
    ConnectionLimit, HttpReply, HttpRequest, empty_reply, error_reply, json_reply, serve,
};
use hornbeamlead_platform::worker_wire::{COUNTED_FROM_HEADER, RefusedAnswer, WORKER_CLOCK_HEADER};
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::io;
use std::net::TcpListener;
use std::time::Duration;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 256;

/// Interval between checks for the end of a freeze.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves calls forever.
pub(crate) async fn run(listener: TcpListener, state: SharedState) -> io::Result<()> {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    serve(listener, limit, move |request| {
        answer(state.clone(), request)
    })
    .await
}

async fn answer(state: SharedState, request: HttpRequest) -> Option<HttpReply> {
    if let Some(reply) = answer_standin(&state, &request) {
        return Some(reply);
    }
    wait_unfrozen(&state).await;
    let mut reply = answer_call(&state, &request);
    let clock = HeaderValue::from(lock(&state).clock.now_us());
    reply.headers_mut().insert(WORKER_CLOCK_HEADER, clock);
    Some(reply)
}

/// Answers requests of tests to the stand-in itself; `None` for all other paths.
pub(crate) fn answer_standin(state: &SharedState, request: &HttpRequest) -> Option<HttpReply> {
    let mut state = lock(state);
    match &*request.path {
        "/_standin/history" => Some(json_reply(StatusCode::OK, &state.read_history())),
        "/_standin/runs" => Some(json_reply(StatusCode::OK, &state.runs)),
        "/_standin/control" => Some(match patch_settings(&state.control, &request.body) {
            Ok(control) => {
                state.control = control;
                json_reply(StatusCode::OK, &state.control)
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }),
        _ => None,
    }
}

/// Waits until the worker is not frozen.
pub(crate) async fn wait_unfrozen(state: &SharedState) {
    while lock(state).control.frozen {
        tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
    }
}

fn answer_call(state: &SharedState, request: &HttpRequest) -> HttpReply {
    let mut state = lock(state);
    let from_us = counted_from(request);
    match (&request.method, &*request.path) {
        (&Method::GET, "/tasks") => json_reply(StatusCode::OK, &state.report()),
        (&Method::POST, "/tasks/start") => apply_call(request, |call| state.start(call, from_us)),
        (&Method::POST, "/tasks/renew") => apply_call(request, |call| {
            state.renew(&call, from_us);
            Ok(())
        }),
        (&Method::POST, "/tasks/checkpoint") => apply_call(request, |call| state.checkpoint(&call)),
        (&Method::POST, "/tasks/throttle") => apply_call(request, |call| state.throttle(&call)),
        (&Method::POST, "/tasks/stop") => apply_call(request, |call| state.stop(&call)),
        (&Method::POST, "/tasks/forget") => apply_call(request, |call| state.forget(&call)),
        _ => empty_reply(StatusCode::NOT_FOUND),
    }
}

/// Returns the reading of the worker's clock from which the durations of a call are counted.
///
/// Without the header, returns `u64::MAX`: the worker then counts from the time at which it reads
/// the call.
fn counted_from(request: &HttpRequest) -> u64 {
    let value = request.headers.get(COUNTED_FROM_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX)
}

fn apply_call<T: DeserializeOwned>(
    request: &HttpRequest,
    apply: impl FnOnce(T) -> Result<(), Refusal>,
) -> HttpReply {
    let call = match serde_json::from_slice(&request.body) {
        Ok(call) => call,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match apply(call) {
        Ok(()) => empty_reply(StatusCode::NO_CONTENT),
        Err(refusal) => {
            let refused = refusal.into();
            json_reply(StatusCode::CONFLICT, &RefusedAnswer { refused })
        }
    }
}
