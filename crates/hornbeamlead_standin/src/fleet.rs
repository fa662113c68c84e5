//! Fleet for integration tests: daemon processes, and stand-ins on threads of the test.
//!
//! The processes run `hornbeamd` on free ports of the loopback address. The log, the workers and
//! the fault proxies run in the test process, so that the test controls and inspects them by
//! methods. Dropping the [`Fleet`] ends everything; during a panic it also prints the last lines
//! of output of each process.

mod member;
mod plan;
mod process;

pub mod checker;

use crate::client::{TestAnswer, TestError, TestRequest, send_blocking};
use crate::http::bind;
use crate::log::LogStandin;
use crate::proxy::ProxyFaults;
use crate::worker::WorkerStandin;
use crate::worker::control::{WorkerControl, WorkerSettings};
use crate::worker::history::{EndpointRuns, WorkerHistory};
use bytes::Bytes;
pub use member::FleetMember;
use member::{MemberProxies, MemberRole};
use plan::NetworkAddresses;
pub use plan::{FleetPlan, HostPlan};
pub use process::DaemonProcess;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of everything that a test waits for, far above the time limits of the design.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Worker of a host, with the records of its earlier incarnations.
#[derive(Debug)]
struct WorkerIncarnations {
    /// Address of all incarnations, which the settings of the agent name.
    address: SocketAddr,
    /// Listener bound for the first incarnation.
    listener: Option<TcpListener>,
    running: Option<WorkerStandin>,
    histories: Vec<WorkerHistory>,
    runs: Vec<EndpointRuns>,
}

impl WorkerIncarnations {
    /// Binds the address of a worker that is not running yet.
    fn bind() -> std::io::Result<Self> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            running: None,
            histories: Vec::new(),
            runs: Vec::new(),
        })
    }
}

/// Running fleet, started by [`FleetPlan::start`].
#[derive(Debug)]
pub struct Fleet {
    /// Entry processes.
    pub entries: Vec<FleetMember>,
    /// Agent processes, one per host, in the order of the plan.
    pub agents: Vec<FleetMember>,
    /// Stand-in of the platform's log.
    pub log: LogStandin,
    workers: Vec<WorkerIncarnations>,
    plan: FleetPlan,
    folder: TempDir,
}

