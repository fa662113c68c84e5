//! Starts a whole fleet for a test: processes of the daemon, and stand-ins within the test.
//!
//! Processes run `hornbeamd` on free ports of the loopback address. The log, the workers and the
//! fault proxies run on threads of the test, so that it can steer and read them by methods. All
//! ends when the [`Fleet`] is dropped, also in a panic, which prints the newest output of each
//! process.

mod member;
mod plan;
mod process;

pub mod checker;

use crate::client::{TestAnswer, TestError, TestRequest, send_blocking};
use crate::log::LogStandin;
use crate::proxy::ProxyFaults;
use crate::worker::WorkerStandin;
use crate::worker::control::{WorkerControl, WorkerSettings};
use crate::worker::history::{EndpointRuns, WorkerHistory};
use bytes::Bytes;
pub use member::FleetMember;
use member::{MemberProxies, MemberRole};
use plan::NetworkPlace;
pub use plan::{FleetPlan, HostPlan};
pub use process::DaemonProcess;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

/// Time between looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time allowed to anything that a test waits for, far above what the design promises.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Worker of a host with what its earlier lives did.
#[derive(Debug, Default)]
struct WorkerLives {
    running: Option<WorkerStandin>,
    histories: Vec<WorkerHistory>,
    runs: Vec<EndpointRuns>,
}

