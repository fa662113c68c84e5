//! Entry and agent roles on a platform with a store: sockets, threads and rings around the state
//! machines of `hornbeamlead_jobs`.

mod agent;
mod callers;
mod entry;
mod frames;
mod link_places;
mod links;
mod local;
mod metrics;
mod probes;
mod relay;
mod signals;
mod sinks;
mod start;
mod store;
mod worker;

use crate::launch::ExitStatus;
use crate::logs::open_log;
use hornbeamlead_settings::{FleetRole, FleetSettings};
use signals::install_handlers;
use slog::{error, info};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// Error that ends the process.
#[derive(Debug, Snafu)]
enum FleetError {
    #[snafu(display("cannot listen on {name} address {address}: {source}"))]
    Listen {
        name: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("cannot start the {thread} thread: {source}"))]
    Start {
        thread: &'static str,
        source: io::Error,
    },
    /// A thread that the process depends on has ended.
    #[snafu(display("the {thread} thread has ended"))]
    Ended { thread: &'static str },
}

/// Runs the process in its configured role until it stops or fails.
pub(crate) fn run_fleet(settings: &FleetSettings, path: &Path) -> ExitStatus {
    let role = match settings.role {
        FleetRole::Entry { .. } => "entry",
        FleetRole::Agent { .. } => "agent",
    };
    let signals = install_handlers();
    let (log, guard) = open_log(io::stdout(), settings.host.as_str(), role);
    info!(log, ""; "event" => "started", "pid" => std::process::id(),
        "data_centre" => settings.data_centre.as_str(),
        "inner" => settings.inner.to_string(), "metrics" => settings.metrics.to_string(),
        "store" => settings.store.to_string());
    let thread = "signals";
    let outcome = signals
        .context(StartSnafu { thread })
        .and_then(|signals| match &settings.role {
            FleetRole::Entry { .. } => entry::run_entry(settings, path, signals, &log),
            FleetRole::Agent { .. } => agent::run_agent(settings, path, signals, &log),
        });
    let status = match outcome {
        Ok(()) => {
            info!(log, ""; "event" => "stopped");
            ExitStatus::Done
        }
        Err(error) => {
            error!(log, ""; "event" => "failed", "cause" => error.to_string());
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