impl Fleet {
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogStandin::start(any_port, plan.log.clone()).expect("the log starts");
        let mut fleet = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            log,
            workers: Vec::new(),
            folder: TempDir::new().expect("a temporary folder can be created"),
            plan,
        };
        fleet.start_entries();
        fleet.start_agents();
        for host in 0..fleet.plan.hosts.len() {
            fleet.start_worker(host);
        }
        fleet
    }

    /// Returns the plan's hosts, in the order of [`Self::agents`].
    #[must_use]
    pub fn hosts(&self) -> &[HostPlan] {
        &self.plan.hosts
    }

    /// Returns the index of a host in [`Self::agents`].
    ///
    /// # Panics
    /// Panics if the plan has no host of that name.
    #[must_use]
    pub fn host_index(&self, name: &str) -> usize {
        let mut hosts = self.plan.hosts.iter();
        let index = hosts.position(|host| &*host.name == name);
        index.expect("the plan has the host")
    }

    /// Starts the worker of a host if it is not running.
    ///
    /// # Panics
    /// Panics if it does not start.
    pub fn start_worker(&mut self, host: usize) {
        let incarnations = &mut self.workers[host];
        if incarnations.running.is_some() {
            return;
        }
        let settings = WorkerSettings {
            listen: incarnations.address,
            agent: Some(self.agents[host].process.address("local")),
            seed: host as u64 + 1,
            ..self.plan.worker.clone()
        };
        let worker = match incarnations.listener.take() {
            Some(listener) => WorkerStandin::start_on(listener, settings),
            None => WorkerStandin::start(settings),
        };
        incarnations.running = Some(worker.expect("the worker starts"));
    }

    /// Kills the worker of a host, with its endpoint and all tasks.
    pub fn kill_worker(&mut self, host: usize) {
        let incarnations = &mut self.workers[host];
        if let Some(worker) = incarnations.running.take() {
            let (history, runs) = worker.stop();
            incarnations.histories.push(history);
            incarnations.runs.push(runs);
        }
    }

    /// Kills the agent and the worker of a host.
    pub fn kill_host(&mut self, host: usize) {
        self.agents[host].process.kill();
        self.kill_worker(host);
    }

    /// Restarts the agent and the worker of a host.
    pub fn restart_host(&mut self, host: usize) {
        self.restart_agent(host);
        self.start_worker(host);
    }

    /// Suspends the agent and the worker of a host until [`Self::unfreeze_host`].
    pub fn freeze_host(&mut self, host: usize) {
        self.control_worker(host, |control| control.frozen = true);
        self.agents[host].process.freeze();
    }

    /// Resumes the agent and the worker of a frozen host.
    pub fn unfreeze_host(&mut self, host: usize) {
        self.agents[host].process.unfreeze();
        self.control_worker(host, |control| control.frozen = false);
    }

    /// Changes the behaviour of the worker of a host, if it is running.
    pub fn control_worker(&self, host: usize, change: impl FnOnce(&mut WorkerControl)) {
        if let Some(worker) = &self.workers[host].running {
            worker.control(change);
        }
    }

    /// Kills an agent and starts it again on the same ports.
    ///
    /// # Panics
    /// Panics if it does not start.
    pub fn restart_agent(&mut self, host: usize) {
        let restarted = self.agents[host].restart(&self.plan);
        restarted.expect("the agent restarts");
    }

    /// Kills an entry and starts it again on the same ports.
    ///
    /// # Panics
    /// Panics if it does not start.
    pub fn restart_entry(&mut self, index: usize) {
        let restarted = self.entries[index].restart(&self.plan);
        restarted.expect("the entry restarts");
    }

    /// Changes the faults of all proxies: those before the inner listeners and before the log.
    pub fn control_network(&self, change: impl Fn(&mut ProxyFaults)) {
        for member in self.members() {
            let proxies = [&member.inner_proxy, &member.log_proxy];
            for proxy in proxies.into_iter().flatten() {
                proxy.control(&change);
            }
        }
    }

    /// Partitions an agent from all other processes, and from the log if `log` is set.
    ///
    /// Datagrams from and to the agent are dropped and connections to it are reset. Connections
    /// that it has opened to other processes stay open.
    ///
    /// # Panics
    /// Panics if the plan has no proxies.
    pub fn isolate_agent(&self, host: usize, log: bool) {
        let source = self.agents[host].process.address("inner");
        self.set_isolation(host, true, log);
        for member in self.members() {
            if let Some(proxy) = &member.inner_proxy {
                proxy.control(|faults| {
                    faults.blocked.insert(source);
                });
            }
        }
    }

    /// Ends the partition made by [`Self::isolate_agent`].
    ///
    /// # Panics
    /// Panics if the plan has no proxies.
    pub fn reconnect_agent(&self, host: usize) {
        let source = self.agents[host].process.address("inner");
        self.set_isolation(host, false, false);
        for member in self.members() {
            if let Some(proxy) = &member.inner_proxy {
                proxy.control(|faults| {
                    faults.blocked.remove(&source);
                });
            }
        }
    }

    /// Appends a release note to the log and returns its offset; sets its id and author.
    pub fn publish(&self, id: &str, note: &Value) -> u64 {
        let mut note = note.clone();
        note["id"] = json!(id);
        note["author"] = json!("test");
        let entry = json!({ "note": note });
        self.log.append("notes", Bytes::from(entry.to_string()))
    }

    /// Publishes a release note that puts a data centre in service or out of service.
    ///
    /// Returns the time of publication, in microseconds since the Unix epoch.
    pub fn set_in_service(&self, data_centre: &str, in_service: bool) -> u64 {
        let now_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |duration| duration.as_micros());
        let changed = json!({"name": data_centre, "in_service": in_service});
        let note = json!({"based_on": null, "changed": {"data_centres": [changed]}});
        self.publish(&format!("{data_centre}-{now_us}"), &note);
        u64::try_from(now_us).unwrap_or(u64::MAX)
    }

    /// Sends a request to the callers' listener of an entry; its address is replaced.
    ///
    /// # Errors
    /// Returns [`TestError`] if no complete response was received in time.
    pub fn call(&self, entry: usize, request: TestRequest) -> Result<TestAnswer, TestError> {
        let address = self.entries[entry].process.address("callers");
        send_blocking(&TestRequest { address, ..request })
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    ///
    /// # Panics
    /// Panics if it does not hold within [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the histories of all workers, including earlier incarnations.
    #[must_use]
    pub fn histories(&self) -> Vec<WorkerHistory> {
        let workers = self.workers.iter();
        workers
            .flat_map(|incarnations| {
                let running = incarnations.running.iter().map(WorkerStandin::history);
                incarnations.histories.iter().cloned().chain(running)
            })
            .collect()
    }

    /// Returns the request runs of all endpoints, including earlier incarnations.
    #[must_use]
    pub fn runs(&self) -> Vec<EndpointRuns> {
        let workers = self.workers.iter();
        workers
            .flat_map(|incarnations| {
                let running = incarnations.running.iter().map(WorkerStandin::runs);
                incarnations.runs.iter().cloned().chain(running)
            })
            .collect()
    }

    fn members(&self) -> impl Iterator<Item = &FleetMember> {
        self.entries.iter().chain(&self.agents)
    }

    fn set_isolation(&self, host: usize, cut: bool, log: bool) {
        let agent = &self.agents[host];
        let inner = agent.inner_proxy.as_ref();
        let inner = inner.expect("the plan has proxies");
        inner.control(|faults| faults.cut = cut);
        if let Some(proxy) = &agent.log_proxy {
            proxy.control(|faults| faults.cut = log);
        }
    }

    fn start_entries(&mut self) {
        for index in 0..self.plan.entries {
            let proxies = self.start_proxies();
            let addresses = NetworkAddresses {
                log: Some(self.log.addr()),
                ..NetworkAddresses::default()
            };
            let entry = self.start_member(MemberRole::Entry(index), addresses, proxies);
            self.entries.push(entry);
        }
    }

    fn start_agents(&mut self) {
        let entries: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(FleetMember::reachable_addr)
            .collect();
        for index in 0..self.plan.hosts.len() {
            let proxies = self.start_proxies();
            let worker = WorkerIncarnations::bind().expect("a port is free");
            let addresses = NetworkAddresses {
                log: Some(self.log.addr()),
                entries: entries.clone(),
                seeds: self.peers_of(index),
                worker: Some(worker.address),
                ..NetworkAddresses::default()
            };
            let agent = self.start_member(MemberRole::Agent(index), addresses, proxies);
            self.workers.push(worker);
            self.agents.push(agent);
        }
    }

    /// Returns the addresses of the agents of the host's cell that have been started already.
    fn peers_of(&self, index: usize) -> Vec<SocketAddr> {
        let cell = self.plan.hosts[index].cell;
        let started = self.agents.iter().zip(&self.plan.hosts);
        let peers = started.filter(|(_, host)| host.cell == cell);
        peers.map(|(agent, _)| agent.reachable_addr()).collect()
    }

    fn start_proxies(&self) -> MemberProxies {
        MemberProxies::start(&self.plan, self.log.addr()).expect("the proxies start")
    }

    fn start_member(
        &self,
        role: MemberRole,
        addresses: NetworkAddresses,
        proxies: MemberProxies,
    ) -> FleetMember {
        let member = FleetMember::start(&self.plan, self.folder.path(), role, addresses, proxies);
        member.expect("the process starts")
    }
}
