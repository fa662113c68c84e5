//! Puts an entry together and runs its decisions.

use super::callers::{CallerDesk, handle_call};
use super::metrics::FleetMetrics;
use super::outlets::FleetOutlets;
use super::probes::{ProbeDesk, handle_probe};
use super::signals::{SignalAsk, TakenSignals, on_signal};
use super::store::{STORE_RING, StoreCommand, StoreDuty, StoreResult};
use super::{EndedSnafu, FleetError, StartSnafu, listen};
use crate::clock::BootClock;
use crate::counters::ProcessCounters;
use crate::launch::duty::start_duty;
use crate::ring::{RingSender, decision_ring};
use crate::web::{ConnectionLimits, ConnectionTable, serve};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use hornbeamlead_adapter::OperatorRecordFormat;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::{CallerReply, Effect};
use hornbeamlead_jobs::entry::{CallerRequest, EntryEvent, EntryMachine};
use hornbeamlead_settings::{FleetRole, FleetSettings, read_fleet_settings};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Longest wait for an event; repeats of appends and pauses of readers are due by time.
const TICK: Duration = Duration::from_millis(25);

/// Least time from a termination signal to the end: the platform notices within two probes, a
/// second apart, that the entry is not ready.
const MIN_LINGER: Duration = Duration::from_millis(2500);

/// Time left for open connections to be closed at the end.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Request of a caller, with where its answer goes.
pub(super) struct TicketedRequest {
    pub(super) request: CallerRequest,
    pub(super) answer: oneshot::Sender<CallerReply>,
}

/// Item of the ring into an entry's decisions.
pub(super) enum EntryInput {
    /// A caller asks.
    Request(Box<TicketedRequest>),
    /// The store answered.
    Stored(StoreResult),
    /// A signal came.
    Signal(SignalAsk),
}

impl From<StoreResult> for EntryInput {
    fn from(result: StoreResult) -> Self {
        Self::Stored(result)
    }
}

/// Runs an entry to its end.
pub(super) fn run_entry(
    settings: &FleetSettings,
    path: &Path,
    signals: TakenSignals,
    log: &Logger,
) -> Result<(), FleetError> {
    let FleetRole::Entry {
        callers,
        readiness,
        stop_after,
    } = settings.role
    else {
        return EndedSnafu { duty: "entry" }.fail();
    };
    let metrics = FleetMetrics::new();
    let (inbox, ring) = decision_ring();
    let ready = Arc::new(AtomicBool::new(false));
    let duty = "metrics";
    let counters = ProcessCounters::new(None, log.clone()).context(StartSnafu { duty })?;
    let table = ConnectionTable::new(ConnectionLimits::default(), Arc::new(counters));
    start_callers(callers, &inbox, &table, &metrics)?;
    for (name, address) in [("readiness", readiness), ("metrics", settings.metrics)] {
        start_probe(name, address, &ready, &metrics, log)?;
    }
    let store = start_store(settings, &inbox, &metrics, log)?;
    let told = inbox.clone();
    let tell = move |ask| drop(told.deliver(EntryInput::Signal(ask)));
    on_signal(signals, tell).context(StartSnafu { duty: "signals" })?;
    let desk = EntryDesk {
        machine: EntryMachine::new(OperatorRecordFormat),
        outlets: FleetOutlets::new(store, metrics, log.clone()),
        answers: HashMap::new(),
        ready,
        table,
        stop_after,
        stopping: None,
        path: path.into(),
    };
    desk.run(&ring)
}

fn start_callers(
    address: std::net::SocketAddr,
    inbox: &RingSender<EntryInput>,
    table: &Arc<ConnectionTable>,
    metrics: &FleetMetrics,
) -> Result<(), FleetError> {
    let listener = listen("callers", address)?;
    let desk = Arc::new(CallerDesk {
        inbox: inbox.clone(),
        table: Arc::clone(table),
        metrics: metrics.clone(),
        last_ticket: AtomicU64::new(0),
    });
    let table = Arc::clone(table);
    let handler = move || {
        let desk = Arc::clone(&desk);
        Ok(move |state| handle_call(desk, state))
    };
    let run = move || async move {
        // The listener was made for this runtime and is known to be sound.
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            serve(listener, handler, table).await;
        }
    };
    start_duty("callers", run)
        .map(drop)
        .context(StartSnafu { duty: "callers" })
}

/// Starts a listener for readiness and metrics.
pub(super) fn start_probe(
    name: &'static str,
    address: std::net::SocketAddr,
    ready: &Arc<AtomicBool>,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<(), FleetError> {
    let listener = listen(name, address)?;
    let desk = Arc::new(ProbeDesk {
        ready: Arc::clone(ready),
        metrics: metrics.clone(),
    });
    let handler = move || {
        let desk = Arc::clone(&desk);
        Ok(move |state| handle_probe(&desk, state))
    };
    start_listener(name, listener, handler, log)
}

/// Starts the thread of a listener that ends with the process.
pub(super) fn start_listener<H>(
    name: &'static str,
    listener: std::net::TcpListener,
    handler: H,
    log: &Logger,
) -> Result<(), FleetError>
where
    H: gotham::handler::NewHandler + 'static,
{
    let counters = ProcessCounters::new(None, log.clone()).context(StartSnafu { duty: name })?;
    let table = ConnectionTable::new(ConnectionLimits::default(), Arc::new(counters));
    let run = move || async move {
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            serve(listener, handler, table).await;
        }
    };
    start_duty(name, run)
        .map(drop)
        .context(StartSnafu { duty: name })
}

