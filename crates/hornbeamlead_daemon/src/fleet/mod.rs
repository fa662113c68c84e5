//! Runs jobs on a platform with a store: sockets, threads and rings around `hornbeamlead_jobs`.

mod agent;
mod callers;
mod entry;
mod links;
mod local;
mod metrics;
mod outlets;
mod probes;
mod signals;
mod store;
mod worker;

use crate::launch::ExitStatus;
use crate::logs::open_log;
use hornbeamlead_settings::{FleetRole, FleetSettings};
use signals::take_signals;
use slog::{error, info};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// Reports why a process could not run.
#[derive(Debug, Snafu)]
enum FleetError {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {name} address {address}: {source}"))]
    Listen {
        name: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the {duty} thread: {source}"))]
    Start {
        duty: &'static str,
        source: io::Error,
    },
    /// A thread has ended that all others need.
    #[snafu(display("the {duty} thread has ended"))]
    Ended { duty: &'static str },
}

/// Runs a process of the role in the settings to its end.
pub(crate) fn run_fleet(settings: &FleetSettings, path: &Path) -> ExitStatus {
    let role = match settings.role {
        FleetRole::Entry { .. } => "entry",
        FleetRole::Agent { .. } => "agent",
    };
    let signals = take_signals();
    let (log, guard) = open_log(io::stdout(), settings.host.as_str(), role);
    info!(log, ""; "event" => "started", "pid" => std::process::id(),
        "data_centre" => settings.data_centre.as_str(),
        "inner" => settings.inner.to_string(), "metrics" => settings.metrics.to_string(),
        "store" => settings.store.to_string());
    let duty = "signals";
    let outcome = signals
        .context(StartSnafu { duty })
        .and_then(|signals| match &settings.role {
            FleetRole::Entry { .. } => entry::run_entry(settings, path, signals, &log),
            FleetRole::Agent { .. } => agent::run_agent(settings, path, signals, &log),
        });
    let status = match outcome {
        Ok(()) => {
            info!(log, ""; "event" => "stopped");
            ExitStatus::Done
        }
        Err(fault) => {
            error!(log, ""; "event" => "failed", "cause" => fault.to_string());
            ExitStatus::Failed
        }
    };
    drop(log);
    drop(guard);
    status
}

fn listen(name: &'static str, address: SocketAddr) -> Result<TcpListener, FleetError> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    open().context(ListenSnafu { name, address })
}
