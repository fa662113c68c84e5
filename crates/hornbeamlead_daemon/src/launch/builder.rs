//! Builds a process from the threads that both roles have.

use super::bind::{BoundListener, BoundSockets};
use super::error::{LaunchError, PanickedSnafu, StartSnafu};
use super::thread::spawn_runtime_thread;
use crate::budget::{ByteBudget, ClientShare};
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
use hornbeamlead_core::message::request::MAX_BODY_BYTES;
use hornbeamlead_core::policy::ProcessIdentity;
use hornbeamlead_settings::ProcessSettings;
use slog::{Logger, info};
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::sync::mpsc;

/// State shared by the threads of a process, and the threads started so far.
pub(super) struct ProcessBuilder<I> {
    pub(super) identity: ProcessIdentity,
    pub(super) clock: HostClock,
    pub(super) counters: Arc<ProcessCounters>,
    /// Ring into the decision thread.
    pub(super) inbox: RingSender<InboxItem<I>>,
    share: ClientShare,
    budget: Arc<ByteBudget>,
    log: Logger,
    ring: Receiver<InboxItem<I>>,
    tables: Vec<Arc<ConnectionTable>>,
    threads: Vec<(&'static str, JoinHandle<()>)>,
}

impl<I: RoleInput + AppendResult> ProcessBuilder<I> {
    /// Creates the shared state; starts no thread.
    ///
    /// # Errors
    /// Returns the error of opening the statsd socket.
    pub(super) fn new(
        settings: &ProcessSettings,
        sockets: &BoundSockets,
        log: &Logger,
    ) -> Result<Self, LaunchError> {
        let counters = ProcessCounters::new(settings.statsd, log.clone());
        let counters = counters.context(StartSnafu { thread: "metrics" })?;
        let (inbox, ring) = decision_ring();
        let share = ClientShare::from(settings.machine);
        Ok(Self {
            share,
            budget: ByteBudget::new(share.held_bytes),
            identity: process_identity(settings, sockets),
            clock: HostClock::start(),
            counters: Arc::new(counters),
            inbox,
            log: log.clone(),
            ring,
            tables: Vec::new(),
            threads: Vec::new(),
        })
    }

    /// Returns the limits of the listener with most of the connections.
    pub(super) fn wide_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_body_bytes: MAX_BODY_BYTES,
            ..ConnectionLimits::wide(self.share)
        }
    }

    /// Creates the connection table of a listener; [`Self::run_decisions`] closes it at the end.
    pub(super) fn table(&mut self, limits: ConnectionLimits) -> Arc<ConnectionTable> {
        let counters = Arc::clone(&self.counters);
        let table = ConnectionTable::new(limits, Arc::clone(&self.budget), counters);
        self.tables.push(Arc::clone(&table));
        table
    }

    /// Starts the thread of an HTTP listener.
    pub(super) fn start_http<H>(
        &mut self,
        thread: &'static str,
        bound: BoundListener,
        table: Arc<ConnectionTable>,
        handler: H,
    ) -> Result<(), LaunchError>
    where
        H: NewHandler + 'static,
    {
        let run = move || async move {
            // Fails only if the runtime cannot register the socket.
            if let Ok(listener) = tokio::net::TcpListener::from_std(bound.listener) {
                serve(listener, handler, table).await;
            }
        };
        self.spawn(thread, run)
    }

    pub(super) fn start_operators(&mut self, bound: BoundListener) -> Result<(), LaunchError> {
        let table = self.table(ConnectionLimits::narrow());
        let context = Arc::new(OperatorContext {
            inbox: self.inbox.clone(),
            table: Arc::clone(&table),
        });
        let handler = move || {
            let context = Arc::clone(&context);
            Ok(move |state| operator_handler(context, state))
        };
        self.start_http("operators", bound, table, handler)
    }

    /// Starts the links thread and returns the sender of its commands.
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
        self.spawn("links", run)?;
        Ok(sender)
    }

    /// Starts the control thread and returns the sender of outgoing datagrams.
    pub(super) fn start_control(
        &mut self,
        socket: UdpSocket,
    ) -> Result<mpsc::Sender<crate::control::Datagram>, LaunchError> {
        let (sender, outgoing) = mpsc::channel(CONTROL_RING_CAPACITY);
        let inbox = self.inbox.clone();
        let counters = Arc::clone(&self.counters);
        let run = move || async move {
            if let Ok(socket) = tokio::net::UdpSocket::from_std(socket) {
                let thread = ControlLoop {
                    socket,
                    outgoing,
                    inbox,
                    counters,
                };
                thread.run().await;
            }
        };
        self.spawn("control", run)?;
        Ok(sender)
    }

    /// Starts the log thread and returns the sender of its commands.
    pub(super) fn start_log(
        &mut self,
        address: SocketAddr,
    ) -> Result<mpsc::Sender<LogCommand>, LaunchError> {
        let (sender, commands) = mpsc::channel(LOG_RING_CAPACITY);
        let thread = LogLoop {
            address,
            commands,
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        };
        self.spawn("log", move || thread.run())?;
        Ok(sender)
    }

    /// Starts a thread, which [`Self::run_decisions`] joins at the end.
    pub(super) fn spawn<D, F>(&mut self, thread: &'static str, run: D) -> Result<(), LaunchError>
    where
        D: FnOnce() -> F + Send + 'static,
        F: std::future::Future<Output = ()>,
    {
        let handle = spawn_runtime_thread(thread, run).context(StartSnafu { thread })?;
        self.threads.push((thread, handle));
        Ok(())
    }

    /// Runs the decision thread until the process may exit, then joins all other threads.
    pub(super) fn run_decisions<R>(
        self,
        role_name: &'static str,
        role: R,
        links: mpsc::Sender<crate::links::LinkCommand>,
        control: mpsc::Sender<crate::control::Datagram>,
    ) -> Result<(), LaunchError>
    where
        R: DecisionRole<Input = I> + Send + 'static,
    {
        let context = DecisionContext {
            links,
            control,
            counters: self.counters,
            log: self.log.clone(),
            clock: self.clock,
            process: ProcessInfo {
                role: role_name,
                identity: self.identity,
            },
        };
        let stop = stop_action(&self.tables, &self.inbox, &self.log);
        on_stop(stop).context(StartSnafu { thread: "signals" })?;
        drop(self.inbox);
        let decisions = DecisionLoop::new(role, self.ring, context);
        let handle = Builder::new().name("decisions".into());
        let handle = handle.spawn(move || decisions.run());
        let handle = handle.context(StartSnafu {
            thread: "decisions",
        })?;
        join("decisions", handle)?;
        self.tables.iter().for_each(|table| table.close());
        for (thread, handle) in self.threads {
            join(thread, handle)?;
        }
        Ok(())
    }
}

fn process_identity(settings: &ProcessSettings, sockets: &BoundSockets) -> ProcessIdentity {
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

/// Returns the action of a termination signal: fails readiness, then notifies the decision thread.
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
        // Lost if the decision thread has ended or the ring stays full.
        let _ = inbox.deliver(InboxItem::Input(I::stop_requested()));
    }
}

fn join(thread: &'static str, handle: JoinHandle<()>) -> Result<(), LaunchError> {
    match handle.join() {
        Ok(()) => Ok(()),
        Err(_) => PanickedSnafu { thread }.fail(),
    }
}