/// Starts the store thread and returns its ring.
pub(super) fn start_store<T>(
    settings: &FleetSettings,
    inbox: &RingSender<T>,
    metrics: &FleetMetrics,
    log: &Logger,
) -> Result<mpsc::Sender<StoreCommand>, FleetError>
where
    T: From<StoreResult> + Send + 'static,
{
    let (sender, commands) = mpsc::channel(STORE_RING);
    let duty = StoreDuty {
        address: settings.store,
        commands,
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let thread = start_duty("store", move || duty.run());
    thread.context(StartSnafu { duty: "store" })?;
    Ok(sender)
}

/// Reads the settings again and says whether they are sound; addresses and role of a running
/// process do not change.
pub(super) fn check_reload(path: &Path, log: &Logger) {
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            warn!(log, ""; "event" => "reload_failed", "cause" => error.to_string());
            return;
        }
    };
    match read_fleet_settings(&name, &text) {
        Ok(_) => info!(log, ""; "event" => "reloaded", "outcome" => "kept"),
        Err(findings) => {
            warn!(log, ""; "event" => "reload_failed", "cause" => findings.to_string());
        }
    }
}

/// Planned stop in progress.
#[derive(Clone, Copy)]
struct PlannedStop {
    /// Not before.
    earliest: MonoTime,
    /// Not after.
    latest: MonoTime,
}

/// Decisions of an entry, with what they reach.
struct EntryDesk {
    machine: EntryMachine<OperatorRecordFormat>,
    outlets: FleetOutlets,
    answers: HashMap<u64, oneshot::Sender<CallerReply>>,
    ready: Arc<AtomicBool>,
    table: Arc<ConnectionTable>,
    stop_after: Duration,
    stopping: Option<PlannedStop>,
    path: Box<Path>,
}

impl EntryDesk {
    fn run(mut self, ring: &Receiver<EntryInput>) -> Result<(), FleetError> {
        loop {
            match ring.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return EndedSnafu { duty: "callers" }.fail();
                }
            }
            while let Ok(input) = ring.try_recv() {
                self.take(input);
            }
            self.handle(EntryEvent::Tick);
            self.show_state();
            if self.may_stop() {
                self.table.close();
                std::thread::sleep(CLOSE_MARGIN);
                return Ok(());
            }
        }
    }

    fn take(&mut self, input: EntryInput) {
        match input {
            EntryInput::Request(ticketed) => {
                let TicketedRequest { request, answer } = *ticketed;
                self.answers.insert(request.ticket, answer);
                self.handle(EntryEvent::Request(request));
            }
            EntryInput::Stored(StoreResult { caller, outcome }) => {
                self.handle(EntryEvent::Stored { caller, outcome });
            }
            EntryInput::Signal(SignalAsk::Reload) => check_reload(&self.path, &self.outlets.log),
            EntryInput::Signal(SignalAsk::Stop) => self.begin_stop(),
        }
    }

    fn handle(&mut self, event: EntryEvent) {
        let effects = self.machine.handle(BootClock.read(), event);
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    if let Some(StoreResult { caller, outcome }) = self.outlets.call_store(call) {
                        self.handle(EntryEvent::Stored { caller, outcome });
                    }
                }
                Effect::Reply { ticket, reply } => {
                    if let Some(answer) = self.answers.remove(&ticket) {
                        // Fails only where the caller has gone.
                        let _ = answer.send(reply);
                    }
                }
                Effect::AddRelay(address) => self.outlets.add_relay(address),
                Effect::Log(line) => self.outlets.write_line(&line),
                Effect::Count(event) => self.outlets.metrics.count(event),
                // An entry has no links and no worker.
                _ => {}
            }
        }
    }

    fn show_state(&self) {
        let ready = self.machine.is_ready() && self.stopping.is_none();
        if ready != self.ready.swap(ready, Ordering::AcqRel) {
            info!(self.outlets.log, ""; "event" => "readiness", "ready" => ready);
        }
        let metrics = &self.outlets.metrics;
        metrics.set("config_version", self.machine.config_version());
        metrics.set("requests_in_progress", self.machine.in_progress() as u64);
    }

    fn begin_stop(&mut self) {
        if self.stopping.is_none() {
            info!(self.outlets.log, ""; "event" => "stop_asked");
            let now = BootClock.mono();
            self.table.stop();
            self.stopping = Some(PlannedStop {
                earliest: now.plus(MIN_LINGER.min(self.stop_after)),
                latest: now.plus(self.stop_after),
            });
        }
    }

    fn may_stop(&self) -> bool {
        let now = BootClock.mono();
        let idle = self.answers.is_empty() && self.table.is_empty();
        self.stopping
            .is_some_and(|stop| now >= stop.latest || (idle && now >= stop.earliest))
    }
}
