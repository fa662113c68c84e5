//! HTTP handler for the heartbeats and deregistrations of the worker on the agent's host.

use super::agent::AgentInput;
use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::ring::RingSender;
use crate::web::{ConnectionTable, RequestError, RequestGuard, plain, read_body};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_adapter::{AdapterError, InstancePath, decode_heartbeat, parse_instance_path};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::supervisor::SupervisorEvent;
use hyper::{Method, StatusCode, Uri};
use slog::{Logger, warn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum heartbeat body, in bytes; the platform's longest is 4 MiB.
pub(super) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Minimum interval between lines on unreadable heartbeats; others can be sent at any rate.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum length of a worker's id in these lines, in characters.
const MAX_LOGGED_ID: usize = 64;

/// State shared by the handlers of the local listener.
pub(super) struct LocalContext {
    pub(super) inbox: RingSender<AgentInput>,
    pub(super) metrics: FleetMetrics,
    pub(super) table: Arc<ConnectionTable>,
    pub(super) log: Logger,
    /// Earliest time of the next line on an unreadable heartbeat, in microseconds.
    pub(super) next_line_at: AtomicU64,
}

pub(super) fn handle_local(context: Arc<LocalContext>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let guard = context.table.begin_call(&state);
        let status = match context.handle_request(&mut state, &guard).await {
            Ok(()) => StatusCode::OK,
            Err(status) => status,
        };
        let body = Bytes::from_static(b"{}");
        Ok((state, plain(status, body)))
    }
    .boxed()
}

impl LocalContext {
    async fn handle_request(
        &self,
        state: &mut State,
        guard: &RequestGuard,
    ) -> Result<(), StatusCode> {
        let path = parse_instance_path(Uri::borrow_from(state).path());
        let path = path.ok_or(StatusCode::NOT_FOUND)?;
        if *Method::borrow_from(state) != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let event = match path {
            InstancePath::Deregister(id) => SupervisorEvent::Left { id },
            InstancePath::Heartbeat(id) => {
                let deadline = Instant::now() + guard.table().limits().body_timeout;
                let body = read_body(guard, Body::take_from(state), deadline).await;
                let body = body.map_err(|error| match error {
                    RequestError::NoMemory | RequestError::Busy => StatusCode::SERVICE_UNAVAILABLE,
                    RequestError::TimedOut => StatusCode::REQUEST_TIMEOUT,
                    RequestError::Cut | RequestError::TooLong => StatusCode::BAD_REQUEST,
                })?;
                let announcement = decode_heartbeat(&id, &body.bytes).map_err(|error| {
                    self.note_unreadable(&id, &error);
                    StatusCode::BAD_REQUEST
                })?;
                SupervisorEvent::Announced(announcement)
            }
        };
        self.inbox
            .offer(AgentInput::Supervisor(event))
            .map_err(|_| {
                self.metrics.count("ring_full");
                StatusCode::SERVICE_UNAVAILABLE
            })
    }

    /// Counts an unreadable heartbeat, and logs it unless another was logged a moment ago.
    fn note_unreadable(&self, id: &str, error: &AdapterError) {
        self.metrics.count("heartbeat_unreadable");
        let now = BootClock.mono();
        let due = |at: u64| (now >= MonoTime(at)).then(|| now.plus(LOG_INTERVAL).0);
        let relaxed = Ordering::Relaxed;
        if self
            .next_line_at
            .fetch_update(relaxed, relaxed, due)
            .is_ok()
        {
            let id: String = id.chars().take(MAX_LOGGED_ID).collect();
            warn!(self.log, ""; "event" => "heartbeat_unreadable", "id" => id,
                "cause" => error.to_string());
        }
    }
}
