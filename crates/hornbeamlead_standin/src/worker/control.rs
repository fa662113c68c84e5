//! Settings of a worker, and its behaviour, which tests change at run time.

use hornbeamlead_platform::worker_wire::SizeWire;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a worker at start.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Address that takes calls about tasks.
    pub listen: SocketAddr,
    /// Address that takes requests.
    pub endpoint: SocketAddr,
    /// Address at which the agent takes announcements; `None` for no announcements.
    pub agent: Option<SocketAddr>,
    /// Names of the services that the endpoint runs.
    pub services: Vec<Box<str>>,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of open connections to the endpoint.
    pub connections: u16,
    /// Total resources of the host.
    pub capacity: SizeWire,
    /// Part of the capacity that is reserved for services and not available to tasks.
    pub service_reserve: SizeWire,
    /// Seed of jitter and faults.
    pub seed: u64,
    /// Initial behaviour.
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

/// Fault that an endpoint injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// The endpoint works.
    #[default]
    None,
    /// The endpoint runs the request and responds with status 500.
    Failing,
    /// The endpoint runs the request and closes the connection without a response.
    #[serde(rename = "breaking_off")]
    Disconnecting,
    /// The endpoint runs the request and closes the connection within the response body.
    #[serde(rename = "cutting_off")]
    Truncating,
    /// The endpoint runs the request and never responds; the slot stays in use while the
    /// connection is open.
    Silent,
}

/// Behaviour of the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Service time of a request on an idle host, in microseconds.
    pub time_us: u64,
    /// Maximum random deviation from the service time, in percent.
    pub jitter_percent: u64,
    /// Fault to inject.
    pub fault: ServiceFault,
    /// Percentage of requests into which the fault is injected.
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

/// Actual behaviour of tasks of a kind, which may differ from the declared one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KindBehaviour {
    /// Actual run time, in percent of the declared one.
    pub run_time_percent: u64,
    /// Actual CPU and memory usage, in percent of the reservation.
    pub usage_percent: u64,
    /// Increase of the service time by each running task at full speed, in percent.
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

/// Behaviour of a worker; `POST /_standin/control` on either listener changes it at run time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerControl {
    /// Whether both listeners hold all requests until the worker is unfrozen.
    pub frozen: bool,
    /// Whether announcements say that the endpoint is shutting down.
    pub leaving: bool,
    /// Whether the endpoint sends announcements.
    pub announcing: bool,
    /// Whether tasks started while this is set fail after `fail_after_ms`.
    pub fail_tasks: bool,
    /// Run time of a failing task, in milliseconds at full speed.
    pub fail_after_ms: u64,
    /// Age of usage and latency in reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// Behaviour of tasks, by kind.
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
    /// Returns the behaviour of tasks of a kind.
    #[must_use]
    pub fn kind(&self, kind: &str) -> KindBehaviour {
        self.kinds.get(kind).cloned().unwrap_or_default()
    }
}
