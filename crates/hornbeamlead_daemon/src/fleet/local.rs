//! Agent's local listener: the worker of the host announces itself here.

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
use hornbeamlead_jobs::keeper::SupervisorEvent;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, StatusCode, Uri};
use slog::{Logger, warn};
use std::pin::Pin;
use std::sync::Arc;

/// Largest announcement, in bytes; the platform's longest is 4 MiB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What the local handlers share.
pub(super) struct LocalDesk {
    pub(super) inbox: RingSender<AgentInput>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
}

/// Handles one request of the worker.
pub(super) fn handle_local(desk: Arc<LocalDesk>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let status = match desk.take(&mut state).await {
            Ok(()) => StatusCode::OK,
            Err(status) => status,
        };
        let body = Bytes::from_static(b"{}");
        Ok((state, plain(status, body)))
    }
    .boxed()
}

impl LocalDesk {
    async fn take(&self, state: &mut State) -> Result<(), StatusCode> {
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
        self.inbox.offer(AgentInput::Keeper(event)).map_err(|_| {
            self.metrics.count("ring_full");
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}
