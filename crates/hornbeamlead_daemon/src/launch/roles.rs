//! Starts the threads of each role.

use super::bind::{BoundListener, BoundSockets};
use super::builder::ProcessBuilder;
use super::error::{LaunchError, NoListenerSnafu};
use crate::decision::{AgentChannels, AgentRole, EntryChannels, EntryInput, EntryRole};
use crate::platform::{
    ENDPOINT_RING_CAPACITY, EndpointCommand, EndpointLoop, WORKER_RING_CAPACITY, WorkerCommand,
    WorkerLoop,
};
use crate::web::{
    CallerContext, ConnectionLimits, LocalContext, MAX_ANNOUNCE_BYTES, call_handler, local_handler,
};
use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::policy::{AgentPolicy, EntryPolicy};
use hornbeamlead_request::entry::EntryMachine;
use hornbeamlead_settings::{ProcessSettings, RoleSettings};
use slog::Logger;
use snafu::OptionExt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::mpsc;

/// Runs the process in its configured role until it stops or fails.
///
/// # Errors
/// Returns the error of a thread that could not be started or that panicked.
pub(super) fn run_role(
    settings: &ProcessSettings,
    sockets: BoundSockets,
    log: &Logger,
) -> Result<(), LaunchError> {
    match &settings.role {
        RoleSettings::Entry(policy) => run_entry(settings, policy, sockets, log),
        RoleSettings::Agent(policy) => run_agent(settings, policy, sockets, log),
    }
}

fn run_entry(
    settings: &ProcessSettings,
    policy: &EntryPolicy,
    sockets: BoundSockets,
    log: &Logger,
) -> Result<(), LaunchError> {
    let mut builder = ProcessBuilder::<EntryInput>::new(settings, &sockets, log)?;
    let listener = "callers";
    let callers = sockets.callers.context(NoListenerSnafu { listener })?;
    let links = builder.start_links(sockets.links)?;
    let control = builder.start_control(sockets.control)?;
    let log_ring = builder.start_log(settings.log)?;
    builder.start_operators(sockets.operators)?;
    start_callers(&mut builder, callers)?;
    let machine = EntryMachine::new(builder.identity.clone(), policy.clone());
    let role = EntryRole::new(machine, EntryChannels { log: log_ring });
    builder.run_decisions("entry", role, links, control)
}

fn start_callers(
    builder: &mut ProcessBuilder<EntryInput>,
    bound: BoundListener,
) -> Result<(), LaunchError> {
    let table = builder.table(builder.wide_limits());
    let context = Arc::new(CallerContext {
        host: builder.identity.host.clone(),
        incarnation: builder.identity.incarnation,
        inbox: builder.inbox.clone(),
        counters: Arc::clone(&builder.counters),
        clock: builder.clock,
        table: Arc::clone(&table),
        last_ticket: AtomicU64::new(0),
    });
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| call_handler(context, state))
    };
    builder.start_http("callers", bound, table, handler)
}

fn run_agent(
    settings: &ProcessSettings,
    policy: &AgentPolicy,
    sockets: BoundSockets,
    log: &Logger,
) -> Result<(), LaunchError> {
    let mut builder = ProcessBuilder::<AgentEvent>::new(settings, &sockets, log)?;
    let listener = "local";
    let local = sockets.local.context(NoListenerSnafu { listener })?;
    let links = builder.start_links(sockets.links)?;
    let control = builder.start_control(sockets.control)?;
    let channels = AgentChannels {
        log: builder.start_log(settings.log)?,
        worker: start_worker(&mut builder)?,
        endpoint: start_endpoint(&mut builder)?,
    };
    builder.start_operators(sockets.operators)?;
    start_local(&mut builder, local)?;
    let machine = AgentMachine::new(builder.identity.clone(), policy.clone());
    builder.run_decisions("agent", AgentRole::new(machine, channels), links, control)
}

fn start_worker(
    builder: &mut ProcessBuilder<AgentEvent>,
) -> Result<mpsc::Sender<WorkerCommand>, LaunchError> {
    let (sender, commands) = mpsc::channel(WORKER_RING_CAPACITY);
    let thread = WorkerLoop {
        commands,
        inbox: builder.inbox.clone(),
        counters: Arc::clone(&builder.counters),
        clock: builder.clock,
    };
    builder.spawn("worker", move || thread.run())?;
    Ok(sender)
}

fn start_endpoint(
    builder: &mut ProcessBuilder<AgentEvent>,
) -> Result<mpsc::Sender<EndpointCommand>, LaunchError> {
    let (sender, commands) = mpsc::channel(ENDPOINT_RING_CAPACITY);
    let thread = EndpointLoop {
        commands,
        inbox: builder.inbox.clone(),
        counters: Arc::clone(&builder.counters),
        clock: builder.clock,
    };
    builder.spawn("endpoint", move || thread.run())?;
    Ok(sender)
}

fn start_local(
    builder: &mut ProcessBuilder<AgentEvent>,
    bound: BoundListener,
) -> Result<(), LaunchError> {
    let limits = ConnectionLimits {
        max_body_bytes: MAX_ANNOUNCE_BYTES,
        ..ConnectionLimits::narrow()
    };
    let table = builder.table(limits);
    let context = Arc::new(LocalContext {
        inbox: builder.inbox.clone(),
        counters: Arc::clone(&builder.counters),
        table: Arc::clone(&table),
    });
    let handler = move || {
        let context = Arc::clone(&context);
        Ok(move |state| local_handler(context, state))
    };
    builder.start_http("local", bound, table, handler)
}
