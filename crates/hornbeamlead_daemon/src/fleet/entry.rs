//! Starts the threads of an entry and runs its event loop.

use super::callers::{CallerContext, callers_limits, handle_call};
use super::links::{LinkCommand, LinkEvent, PeerFrame};
use super::metrics::FleetMetrics;
use super::signals::{SignalHandlers, SignalRequest, spawn_signal_thread};
use super::sinks::EffectSinks;
use super::start::{ListenerParts, start_links, start_listener, start_probe, start_store};
use super::store::StoreResult;
use super::{EndedSnafu, FleetError, StartSnafu, listen};
use crate::budget::{ByteLease, ClientShare};
use crate::clock::BootClock;
use crate::ring::{RingSender, decision_ring};
use crate::web::{ConnectionLimits, ConnectionTable};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use hornbeamlead_adapter::OperatorRecordFormat;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::config::CallerLimits;
use hornbeamlead_jobs::effect::{CallerReply, Effect, LogLine};
use hornbeamlead_jobs::entry::{CallerRequest, EntryEvent, EntryMachine, EntryPolicy};
use hornbeamlead_settings::{FleetRole, FleetSettings, read_fleet_settings};
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum wait for an event; append retries and reader pauses are due by time.
const TICK: Duration = Duration::from_millis(25);

/// Minimum time from a termination signal to the exit: the platform needs up to two probes, one
/// second apart, to see that the entry is not ready.
const MIN_STOP_DELAY: Duration = Duration::from_millis(2500);

/// Time for open connections to close before the process exits.
const CONNECTION_CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Caller's request that waits for its reply.
pub(super) struct PendingRequest {
    pub(super) request: CallerRequest,
    pub(super) waiting: WaitingCaller,
}

/// Caller that waits for its reply.
pub(super) struct WaitingCaller {
    pub(super) reply_sender: oneshot::Sender<CallerReply>,
    /// Lease for the memory of the request, which the process keeps until the reply.
    pub(super) _lease: ByteLease,
}

/// Input of an entry's event loop.
pub(super) enum EntryInput {
    Request(Box<PendingRequest>),
    /// Outcome of a store call.
    Stored(StoreResult),
    Link(LinkEvent),
    Signal(SignalRequest),
}

impl From<StoreResult> for EntryInput {
    fn from(result: StoreResult) -> Self {
        Self::Stored(result)
    }
}

impl From<LinkEvent> for EntryInput {
    fn from(event: LinkEvent) -> Self {
        Self::Link(event)
    }
}

/// Runs an entry until it stops or fails.
pub(super) fn run_entry(
    settings: &FleetSettings,
    path: &Path,
    signals: SignalHandlers,
    log: &Logger,
) -> Result<(), FleetError> {
    let FleetRole::Entry {
        callers,
        readiness,
        stop_after,
        admission,
    } = settings.role
    else {
        return EndedSnafu { thread: "entry" }.fail();
    };
    let metrics = FleetMetrics::new();
    let (inbox, ring) = decision_ring();
    let ready = Arc::new(AtomicBool::new(false));
    let parts = ListenerParts::new(settings.machine, log)?;
    let table = parts.table(ConnectionLimits::wide(parts.share));
    start_callers(callers, &inbox, &table, &metrics)?;
    for (name, address) in [("readiness", readiness), ("metrics", settings.metrics)] {
        start_probe(name, address, &parts, &ready, &metrics)?;
    }
    let store = start_store(settings, &inbox, &metrics, log)?;
    let links = start_links(settings.store, None, &parts, &inbox)?;
    let signal_inbox = inbox.clone();
    let notify = move |request| drop(signal_inbox.deliver(EntryInput::Signal(request)));
    spawn_signal_thread(signals, notify).context(StartSnafu { thread: "signals" })?;
    let policy = EntryPolicy {
        admission,
        seed: settings.seed,
    };
    let event_loop = EntryLoop {
        machine: EntryMachine::with_policy(policy, OperatorRecordFormat),
        sinks: EffectSinks::new(store, metrics, log.clone()),
        links,
        waiting: HashMap::new(),
        ready,
        limits: CallerLimits::default(),
        share: parts.share,
        table,
        stop_after,
        stopping: None,
        path: path.into(),
    };
    event_loop.run(&ring)
}

fn start_callers(
    address: std::net::SocketAddr,
    inbox: &RingSender<EntryInput>,
    table: &Arc<ConnectionTable>,
    metrics: &FleetMetrics,
) -> Result<(), FleetError> {
    let listener = listen("callers", address)?;
    let context = Arc::new(CallerContext {
        inbox: inbox.clone(),
        table: Arc::clone(table),
        metrics: metrics.clone(),
        last_ticket: AtomicU64::new(0),
    });
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| handle_call(context, state))
    };
    start_listener("callers", listener, handler, Arc::clone(table))
}

/// Reads the settings again and logs whether they are valid. They are not applied: the addresses
/// and the role of a running process are fixed.
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

/// Time window in which a stopping entry exits: as soon as it is idle, or at `latest`.
#[derive(Clone, Copy)]
struct StopWindow {
    earliest: MonoTime,
    latest: MonoTime,
}

/// Event loop of an entry: feeds the state machine and executes its effects.
struct EntryLoop {
    machine: EntryMachine<OperatorRecordFormat>,
    sinks: EffectSinks,
    links: mpsc::Sender<LinkCommand>,
    waiting: HashMap<u64, WaitingCaller>,
    ready: Arc<AtomicBool>,
    /// Limits of the configuration that the table has.
    limits: CallerLimits,
    share: ClientShare,
    table: Arc<ConnectionTable>,
    stop_after: Duration,
    stopping: Option<StopWindow>,
    path: Box<Path>,
}

