//! Reads the settings, starts the threads of the process and waits until they end.

mod bind;
mod builder;
mod error;
mod roles;
pub(crate) mod thread;

use crate::args::DaemonArgs;
use crate::logs::open_log;
use bind::BoundSockets;
use hornbeamlead_settings::{
    FleetSettings, ProcessSettings, RoleSettings, has_store, read_fleet_settings, read_settings,
};
use slog::{Logger, error, info};
use std::path::Path;
use std::process::ExitCode;

/// Exit status of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Clean stop, or valid settings with `--check`; status 0.
    Done,
    /// The process could not start or a thread failed; status 1.
    Failed,
    /// The settings are unreadable or invalid; status 2.
    BadSettings,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::Failed => Self::from(1),
            ExitStatus::BadSettings => Self::from(2),
        }
    }
}

/// Runs the daemon until it stops or fails.
#[must_use]
pub fn run(args: &DaemonArgs) -> ExitStatus {
    let settings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report}");
            return ExitStatus::BadSettings;
        }
    };
    if args.check {
        println!("{}: no faults found", args.settings.display());
        return ExitStatus::Done;
    }
    match settings {
        LoadedSettings::Requests(settings) => run_requests(&settings),
        LoadedSettings::Fleet(settings) => crate::fleet::run_fleet(&settings, &args.settings),
    }
}

fn run_requests(settings: &ProcessSettings) -> ExitStatus {
    let (host, role) = (settings.host.as_str(), role_name(&settings.role));
    let (log, guard) = open_log(std::io::stderr(), host, role);
    let status = run_process(settings, &log);
    drop(log);
    drop(guard);
    status
}

/// Settings of either kind of process.
enum LoadedSettings {
    /// Live requests and tasks, with the project's own log.
    Requests(Box<ProcessSettings>),
    /// Jobs on a platform with a store.
    Fleet(Box<FleetSettings>),
}

fn load_settings(path: &Path) -> Result<LoadedSettings, Box<str>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    let loaded =
        match has_store(&text) {
            true => read_fleet_settings(&name, &text)
                .map(|settings| LoadedSettings::Fleet(settings.into())),
            false => read_settings(&name, &text)
                .map(|settings| LoadedSettings::Requests(settings.into())),
        };
    loaded.map_err(|findings| findings.to_string().into())
}

fn role_name(role: &RoleSettings) -> &'static str {
    match role {
        RoleSettings::Entry(_) => "entry",
        RoleSettings::Agent(_) => "agent",
    }
}

fn run_process(settings: &ProcessSettings, log: &Logger) -> ExitStatus {
    let sockets = match BoundSockets::open(&settings.addresses) {
        Ok(sockets) => sockets,
        Err(error) => {
            error!(log, ""; "event" => "bind_failed", "cause" => error.to_string());
            return ExitStatus::Failed;
        }
    };
    log_start(&sockets, log);
    match roles::run_role(settings, sockets, log) {
        Ok(()) => {
            info!(log, ""; "event" => "stopped");
            ExitStatus::Done
        }
        Err(error) => {
            error!(log, ""; "event" => "failed", "cause" => error.to_string());
            ExitStatus::Failed
        }
    }
}

/// Logs the bound addresses, which readers of the log need where the settings give port 0.
fn log_start(sockets: &BoundSockets, log: &Logger) {
    let optional = |address: Option<std::net::SocketAddr>| {
        address.map_or_else(|| "none".to_owned(), |address| address.to_string())
    };
    info!(log, ""; "event" => "started",
        "pid" => std::process::id(),
        "inner" => sockets.inner.to_string(),
        "callers" => optional(sockets.callers_address()),
        "operators" => sockets.operators_address().to_string(),
        "local" => optional(sockets.local_address()));
}
