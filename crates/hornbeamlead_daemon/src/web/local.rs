//! Agent's local listener, where the endpoint of the host announces itself.

use super::body::{RequestError, read_body};
use super::reply;
use super::table::{ConnectionTable, RequestGuard};
use crate::counters::ProcessCounters;
use crate::decision::InboxItem;
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce};
use hornbeamlead_platform::announce_wire::AnnounceWire;
use hyper::{Method, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum size of an announcement.
pub(crate) const MAX_ANNOUNCE_BYTES: usize = 64 * 1024;

/// State shared by the local handlers.
pub(crate) struct LocalContext {
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<AgentEvent>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) table: Arc<ConnectionTable>,
}

/// Handles one request on the local listener.
pub(crate) fn local_handler(context: Arc<LocalContext>, state: State) -> Pin<Box<HandlerFuture>> {
    async move {
        let mut state = state;
        let guard = context.table.begin_call(&state);
        let status = match context.handle_announce(&mut state, &guard).await {
            Ok(()) => StatusCode::NO_CONTENT,
            Err(status) => status,
        };
        let mut response = reply::plain(status, Bytes::new());
        if context.table.is_stopping() {
            reply::end_connection(&mut response);
        }
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl LocalContext {
    async fn handle_announce(
        &self,
        state: &mut State,
        guard: &RequestGuard,
    ) -> Result<(), StatusCode> {
        let method = Method::borrow_from(state);
        let path = Uri::borrow_from(state).path();
        match (path, method) {
            ("/announce", &Method::POST) => {}
            ("/announce", _) => return Err(StatusCode::METHOD_NOT_ALLOWED),
            _ => return Err(StatusCode::NOT_FOUND),
        }
        let deadline = Instant::now() + guard.table().limits().body_timeout;
        let body = read_body(guard, Body::take_from(state), deadline).await;
        let body = body.map_err(|error| match error {
            RequestError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        })?;
        let announce = decode_announce(&body.bytes).ok_or_else(|| {
            self.counters.refusal(RefusalReason::BadRequest);
            StatusCode::BAD_REQUEST
        })?;
        let item = InboxItem::Input(AgentEvent::EndpointAnnounced(announce));
        self.inbox.offer(item).map_err(|refusal| {
            self.counters.refusal(refusal.reason());
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}

fn decode_announce(body: &[u8]) -> Option<EndpointAnnounce> {
    let wire: AnnounceWire = serde_json::from_slice(body).ok()?;
    EndpointAnnounce::try_from(wire).ok()
}