impl EntryLoop {
    fn run(mut self, ring: &Receiver<EntryInput>) -> Result<(), FleetError> {
        loop {
            match ring.recv_timeout(TICK) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return EndedSnafu { thread: "callers" }.fail();
                }
            }
            while let Ok(input) = ring.try_recv() {
                self.handle_input(input);
            }
            self.handle_event(EntryEvent::Tick);
            self.adopt_limits();
            self.publish_state();
            if self.may_stop() {
                self.table.close();
                std::thread::sleep(CONNECTION_CLOSE_GRACE);
                return Ok(());
            }
        }
    }

    fn handle_input(&mut self, input: EntryInput) {
        match input {
            EntryInput::Request(pending) => {
                let PendingRequest { request, waiting } = *pending;
                self.waiting.insert(request.ticket, waiting);
                self.handle_event(EntryEvent::Request(request));
            }
            EntryInput::Stored(StoreResult { caller, outcome }) => {
                self.handle_event(EntryEvent::Stored { caller, outcome });
            }
            EntryInput::Link(event) => self.handle_link_event(event),
            EntryInput::Signal(SignalRequest::Reload) => check_reload(&self.path, &self.sinks.log),
            EntryInput::Signal(SignalRequest::Stop) => self.begin_stop(),
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened(link) => self.handle_event(EntryEvent::LinkOpened(link)),
            LinkEvent::Closed { link, .. } => self.handle_event(EntryEvent::LinkClosed(link)),
            LinkEvent::Frame(link, received) => match received.frame {
                PeerFrame::Notices(message) => {
                    self.handle_event(EntryEvent::Notices { link, message });
                }
                _ => self.sinks.metrics.count("frame_unexpected"),
            },
            LinkEvent::Unreadable { link, cause } => {
                let line = LogLine {
                    event: "frame_unreadable",
                    id: link.0.to_string().into(),
                    detail: format!("cause={cause:?}").into(),
                };
                self.sinks.write_line(&line);
            }
        }
    }

    fn send_link_command(&self, command: LinkCommand) {
        if self.links.try_send(command).is_err() {
            // The link then stays silent until the entry gives it up.
            self.sinks.metrics.count("link_ring_full");
        }
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let effects = self.machine.handle(BootClock.read(), event);
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    if let Some(StoreResult { caller, outcome }) = self.sinks.call_store(call) {
                        self.handle_event(EntryEvent::Stored { caller, outcome });
                    }
                }
                Effect::Reply { ticket, reply } => {
                    if let Some(waiting) = self.waiting.remove(&ticket) {
                        // Fails only if the caller has disconnected.
                        let _ = waiting.reply_sender.send(reply);
                    }
                }
                Effect::AddRelay(address) => self.sinks.add_relay(address),
                Effect::Log(line) => self.sinks.write_line(&line),
                Effect::Count(event) => self.sinks.metrics.count(event),
                Effect::Dial {
                    link,
                    address,
                    deadline,
                } => self.send_link_command(LinkCommand::Dial {
                    link,
                    address,
                    timeout: deadline.since(BootClock.mono()),
                }),
                Effect::Notices { link, message } => {
                    let frame = PeerFrame::Notices(message);
                    self.send_link_command(LinkCommand::Send { link, frame });
                }
                Effect::CloseLink { link } => {
                    self.send_link_command(LinkCommand::CloseLink { link });
                }
                // An entry is no agent or planner and has no worker.
                _ => {}
            }
        }
    }

    /// Has the callers' listener keep to the limits of the configuration in force.
    fn adopt_limits(&mut self) {
        let limits = self.machine.caller_limits().unwrap_or_default();
        if limits != self.limits {
            self.limits = limits;
            self.table.set_limits(callers_limits(self.share, limits));
        }
    }

    fn publish_state(&self) {
        let ready = self.machine.is_ready() && self.stopping.is_none();
        if ready != self.ready.swap(ready, Ordering::AcqRel) {
            info!(self.sinks.log, ""; "event" => "readiness", "ready" => ready);
        }
        let metrics = &self.sinks.metrics;
        metrics.set_gauge("config_version", self.machine.config_version());
        metrics.set_gauge("requests_in_progress", self.machine.in_progress() as u64);
        metrics.set_gauge("notice_links", self.machine.notice_links() as u64);
        if let Some((wait_ms, age)) = self.machine.reported_wait(BootClock.mono()) {
            metrics.set_gauge("load_wait_ms", wait_ms.into());
            metrics.set_gauge("load_report_age_ms", age.as_millis() as u64);
        }
    }

    fn begin_stop(&mut self) {
        if self.stopping.is_none() {
            info!(self.sinks.log, ""; "event" => "stop_asked");
            let now = BootClock.mono();
            self.table.stop();
            self.stopping = Some(StopWindow {
                earliest: now.plus(MIN_STOP_DELAY.min(self.stop_after)),
                latest: now.plus(self.stop_after),
            });
        }
    }

    fn may_stop(&self) -> bool {
        let now = BootClock.mono();
        let idle = self.waiting.is_empty() && self.table.is_empty();
        self.stopping
            .is_some_and(|stop| now >= stop.latest || (idle && now >= stop.earliest))
    }
}
