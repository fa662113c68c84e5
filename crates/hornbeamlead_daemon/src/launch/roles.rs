//! Puts the threads of each role together.

use super::bind::{BoundListener, BoundSockets};
use super::error::{LaunchError, NoListenerSnafu};
use super::parts::ProcessParts;
use crate::decision::{AgentChannels, AgentRole, EntryChannels, EntryInput, EntryRole};
use crate::platform::{
    ENDPOINT_RING_CAPACITY, EndpointCommand, EndpointLoop, WORKER_RING_CAPACITY, WorkerCommand,
    WorkerLoop,
};
use crate::web::{CallerContext, LocalContext, call_handler, local_handler};
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

/// Runs a process of the role in the settings to its end.
///
/// # Errors
/// Returns what could not be started, or the thread that failed.
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
    let mut parts = ProcessParts::<EntryInput>::new(settings, &sockets, log)?;
    let listener = "callers";
    let callers = sockets.callers.context(NoListenerSnafu { listener })?;
    let links = parts.start_links(sockets.links)?;
    let control = parts.start_control(sockets.control)?;
    let log_ring = parts.start_log(settings.log)?;
    parts.start_operators(sockets.operators)?;
    start_callers(&mut parts, callers)?;
    let machine = EntryMachine::new(parts.place.clone(), policy.clone());
    let role = EntryRole::new(machine, EntryChannels { log: log_ring });
    parts.decide("entry", role, links, control)
}

fn start_callers(
    parts: &mut ProcessParts<EntryInput>,
    bound: BoundListener,
) -> Result<(), LaunchError> {
    let table = parts.table();
    let desk = Arc::new(CallerContext {
        host: parts.place.host.clone(),
        incarnation: parts.place.incarnation,
        inbox: parts.inbox.clone(),
        counters: Arc::clone(&parts.counters),
        clock: parts.clock,
        table: Arc::clone(&table),
        last_ticket: AtomicU64::new(0),
    });
    let handler = move || {
        let desk = Arc::clone(&desk);
        Ok(move |state| call_handler(desk, state))
    };
    parts.start_web("callers", bound, table, handler)
}

fn run_agent(
    settings: &ProcessSettings,
    policy: &AgentPolicy,
    sockets: BoundSockets,
    log: &Logger,
) -> Result<(), LaunchError> {
    let mut parts = ProcessParts::<AgentEvent>::new(settings, &sockets, log)?;
    let listener = "local";
    let local = sockets.local.context(NoListenerSnafu { listener })?;
    let links = parts.start_links(sockets.links)?;
    let control = parts.start_control(sockets.control)?;
    let outlets = AgentChannels {
        log: parts.start_log(settings.log)?,
        worker: start_worker(&mut parts)?,
        endpoint: start_endpoint(&mut parts)?,
    };
    parts.start_operators(sockets.operators)?;
    start_local(&mut parts, local)?;
    let machine = AgentMachine::new(parts.place.clone(), policy.clone());
    parts.decide("agent", AgentRole::new(machine, outlets), links, control)
}

fn start_worker(
    parts: &mut ProcessParts<AgentEvent>,
) -> Result<mpsc::Sender<WorkerCommand>, LaunchError> {
    let (sender, commands) = mpsc::channel(WORKER_RING_CAPACITY);
    let duty = WorkerLoop {
        commands,
        inbox: parts.inbox.clone(),
        counters: Arc::clone(&parts.counters),
        clock: parts.clock,
    };
    parts.start("worker", move || duty.run())?;
    Ok(sender)
}

fn start_endpoint(
    parts: &mut ProcessParts<AgentEvent>,
) -> Result<mpsc::Sender<EndpointCommand>, LaunchError> {
    let (sender, commands) = mpsc::channel(ENDPOINT_RING_CAPACITY);
    let duty = EndpointLoop {
        commands,
        inbox: parts.inbox.clone(),
        counters: Arc::clone(&parts.counters),
        clock: parts.clock,
    };
    parts.start("endpoint", move || duty.run())?;
    Ok(sender)
}

fn start_local(
    parts: &mut ProcessParts<AgentEvent>,
    bound: BoundListener,
) -> Result<(), LaunchError> {
    let table = parts.table();
    let desk = Arc::new(LocalContext {
        inbox: parts.inbox.clone(),
        counters: Arc::clone(&parts.counters),
        table: Arc::clone(&table),
    });
    let handler = move || {
        let desk = Arc::clone(&desk);
        Ok(move |state| local_handler(desk, state))
    };
    parts.start_web("local", bound, table, handler)
}
