//! Starts the threads of an agent.

use super::AgentInput;
use crate::fleet::local::{LocalContext, MAX_BODY_BYTES, handle_local};
use crate::fleet::metrics::FleetMetrics;
use crate::fleet::start::{ListenerParts, start_listener};
use crate::fleet::worker::{WORKER_CALL_CAPACITY, WorkerThread};
use crate::fleet::{FleetError, StartSnafu, listen};
use crate::launch::thread::spawn_runtime_thread;
use crate::ring::RingSender;
use crate::web::ConnectionLimits;
use hornbeamlead_jobs::worker::WorkerCall;
use slog::Logger;
use snafu::ResultExt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::mpsc;

pub(super) fn start_local(
    address: std::net::SocketAddr,
    inbox: &RingSender<AgentInput>,
    parts: &ListenerParts,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<(), FleetError> {
    let listener = listen("local", address)?;
    let table = parts.table(ConnectionLimits {
        max_body_bytes: MAX_BODY_BYTES,
        ..ConnectionLimits::narrow()
    });
    let context = Arc::new(LocalContext {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        table: Arc::clone(&table),
        log: log.clone(),
        next_line_at: AtomicU64::new(0),
    });
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| handle_local(context, state))
    };
    start_listener("local", listener, handler, table)
}

pub(super) fn start_worker(
    inbox: &RingSender<AgentInput>,
    metrics: &FleetMetrics,
) -> Result<mpsc::Sender<WorkerCall>, FleetError> {
    let (sender, calls) = mpsc::channel(WORKER_CALL_CAPACITY);
    let thread = WorkerThread {
        calls,
        inbox: inbox.clone(),
        metrics: metrics.clone(),
    };
    spawn_runtime_thread("worker", move || thread.run())
        .context(StartSnafu { thread: "worker" })?;
    Ok(sender)
}
