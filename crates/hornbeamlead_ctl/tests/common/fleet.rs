//! Small fleet with a workspace of the tool, and a monitor of the revisions in force.

use crate::common::{ToolRun, ToolWorkspace};
use hornbeamlead_standin::client::{TestRequest, send_blocking};
use hornbeamlead_standin::fleet::{Fleet, FleetPlan};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Delay between polls, and timeout of a request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fleet and a workspace of the tool that uses it.
pub(crate) struct ToolFleet {
    pub(crate) fleet: Fleet,
    pub(crate) workspace: ToolWorkspace,
}

/// Returns a plan with two entries and two data centres of two workers each.
pub(crate) fn small_plan() -> FleetPlan {
    FleetPlan::new(daemon_program())
        .entries(2)
        .data_centre("negombo", 2)
        .data_centre("colombo", 2)
        .service("cask-ledger")
}

/// Returns the path of the daemon, which is built into the same directory as the tool.
fn daemon_program() -> PathBuf {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_hornbeamctl")).with_file_name("hornbeamd");
    assert!(
        program.exists(),
        "the daemon is not built; run: cargo build --workspace --bins"
    );
    program
}

impl ToolFleet {
    /// Starts a fleet and waits until all processes are known to all entries.
    pub(crate) fn start(plan: FleetPlan) -> Self {
        let fleet = plan.start();
        let entries: Vec<SocketAddr> = fleet
            .entries
            .iter()
            .map(|entry| entry.process.address("operators"))
            .collect();
        let workspace = ToolWorkspace::new(fleet.log.addr(), &entries);
        fleet.wait_until("all agents are known to all entries", |fleet| {
            let agents = fleet.agents.len();
            let mut entries = fleet.entries.iter();
            entries.all(|entry| known_members(&entry.status()) == agents)
        });
        Self { fleet, workspace }
    }

    /// Applies a note based on revision `based_on` that adds a data centre.
    pub(crate) fn add_centre(&self, based_on: u64, centre: &str, extra_args: &[&str]) -> ToolRun {
        let id = format!("open-{centre}");
        let file = self
            .workspace
            .centre_note(&id, &based_on.to_string(), centre);
        self.workspace.apply(&file, extra_args)
    }

    /// Waits until a revision is in force in all processes.
    pub(crate) fn await_revision(&self, revision: u64) {
        self.fleet.wait_until("the revision is in force", |fleet| {
            let mut members = fleet.entries.iter().chain(&fleet.agents);
            members.all(|member| member.status()["revision"] == revision)
        });
    }

    /// Starts a monitor of the revisions of all processes.
    pub(crate) fn monitor(&self) -> RevisionMonitor {
        let members = self.fleet.entries.iter().chain(&self.fleet.agents);
        let addresses = members.map(|member| member.process.address("operators"));
        RevisionMonitor::start(addresses.collect())
    }
}

fn known_members(status: &Value) -> usize {
    status["members"].as_array().map_or(0, Vec::len)
}

/// Checks in the background that no process returns to an older revision within one incarnation.
pub(crate) struct RevisionMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl RevisionMonitor {
    fn start(addresses: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = std::thread::spawn(move || monitor(&addresses, &stop_flag));
        Self { stop, thread }
    }

    /// Stops the monitor; panics if a revision went back or no process ever answered.
    pub(crate) fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        let responses = self.thread.join().expect("no revision went back");
        assert!(responses > 0, "no process answered the monitor");
    }
}

/// Polls revisions until `stop` is set and returns the number of responses.
fn monitor(addresses: &[SocketAddr], stop: &AtomicBool) -> usize {
    let mut newest: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    let mut responses = 0;
    while !stop.load(Ordering::Relaxed) {
        for address in addresses {
            let request = TestRequest::get(*address, "/status").timeout(POLL_INTERVAL);
            let Ok(answer) = send_blocking(&request) else {
                continue;
            };
            let status = answer.json();
            let incarnation = status["incarnation"].as_u64().unwrap_or_default();
            let revision = status["revision"]
                .as_u64()
                .expect("the status contains a revision");
            let known = newest.entry((*address, incarnation)).or_default();
            assert!(
                revision >= *known,
                "{address} went back from revision {known} to {revision}"
            );
            *known = revision;
            responses += 1;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    responses
}
