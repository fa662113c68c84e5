//! Settings of a worker, and its behaviour that tests change at run time.

use hornbeamlead_platform::worker_wire::SizeWire;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings fixed at start.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Address that takes calls about tasks.
    pub listen: SocketAddr,
    /// Address that takes requests.
    pub endpoint: SocketAddr,
    /// Address where the agent takes announcements; `None` for no announcements.
    pub agent: Option<SocketAddr>,
    /// Services of the endpoint.
    pub services: Vec<Box<str>>,
    /// Requests that the endpoint runs at a time.
    pub slots: u16,
    /// Connections that the endpoint accepts at a time.
    pub connections: u16,
    /// All that the host has.
    pub capacity: SizeWire,
    /// Part of it that the services hold.
    pub service_reserve: SizeWire,
    /// Seed of jitter and faults.
    pub seed: u64,
    /// Behaviour at start.
    pub control: WorkerControl,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            endpoint: any_port,
            agent: None,
            services: Vec::new(),
            slots: 8,
            connections: 64,
            capacity: SizeWire {
                cpu_millis: 16_000,
                memory_mebibytes: 64 * 1024,
                accelerators: 0,
            },
            service_reserve: SizeWire::default(),
            seed: 1,
            control: WorkerControl::default(),
        }
    }
}

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// It answers well.
    #[default]
    None,
    /// It runs the request and answers 500.
    Failing,
    /// It runs the request, then closes the connection without an answer.
    #[serde(rename = "breaking_off")]
    Disconnecting,
    /// It runs the request and closes the connection in the middle of the answer.
    #[serde(rename = "cutting_off")]
    Truncating,
    /// It runs the request and never answers.
    Silent,
}

/// Behaviour of the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Time that a request takes on an idle host, in microseconds.
    pub time_us: u64,
    /// Greatest deviation from it, in percent.
    pub jitter_percent: u64,
    /// Fault.
    pub fault: ServiceFault,
    /// Share of requests that meet the fault.
    pub fault_percent: u8,
}

impl Default for ServiceControl {
    fn default() -> Self {
        Self {
            time_us: 2_000,
            jitter_percent: 20,
            fault: ServiceFault::None,
            fault_percent: 100,
        }
    }
}

/// How tasks of a kind really behave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindBehaviour {
    /// Real run time, in percent of the declared one.
    pub run_time_percent: u64,
    /// Real usage, in percent of the declared size.
    pub usage_percent: u64,
    /// Slowdown of requests by each running task at full speed, in percent.
    pub slowdown_percent: u64,
}

impl Default for KindBehaviour {
    fn default() -> Self {
        Self {
            run_time_percent: 100,
            usage_percent: 100,
            slowdown_percent: 0,
        }
    }
}

/// Behaviour, changeable at run time by `POST /_standin/control` on either listener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerControl {
    /// Whether both listeners leave all requests waiting.
    pub frozen: bool,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// Whether the endpoint announces itself.
    pub announcing: bool,
    /// Whether each task fails after `fail_after_ms`.
    pub fail_tasks: bool,
    /// Run time of a task that fails.
    pub fail_after_ms: u64,
    /// Age of the readings in a report.
    pub usage_lag_ms: u64,
    /// Behaviour of tasks by kind.
    pub kinds: BTreeMap<Box<str>, KindBehaviour>,
    /// Behaviour of the endpoint.
    pub service: ServiceControl,
}

impl Default for WorkerControl {
    fn default() -> Self {
        Self {
            frozen: false,
            leaving: false,
            announcing: true,
            fail_tasks: false,
            fail_after_ms: 50,
            usage_lag_ms: 1_000,
            kinds: BTreeMap::new(),
            service: ServiceControl::default(),
        }
    }
}

impl WorkerControl {
    /// Returns the behaviour of a kind.
    #[must_use]
    pub fn kind(&self, kind: &str) -> KindBehaviour {
        self.kinds.get(kind).cloned().unwrap_or_default()
    }
}
