//! HTTP handler for readiness probes and metrics.

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

const METRICS_PATH: &str = "/metrics";

/// State shared by the probe handlers.
pub(super) struct ProbeContext {
    pub(super) ready: Arc<AtomicBool>,
    pub(super) metrics: FleetMetrics,
}

pub(super) fn handle_probe(context: &ProbeContext, state: State) -> Pin<Box<HandlerFuture>> {
    let response = context.respond(Uri::borrow_from(&state).path());
    async move { Ok((state, response)) }.boxed()
}

impl ProbeContext {
    fn respond(&self, path: &str) -> Response<Body> {
        match path {
            READY_PATH if self.ready.load(Ordering::Acquire) => plain(StatusCode::OK, Bytes::new()),
            READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            METRICS_PATH => plain(StatusCode::OK, self.metrics.encode_text().into()),
            _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}