/// Running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Entries.
    pub entries: Vec<FleetMember>,
    /// Agents, one to a host, in the order of the plan.
    pub agents: Vec<FleetMember>,
    /// The platform's log.
    pub log: LogStandin,
    workers: Vec<WorkerLives>,
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
            folder: TempDir::new().expect("a temporary folder can be made"),
            plan,
        };
        fleet.start_entries();
        fleet.start_agents();
        for host in 0..fleet.plan.hosts.len() {
            fleet.workers.push(WorkerLives::default());
            fleet.start_worker(host);
        }
        fleet
    }

    /// Returns the plan's hosts, in the order of [`Self::agents`].
    #[must_use]
    pub fn hosts(&self) -> &[HostPlan] {
        &self.plan.hosts
    }

    /// Returns the index of a host.
    ///
    /// # Panics
    /// Panics when the plan has no such host.
    #[must_use]
    pub fn host_index(&self, name: &str) -> usize {
        let mut hosts = self.plan.hosts.iter();
        let index = hosts.position(|host| &*host.name == name);
        index.expect("the plan has the host")
    }

    /// Starts the worker of a host, unless it runs.
    ///
    /// # Panics
    /// Panics when it does not start.
    pub fn start_worker(&mut self, host: usize) {
        let settings = WorkerSettings {
            agent: Some(self.agents[host].process.address("local")),
            seed: host as u64 + 1,
            ..self.plan.worker.clone()
        };
        let worker = &mut self.workers[host].running;
        worker.get_or_insert_with(|| WorkerStandin::start(settings).expect("the worker starts"));
    }

    /// Ends the worker of a host at once, with its endpoint and all tasks.
    pub fn kill_worker(&mut self, host: usize) {
        let lives = &mut self.workers[host];
        if let Some(worker) = lives.running.take() {
            let (history, runs) = worker.stop();
            lives.histories.push(history);
            lives.runs.push(runs);
        }
    }

    /// Ends agent and worker of a host at once.
    pub fn kill_host(&mut self, host: usize) {
        self.agents[host].process.kill();
        self.kill_worker(host);
    }

    /// Starts agent and worker of a host again.
    pub fn restart_host(&mut self, host: usize) {
        self.restart_agent(host);
        self.start_worker(host);
    }

    /// Stops agent and worker of a host until [`Self::unfreeze_host`].
    pub fn freeze_host(&mut self, host: usize) {
        self.control_worker(host, |control| control.frozen = true);
        self.agents[host].process.freeze();
    }

    /// Lets a frozen host go on.
    pub fn unfreeze_host(&mut self, host: usize) {
        self.agents[host].process.unfreeze();
        self.control_worker(host, |control| control.frozen = false);
    }

    /// Changes the behaviour of the worker of a host, if it runs.
    pub fn control_worker(&self, host: usize, change: impl FnOnce(&mut WorkerControl)) {
        if let Some(worker) = &self.workers[host].running {
            worker.control(change);
        }
    }

    /// Ends an agent and starts it again on the same ports.
    ///
    /// # Panics
    /// Panics when it does not start.
    pub fn restart_agent(&mut self, host: usize) {
        let restarted = self.agents[host].restart(&self.plan);
        restarted.expect("the agent starts again");
    }

    /// Ends an entry and starts it again on the same ports.
    ///
    /// # Panics
    /// Panics when it does not start.
    pub fn restart_entry(&mut self, index: usize) {
        let restarted = self.entries[index].restart(&self.plan);
        restarted.expect("the entry starts again");
    }

    /// Changes the faults of all proxies: before inner listeners and before the log.
    pub fn control_network(&self, change: impl Fn(&mut ProxyFaults)) {
        for member in self.members() {
            let proxies = [&member.inner_proxy, &member.log_proxy];
            for proxy in proxies.into_iter().flatten() {
                proxy.control(&change);
            }
        }
    }

    /// Cuts an agent off from all other processes, and from the log if `log` says so.
    ///
    /// What it sends as datagrams is dropped, what is sent to it too. Links that it has opened
    /// itself stay.
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

    /// Ends the isolation of an agent.
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

    /// Appends a release note, given without its id, and returns its offset.
    pub fn publish(&self, id: &str, note: &Value) -> u64 {
        let mut note = note.clone();
        note["id"] = json!(id);
        note["author"] = json!("test");
        let entry = json!({ "note": note });
        self.log.append("notes", Bytes::from(entry.to_string()))
    }

    /// Publishes that a data centre is in service, or is not; returns the time of it.
    ///
    /// The time is in microseconds since the Unix epoch.
    pub fn set_in_service(&self, data_centre: &str, in_service: bool) -> u64 {
        let now_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_micros());
        let changed = json!({"name": data_centre, "in_service": in_service});
        let note = json!({"based_on": null, "changed": {"data_centres": [changed]}});
        self.publish(&format!("{data_centre}-{now_us}"), &note);
        u64::try_from(now_us).unwrap_or(u64::MAX)
    }

    /// Sends a request to the callers' listener of an entry.
    ///
    /// # Errors
    /// Returns [`TestError`] when no whole answer came in time.
    pub fn call(&self, entry: usize, request: TestRequest) -> Result<TestAnswer, TestError> {
        let address = self.entries[entry].process.address("callers");
        send_blocking(&TestRequest { address, ..request })
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    /// Panics when it does not hold within [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "waited in vain until {what}");
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Returns what all workers did, earlier lives included.
    #[must_use]
    pub fn histories(&self) -> Vec<WorkerHistory> {
        let lives = self.workers.iter();
        lives
            .flat_map(|lives| {
                let running = lives.running.iter().map(WorkerStandin::history);
                lives.histories.iter().cloned().chain(running)
            })
            .collect()
    }

    /// Returns what all endpoints did, earlier lives included.
    #[must_use]
    pub fn runs(&self) -> Vec<EndpointRuns> {
        let lives = self.workers.iter();
        lives
            .flat_map(|lives| {
                let running = lives.running.iter().map(WorkerStandin::runs);
                lives.runs.iter().cloned().chain(running)
            })
            .collect()
    }

    fn members(&self) -> impl Iterator<Item = &FleetMember> {
        self.entries.iter().chain(&self.agents)
    }

    fn set_isolation(&self, host: usize, cut: bool, log: bool) {
        let agent = &self.agents[host];
        let inner = agent.inner_proxy.as_ref();
        let inner = inner.expect("the plan asks for proxies");
        inner.control(|faults| faults.cut = cut);
        if let Some(proxy) = &agent.log_proxy {
            proxy.control(|faults| faults.cut = log);
        }
    }

    fn start_entries(&mut self) {
        for index in 0..self.plan.entries {
            let proxies = self.start_proxies();
            let place = NetworkPlace {
                log: Some(self.log.addr()),
                ..NetworkPlace::default()
            };
            let entry = self.start_member(MemberRole::Entry(index), place, proxies);
            self.entries.push(entry);
        }
    }

    fn start_agents(&mut self) {
        let entries: Vec<SocketAddr> = self.entries.iter().map(FleetMember::reached_at).collect();
        for index in 0..self.plan.hosts.len() {
            let proxies = self.start_proxies();
            let place = NetworkPlace {
                log: Some(self.log.addr()),
                entries: entries.clone(),
                seeds: self.peers_of(index),
                ..NetworkPlace::default()
            };
            let agent = self.start_member(MemberRole::Agent(index), place, proxies);
            self.agents.push(agent);
        }
    }

    /// Returns the addresses of those agents of a host's cell that have started before it.
    fn peers_of(&self, index: usize) -> Vec<SocketAddr> {
        let cell = self.plan.hosts[index].cell;
        let started = self.agents.iter().zip(&self.plan.hosts);
        let peers = started.filter(|(_, host)| host.cell == cell);
        peers.map(|(agent, _)| agent.reached_at()).collect()
    }

    fn start_proxies(&self) -> MemberProxies {
        MemberProxies::start(&self.plan, self.log.addr()).expect("the proxies start")
    }

    fn start_member(
        &self,
        role: MemberRole,
        place: NetworkPlace,
        proxies: MemberProxies,
    ) -> FleetMember {
        let member = FleetMember::start(&self.plan, self.folder.path(), role, place, proxies);
        member.expect("the process starts")
    }
}
