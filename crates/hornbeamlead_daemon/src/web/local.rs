//! Agent's local listener, where the endpoint of the host announces itself.

use super::connection::ConnectionTable;
use super::reply;
use crate::counters::ProcessCounters;
use crate::decision::InboxItem;
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce};
use hornbeamlead_platform::announce_wire::AnnounceWire;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;

/// Maximum size of an announcement.
const MAX_ANNOUNCE_BYTES: usize = 64 * 1024;

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
        let guard = client_addr(&state).map(|peer| context.table.begin_request(peer));
        let status = match context.handle_announce(&mut state).await {
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
    async fn handle_announce(&self, state: &mut State) -> Result<(), StatusCode> {
        let method = Method::borrow_from(state);
        let path = Uri::borrow_from(state).path();
        match (path, method) {
            ("/announce", &Method::POST) => {}
            ("/announce", _) => return Err(StatusCode::METHOD_NOT_ALLOWED),
            _ => return Err(StatusCode::NOT_FOUND),
        }
        let announce = read_announce(Body::take_from(state)).await;
        let announce = announce.ok_or_else(|| {
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

async fn read_announce(body: Body) -> Option<EndpointAnnounce> {
    let body = Limited::new(body, MAX_ANNOUNCE_BYTES).collect().await;
    let wire: AnnounceWire = serde_json::from_slice(&body.ok()?.to_bytes()).ok()?;
    EndpointAnnounce::try_from(wire).ok()
}
