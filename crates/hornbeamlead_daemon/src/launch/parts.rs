//! Threads that both roles have.

use super::bind::{BoundListener, BoundSockets};
use super::duty::start_duty;
use super::error::{LaunchError, PanickedSnafu, StartSnafu};
use crate::clock::{HostClock, new_incarnation};
use crate::control::{CONTROL_RING_CAPACITY, ControlLoop};
use crate::counters::ProcessCounters;
use crate::decision::{
    DecisionContext, DecisionLoop, DecisionRole, InboxItem, ProcessInfo, RoleInput,
};
use crate::links::{LINK_RING_CAPACITY, LinkContext, LinksLoop};
use crate::platform::{AppendResult, LOG_RING_CAPACITY, LogCommand, LogLoop};
use crate::ring::{RingSender, decision_ring};
use crate::signals::on_stop;
use crate::web::{ConnectionLimits, ConnectionTable, OperatorContext, operator_handler, serve};
use crossbeam_channel::Receiver;
use gotham::handler::NewHandler;
use hornbeamlead_core::policy::ProcessIdentity;
use hornbeamlead_settings::ProcessSettings;
use slog::{Logger, info};
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::sync::mpsc;

/// What the threads of a process have in common while it is put together.
pub(super) struct ProcessParts<I> {
    /// Who the process is and where it stands.
    pub(super) place: ProcessIdentity,
    /// Clocks.
    pub(super) clock: HostClock,
    /// Counters.
    pub(super) counters: Arc<ProcessCounters>,
    /// Ring into the decisions.
    pub(super) inbox: RingSender<InboxItem<I>>,
    log: Logger,
    ring: Receiver<InboxItem<I>>,
    tables: Vec<Arc<ConnectionTable>>,
    threads: Vec<(&'static str, JoinHandle<()>)>,
}

impl<I: RoleInput + AppendResult> ProcessParts<I> {
    /// Prepares a process.
    ///
    /// # Errors
    /// Returns the error of the metrics' socket.
    pub(super) fn new(
        settings: &ProcessSettings,
        sockets: &BoundSockets,
        log: &Logger,
    ) -> Result<Self, LaunchError> {
        let counters = ProcessCounters::new(settings.statsd, log.clone());
        let counters = counters.context(StartSnafu { duty: "metrics" })?;
        let (inbox, ring) = decision_ring();
        Ok(Self {
            place: place_of(settings, sockets),
            clock: HostClock::start(),
            counters: Arc::new(counters),
            inbox,
            log: log.clone(),
            ring,
            tables: Vec::new(),
            threads: Vec::new(),
        })
    }

    /// Makes the table of a listener's connections, which ends with the process.
    pub(super) fn table(&mut self) -> Arc<ConnectionTable> {
        let table = ConnectionTable::new(ConnectionLimits::default(), Arc::clone(&self.counters));
        self.tables.push(Arc::clone(&table));
        table
    }

    /// Starts the thread of an HTTP listener.
    pub(super) fn start_web<H>(
        &mut self,
        duty: &'static str,
        bound: BoundListener,
        table: Arc<ConnectionTable>,
        handler: H,
    ) -> Result<(), LaunchError>
    where
        H: NewHandler + 'static,
    {
        let run = move || async move {
            // The listener was made for this runtime and is known to be sound.
            if let Ok(listener) = tokio::net::TcpListener::from_std(bound.listener) {
                serve(listener, handler, table).await;
            }
        };
        self.start(duty, run)
    }

    /// Starts the operators' listener.
    pub(super) fn start_operators(&mut self, bound: BoundListener) -> Result<(), LaunchError> {
        let table = self.table();
        let desk = Arc::new(OperatorContext {
            inbox: self.inbox.clone(),
            table: Arc::clone(&table),
        });
        let handler = move || {
            let desk = Arc::clone(&desk);
            Ok(move |state| operator_handler(desk, state))
        };
        self.start_web("operators", bound, table, handler)
    }

    /// Starts the links and returns their ring.
    pub(super) fn start_links(
        &mut self,
        listener: TcpListener,
    ) -> Result<mpsc::Sender<crate::links::LinkCommand>, LaunchError> {
        let (sender, commands) = mpsc::channel(LINK_RING_CAPACITY);
        let context = LinkContext {
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        };
        let run = move || async move {
            if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                LinksLoop::new(context, listener, commands).run().await;
            }
        };
        self.start("links", run)?;
        Ok(sender)
    }

