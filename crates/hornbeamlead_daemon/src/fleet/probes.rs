//! HTTP handler for readiness probes and metrics.

use super::metrics::FleetMetrics;
use crate::clock::BootClock;
use crate::counters::ProcessCounters;
use crate::web::{ConnectionTable, lock, plain};
use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hornbeamlead_adapter::READY_PATH;
use hornbeamlead_core::clock::MonoTime;
use hyper::{Response, StatusCode, Uri};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const METRICS_PATH: &str = "/metrics";

/// Time for which encoded metrics are served again, as encoding them takes long.
const TEXT_LIFETIME: Duration = Duration::from_millis(100);

/// State shared by the probe handlers.
pub(super) struct ProbeContext {
    pub(super) ready: Arc<AtomicBool>,
    pub(super) metrics: FleetMetrics,
    pub(super) counters: Arc<ProcessCounters>,
    pub(super) table: Arc<ConnectionTable>,
    pub(super) cached_text: Mutex<Option<CachedText>>,
}

/// Encoded metrics.
pub(super) struct CachedText {
    text: Bytes,
    fresh_until: MonoTime,
}

pub(super) fn handle_probe(context: &ProbeContext, state: State) -> Pin<Box<HandlerFuture>> {
    let guard = context.table.begin_call(&state);
    let response = context.respond(Uri::borrow_from(&state).path());
    async move {
        // A client with many requests in a row leaves the thread to others between them.
        tokio::task::yield_now().await;
        drop(guard);
        Ok((state, response))
    }
    .boxed()
}

impl ProbeContext {
    fn respond(&self, path: &str) -> Response<Body> {
        match path {
            READY_PATH if self.ready.load(Ordering::Acquire) => plain(StatusCode::OK, Bytes::new()),
            READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            METRICS_PATH => plain(StatusCode::OK, self.metrics_text()),
            _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Returns the metrics as they were a moment ago at the latest.
    fn metrics_text(&self) -> Bytes {
        let now = BootClock.mono();
        let mut cached = lock(&self.cached_text);
        match &*cached {
            Some(cached) if now < cached.fresh_until => cached.text.clone(),
            _ => {
                let text = Bytes::from(self.metrics.encode_text(&self.counters));
                *cached = Some(CachedText {
                    text: text.clone(),
                    fresh_until: now.plus(TEXT_LIFETIME),
                });
                text
            }
        }
    }
}
