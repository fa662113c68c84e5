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

/// Most connections at a time.
const MAX_CONNECTIONS: usize = 256;

/// Time between looks whether a freeze is over.
const FREEZE_STEP: Duration = Duration::from_millis(10);

/// Serves calls without an end.
pub(crate) async fn run(listener: TcpListener, state: SharedState) -> io::Result<()> {
    let cap = ConnectionLimit::new(MAX_CONNECTIONS);
    serve(listener, cap, move |ask| answer(state.clone(), ask)).await
}

async fn answer(state: SharedState, ask: HttpRequest) -> Option<HttpReply> {
    if let Some(reply) = answer_standin(&state, &ask) {
        return Some(reply);
    }
    wait_unfrozen(&state).await;
    let mut reply = answer_call(&state, &ask);
    let clock = HeaderValue::from(lock(&state).clock.now_us());
    reply.headers_mut().insert(WORKER_CLOCK_HEADER, clock);
    Some(reply)
}

/// Answers what tests ask of the stand-in itself; `None` for all else.
pub(crate) fn answer_standin(state: &SharedState, ask: &HttpRequest) -> Option<HttpReply> {
    let mut state = lock(state);
    match &*ask.path {
        "/_standin/history" => Some(json_reply(StatusCode::OK, &state.read_history())),
        "/_standin/runs" => Some(json_reply(StatusCode::OK, &state.runs)),
        "/_standin/control" => Some(match patch_settings(&state.control, &ask.body) {
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
        tokio::time::sleep(FREEZE_STEP).await;
    }
}

fn answer_call(state: &SharedState, ask: &HttpRequest) -> HttpReply {
    let mut state = lock(state);
    let from_us = counted_from(ask);
    match (&ask.method, &*ask.path) {
        (&Method::GET, "/tasks") => json_reply(StatusCode::OK, &state.report()),
        (&Method::POST, "/tasks/start") => obey(ask, |call| state.start(call, from_us)),
        (&Method::POST, "/tasks/renew") => obey(ask, |call| {
            state.renew(&call, from_us);
            Ok(())
        }),
        (&Method::POST, "/tasks/checkpoint") => obey(ask, |call| state.checkpoint(&call)),
        (&Method::POST, "/tasks/throttle") => obey(ask, |call| state.throttle(&call)),
        (&Method::POST, "/tasks/stop") => obey(ask, |call| state.stop(&call)),
        (&Method::POST, "/tasks/forget") => obey(ask, |call| state.forget(&call)),
        _ => empty_reply(StatusCode::NOT_FOUND),
    }
}

/// Returns the reading of the clock from which the spans of a call are counted.
///
/// Without the header that is the moment in which the call is read.
fn counted_from(ask: &HttpRequest) -> u64 {
    let value = ask.headers.get(COUNTED_FROM_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX)
}

fn obey<T: DeserializeOwned>(
    ask: &HttpRequest,
    act: impl FnOnce(T) -> Result<(), Refusal>,
) -> HttpReply {
    let call = match serde_json::from_slice(&ask.body) {
        Ok(call) => call,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match act(call) {
        Ok(()) => empty_reply(StatusCode::NO_CONTENT),
        Err(refusal) => {
            let refused = refusal.into();
            json_reply(StatusCode::CONFLICT, &RefusedAnswer { refused })
        }
    }
}
