//! Listeners for readiness and metrics.

use super::metrics::FleetMetrics;
use crate::web::plain;
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_adapter::READY_PATH;
use hyper::{Response, StatusCode, Uri};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// What the probes' handlers share.
pub(super) struct ProbeDesk {
    pub(super) ready: Arc<AtomicBool>,
    pub(super) metrics: FleetMetrics,
}

/// Handles one probe.
pub(super) fn handle_probe(desk: &ProbeDesk, state: State) -> Pin<Box<HandlerFuture>> {
    let response = desk.respond(Uri::borrow_from(&state).path());
    async move { Ok((state, response)) }.boxed()
}

impl ProbeDesk {
    fn respond(&self, path: &str) -> Response<Body> {
        match path {
            READY_PATH if self.ready.load(Ordering::Acquire) => plain(StatusCode::OK, Bytes::new()),
            READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            METRICS_PATH => plain(StatusCode::OK, self.metrics.text().into()),
            _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}
