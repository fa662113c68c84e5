//! HTTP handler for the heartbeats and deregistrations of the worker on the agent's host.

use super::agent::AgentInput;
use super::metrics::FleetMetrics;
use crate::ring::RingSender;
use crate::web::plain;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_adapter::{InstancePath, decode_heartbeat, parse_instance_path};
use hornbeamlead_jobs::supervisor::SupervisorEvent;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, StatusCode, Uri};
use slog::{Logger, warn};
use std::pin::Pin;
use std::sync::Arc;

/// Maximum heartbeat body, in bytes; the platform's longest is 4 MiB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// State shared by the handlers of the local listener.
pub(super) struct LocalContext {
    pub(super) inbox: RingSender<AgentInput>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
}

pub(super) fn handle_local(context: Arc<LocalContext>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let status = match context.handle_request(&mut state).await {
            Ok(()) => StatusCode::OK,
            Err(status) => status,
        };
        let body = Bytes::from_static(b"{}");
        Ok((state, plain(status, body)))
    }
    .boxed()
}

impl LocalContext {
    async fn handle_request(&self, state: &mut State) -> Result<(), StatusCode> {
        let path = parse_instance_path(Uri::borrow_from(state).path());
        let path = path.ok_or(StatusCode::NOT_FOUND)?;
        if *Method::borrow_from(state) != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = Limited::new(Body::take_from(state), MAX_BODY_BYTES)
            .collect()
            .await;
        let event = match path {
            InstancePath::Deregister(id) => SupervisorEvent::Left { id },
            InstancePath::Heartbeat(id) => {
                let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
                let announcement = decode_heartbeat(&id, &body).map_err(|error| {
                    self.metrics.count("heartbeat_unreadable");
                    warn!(self.log, ""; "event" => "heartbeat_unreadable", "id" => &*id,
                        "cause" => error.to_string());
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
}
