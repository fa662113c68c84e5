//! Starts the threads that entries and agents both have.

use super::links::{LINK_COMMAND_CAPACITY, LinkCommand, LinkEvent, LinksThread};
use super::metrics::FleetMetrics;
use super::probes::{ProbeContext, handle_probe};
use super::store::{STORE_COMMAND_CAPACITY, StoreCommand, StoreResult, StoreThread};
use super::{FleetError, StartSnafu, listen};
use crate::counters::ProcessCounters;
use crate::launch::thread::spawn_runtime_thread;
use crate::ring::RingSender;
use crate::web::{ConnectionLimits, ConnectionTable, serve};
use hornbeamlead_settings::FleetSettings;
use slog::Logger;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::mpsc;

/// Starts a listener that serves both readiness and metrics.
pub(super) fn start_probe(
    name: &'static str,
    address: SocketAddr,
    ready: &Arc<AtomicBool>,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<(), FleetError> {
    let listener = listen(name, address)?;
    let context = Arc::new(ProbeContext {
        ready: Arc::clone(ready),
        metrics: metrics.clone(),
    });
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| handle_probe(&context, state))
    };
    start_listener(name, listener, handler, log)
}

/// Starts the thread of a listener that serves until the process exits.
pub(super) fn start_listener<H>(
    name: &'static str,
    listener: TcpListener,
    handler: H,
    log: &Logger,
) -> Result<(), FleetError>
where
    H: gotham::handler::NewHandler + 'static,
{
    let counters = ProcessCounters::new(None, log.clone()).context(StartSnafu { thread: name })?;
    let table = ConnectionTable::new(ConnectionLimits::default(), Arc::new(counters));
    let run = move || async move {
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            serve(listener, handler, table).await;
        }
    };
    spawn_runtime_thread(name, run)
        .map(drop)
        .context(StartSnafu { thread: name })
}

/// Starts the store thread and returns the sender of its commands.
pub(super) fn start_store<T>(
    settings: &FleetSettings,
    inbox: &RingSender<T>,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<mpsc::Sender<StoreCommand>, FleetError>
where
    T: From<StoreResult> + Send + 'static,
{
    let (sender, commands) = mpsc::channel(STORE_COMMAND_CAPACITY);
    let thread = StoreThread {
        address: settings.store,
        commands,
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let handle = spawn_runtime_thread("store", move || thread.run());
    handle.context(StartSnafu { thread: "store" })?;
    Ok(sender)
}

/// Starts the links thread and returns the sender of its commands. Without a listener, the process
/// accepts no links.
pub(super) fn start_links<T>(
    store: SocketAddr,
    listener: Option<TcpListener>,
    inbox: &RingSender<T>,
) -> Result<mpsc::Sender<LinkCommand>, FleetError>
where
    T: From<LinkEvent> + Send + 'static,
{
    let (sender, commands) = mpsc::channel(LINK_COMMAND_CAPACITY);
    let inbox = inbox.clone();
    let run = move || async move {
        let listener = listener.map(tokio::net::TcpListener::from_std).transpose();
        // Fails only if the runtime cannot register the socket.
        if let Ok(listener) = listener {
            let thread = LinksThread {
                listener,
                commands,
                inbox,
                store,
            };
            thread.run().await;
        }
    };
    spawn_runtime_thread("links", run).context(StartSnafu { thread: "links" })?;
    Ok(sender)
}
