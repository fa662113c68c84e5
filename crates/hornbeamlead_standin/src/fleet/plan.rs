//! Plan of a fleet: hosts, services, proxies and settings.

use super::Fleet;
use crate::control::patch_settings;
use crate::log::LogControl;
use crate::worker::control::WorkerSettings;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Number of hosts in a rack.
const HOSTS_PER_RACK: usize = 3;

/// Host of an agent and a worker.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Name of the host.
    pub name: Box<str>,
    /// Name of its data centre.
    pub data_centre: Box<str>,
    /// Name of its rack.
    pub rack: Box<str>,
    /// Number of its cell; each data centre is one cell.
    pub cell: u32,
}

/// Builder of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub(crate) program: PathBuf,
    pub(crate) entries: usize,
    pub(crate) hosts: Vec<HostPlan>,
    pub(crate) proxied: bool,
    pub(crate) log: LogControl,
    pub(crate) worker: WorkerSettings,
    entry_settings: Value,
    agent_settings: Value,
    cells: u32,
}

impl FleetPlan {
    /// Creates a plan with one entry and no hosts; `program` is the path of the daemon.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            entries: 1,
            hosts: Vec::new(),
            proxied: false,
            log: LogControl::default(),
            worker: WorkerSettings::default(),
            entry_settings: json!({}),
            agent_settings: json!({}),
            cells: 0,
        }
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Adds a data centre with `hosts` hosts, in one cell, three hosts to a rack.
    #[must_use]
    pub fn data_centre(mut self, name: &str, hosts: usize) -> Self {
        self.cells += 1;
        for index in 0..hosts {
            self.hosts.push(HostPlan {
                name: format!("{name}-{:02}", index + 1).into(),
                data_centre: name.into(),
                rack: format!("{name}-r{}", index / HOSTS_PER_RACK + 1).into(),
                cell: self.cells,
            });
        }
        self
    }

    /// Adds a service that the endpoints of all hosts run.
    #[must_use]
    pub fn service(mut self, name: &str) -> Self {
        self.worker.services.push(name.into());
        self
    }

    /// Adds a fault proxy before each inner listener, and one between each process and the log.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Changes the initial behaviour of the log.
    #[must_use]
    pub fn log(mut self, change: impl FnOnce(&mut LogControl)) -> Self {
        change(&mut self.log);
        self
    }

    /// Changes the settings of all workers.
    #[must_use]
    pub fn workers(mut self, change: impl FnOnce(&mut WorkerSettings)) -> Self {
        change(&mut self.worker);
        self
    }

    /// Merges a patch into the settings of all entries.
    #[must_use]
    pub fn entry_settings(mut self, patch: &Value) -> Self {
        self.entry_settings = patch_value(&self.entry_settings, patch);
        self
    }

    /// Merges a patch into the settings of all agents.
    #[must_use]
    pub fn agent_settings(mut self, patch: &Value) -> Self {
        self.agent_settings = patch_value(&self.agent_settings, patch);
        self
    }

    /// Starts the log, the entries, the agents and the workers, in this order.
    ///
    /// # Panics
    /// Panics if one of them does not start.
    #[must_use]
    pub fn start(self) -> Fleet {
        Fleet::start(self)
    }

    /// Returns the settings of an entry.
    pub(crate) fn entry_json(&self, index: usize, addresses: &NetworkAddresses) -> Value {
        let first = self.hosts.first();
        let data_centre = first.map_or("negombo", |host| &*host.data_centre);
        let settings = json!({
            "role": "entry",
            "host": format!("entry-{:02}", index + 1),
            "data_centre": data_centre,
            "rack": format!("{data_centre}-entries"),
            "seed": index + 1,
            "addresses": {
                "inner": addresses.listen_addr("inner"),
                "callers": addresses.listen_addr("callers"),
                "operators": addresses.listen_addr("operators"),
            },
            "log": {"address": addresses.log},
        });
        self.apply_patch(settings, &self.entry_settings, addresses)
    }

    /// Returns the settings of an agent.
    pub(crate) fn agent_json(&self, index: usize, addresses: &NetworkAddresses) -> Value {
        let host = &self.hosts[index];
        let settings = json!({
            "role": "agent",
            "host": host.name,
            "data_centre": host.data_centre,
            "rack": host.rack,
            "seed": 100 + index,
            "addresses": {
                "inner": addresses.listen_addr("inner"),
                "operators": addresses.listen_addr("operators"),
                "local": addresses.listen_addr("local"),
            },
            "log": {"address": addresses.log},
            "cell": host.cell,
            "entries": addresses.entries,
            "seeds": addresses.seeds,
            "worker": addresses.worker,
            "batch_capacity": {"cpu": "8000m", "memory": "32GiB", "accelerators": 0},
        });
        self.apply_patch(settings, &self.agent_settings, addresses)
    }

    fn apply_patch(&self, settings: Value, patch: &Value, addresses: &NetworkAddresses) -> Value {
        let mut settings = patch_value(&settings, patch);
        if let Some(advertised) = addresses.advertised {
            settings["addresses"]["advertised"] = json!(advertised);
        }
        settings
    }
}

/// Addresses in the settings of a process.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkAddresses {
    /// Address of the log, or of the proxy before it.
    pub(crate) log: Option<SocketAddr>,
    /// Address of the proxy before the inner listener.
    pub(crate) advertised: Option<SocketAddr>,
    /// Inner addresses of the entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// Inner addresses of peers in the same cell.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Address of the worker that the agent is set to.
    pub(crate) worker: Option<SocketAddr>,
    /// Listeners that the previous incarnation of the process has bound.
    pub(crate) bound: Vec<(Box<str>, SocketAddr)>,
}

impl NetworkAddresses {
    /// Returns the address to listen on: that of the previous incarnation, or a free port.
    fn listen_addr(&self, listener: &str) -> SocketAddr {
        let bound = self.bound.iter().find(|(name, _)| &**name == listener);
        bound.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |(_, address)| {
            *address
        })
    }
}

fn patch_value(current: &Value, patch: &Value) -> Value {
    patch_settings(current, patch.to_string().as_bytes())
        .expect("any patch applies to a JSON value")
}