    /// Starts the datagrams and returns their ring.
    pub(super) fn start_control(
        &mut self,
        socket: UdpSocket,
    ) -> Result<mpsc::Sender<crate::control::Datagram>, LaunchError> {
        let (sender, outgoing) = mpsc::channel(CONTROL_RING_CAPACITY);
        let inbox = self.inbox.clone();
        let counters = Arc::clone(&self.counters);
        let run = move || async move {
            if let Ok(socket) = tokio::net::UdpSocket::from_std(socket) {
                let duty = ControlLoop {
                    socket,
                    outgoing,
                    inbox,
                    counters,
                };
                duty.run().await;
            }
        };
        self.start("control", run)?;
        Ok(sender)
    }

    /// Starts the log and returns its ring.
    pub(super) fn start_log(
        &mut self,
        address: SocketAddr,
    ) -> Result<mpsc::Sender<LogCommand>, LaunchError> {
        let (sender, commands) = mpsc::channel(LOG_RING_CAPACITY);
        let duty = LogLoop {
            address,
            commands,
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        };
        self.start("log", move || duty.run())?;
        Ok(sender)
    }

    /// Starts the thread of a duty, which is waited for at the end of the process.
    pub(super) fn start<D, F>(&mut self, duty: &'static str, make: D) -> Result<(), LaunchError>
    where
        D: FnOnce() -> F + Send + 'static,
        F: std::future::Future<Output = ()>,
    {
        let thread = start_duty(duty, make).context(StartSnafu { duty })?;
        self.threads.push((duty, thread));
        Ok(())
    }

    /// Runs the decisions on this thread until the process may exit, then ends all threads.
    pub(super) fn decide<R>(
        self,
        role_name: &'static str,
        role: R,
        links: mpsc::Sender<crate::links::LinkCommand>,
        control: mpsc::Sender<crate::control::Datagram>,
    ) -> Result<(), LaunchError>
    where
        R: DecisionRole<Input = I> + Send + 'static,
    {
        let outlets = DecisionContext {
            links,
            control,
            counters: self.counters,
            log: self.log.clone(),
            clock: self.clock,
            process: ProcessInfo {
                role: role_name,
                identity: self.place,
            },
        };
        let stop = stop_action(&self.tables, &self.inbox, &self.log);
        on_stop(stop).context(StartSnafu { duty: "signals" })?;
        drop(self.inbox);
        let decisions = DecisionLoop::new(role, self.ring, outlets);
        let thread = Builder::new().name("decisions".into());
        let thread = thread.spawn(move || decisions.run());
        let thread = thread.context(StartSnafu { duty: "decisions" })?;
        join("decisions", thread)?;
        self.tables.iter().for_each(|table| table.close());
        for (duty, thread) in self.threads {
            join(duty, thread)?;
        }
        Ok(())
    }
}

fn place_of(settings: &ProcessSettings, sockets: &BoundSockets) -> ProcessIdentity {
    let address = settings.addresses.advertised.unwrap_or(sockets.inner);
    ProcessIdentity {
        host: settings.host.clone(),
        incarnation: new_incarnation(),
        data_centre: settings.data_centre.clone(),
        rack: settings.rack.clone(),
        link_address: address,
        control_address: address,
        operator_address: sockets.operators_address(),
        seed: settings.seed,
    }
}

/// Returns what a termination signal does: readiness fails, then the decisions are told.
fn stop_action<I: RoleInput>(
    tables: &[Arc<ConnectionTable>],
    inbox: &RingSender<InboxItem<I>>,
    log: &Logger,
) -> impl FnOnce() + Send + 'static {
    let tables = tables.to_vec();
    let inbox = inbox.clone();
    let log = log.clone();
    move || {
        info!(log, ""; "event" => "stop_asked");
        tables.iter().for_each(|table| table.stop());
        // Fails only when the decisions have ended already.
        let _ = inbox.deliver(InboxItem::Input(I::stop_requested()));
    }
}

fn join(duty: &'static str, thread: JoinHandle<()>) -> Result<(), LaunchError> {
    match thread.join() {
        Ok(()) => Ok(()),
        Err(_) => PanickedSnafu { duty }.fail(),
    }
}
