//! Starts the threads that entries and agents both have.

use super::links::{LINK_COMMAND_CAPACITY, LinkCommand, LinkEvent, LinksThread};
use super::metrics::FleetMetrics;
use super::probes::{ProbeContext, handle_probe};
use super::store::{STORE_COMMAND_CAPACITY, StoreCommand, StoreResult, StoreThread};
use super::{FleetError, StartSnafu, listen};
use crate::budget::{ByteBudget, ClientShare};
use crate::counters::ProcessCounters;
use crate::launch::thread::spawn_runtime_thread;
use crate::ring::RingSender;
use crate::web::{ConnectionLimits, ConnectionTable, serve};
use hornbeamlead_settings::{FleetSettings, MachineLimits};
use slog::Logger;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::panic::RefUnwindSafe;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// What the listeners of a process share.
pub(super) struct ListenerParts {
    /// What the clients of the process may use of its machine.
    pub(super) share: ClientShare,
    /// Budget for what they make the process hold.
    pub(super) budget: Arc<ByteBudget>,
    /// Counters of what is refused to them.
    pub(super) counters: Arc<ProcessCounters>,
}

impl ListenerParts {
    /// Creates the parts for a machine.
    ///
    /// # Errors
    /// Returns the error of creating the counters.
    pub(super) fn new(machine: MachineLimits, log: &Logger) -> Result<Self, FleetError> {
        let share = ClientShare::from(machine);
        let counters = ProcessCounters::new(None, log.clone());
        let counters = counters.context(StartSnafu { thread: "metrics" })?;
        Ok(Self {
            share,
            budget: ByteBudget::new(share.held_bytes),
            counters: Arc::new(counters),
        })
    }

    /// Creates the table of a listener's connections.
    pub(super) fn table(&self, limits: ConnectionLimits) -> Arc<ConnectionTable> {
        let (budget, counters) = (Arc::clone(&self.budget), Arc::clone(&self.counters));
        ConnectionTable::new(limits, budget, counters)
    }
}

/// Starts a listener that serves both readiness and metrics.
pub(super) fn start_probe(
    name: &'static str,
    address: SocketAddr,
    parts: &ListenerParts,
    ready: &Arc<AtomicBool>,
    metrics: &FleetMetrics,
) -> Result<(), FleetError> {
    let listener = listen(name, address)?;
    let context = Arc::new(ProbeContext {
        ready: Arc::clone(ready),
        metrics: metrics.clone(),
        counters: Arc::clone(&parts.counters),
        table: parts.table(ConnectionLimits::narrow()),
        cached_text: Mutex::default(),
    });
    let table = Arc::clone(&context.table);
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| handle_probe(&context, state))
    };
    start_listener(name, listener, handler, table)
}

/// Starts the thread of a listener that serves until the process exits.
pub(super) fn start_listener<H>(
    name: &'static str,
    listener: TcpListener,
    handler: H,
    table: Arc<ConnectionTable>,
) -> Result<(), FleetError>
where
    H: gotham::handler::NewHandler + RefUnwindSafe + 'static,
{
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
    parts: &ListenerParts,
    inbox: &RingSender<T>,
) -> Result<mpsc::Sender<LinkCommand>, FleetError>
where
    T: From<LinkEvent> + Send + 'static,
{
    let (sender, commands) = mpsc::channel(LINK_COMMAND_CAPACITY);
    let inbox = inbox.clone();
    let max_links = parts.share.descriptors;
    let (budget, counters) = (Arc::clone(&parts.budget), Arc::clone(&parts.counters));
    let queue_budget = ByteBudget::new(parts.share.queued_bytes);
    let run = move || async move {
        let listener = listener.map(tokio::net::TcpListener::from_std).transpose();
        // Fails only if the runtime cannot register the socket.
        if let Ok(listener) = listener {
            let thread = LinksThread {
                listener,
                commands,
                inbox,
                store,
                max_links,
                budget,
                queue_budget,
                counters,
            };
            thread.run().await;
        }
    };
    spawn_runtime_thread("links", run).context(StartSnafu { thread: "links" })?;
    Ok(sender)
}
