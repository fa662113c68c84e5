//! Small fleet with a desk of the tool, and a watch over the revisions in force.

use crate::common::{ToolDesk, ToolRun};
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

/// Time between looks at the revisions.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Fleet with a desk of the tool.
pub(crate) struct ToolFleet {
    pub(crate) fleet: Fleet,
    pub(crate) desk: ToolDesk,
}

/// Returns the plan of two entries and two data centres with two workers each.
pub(crate) fn small_plan() -> FleetPlan {
    FleetPlan::new(daemon_program())
        .entries(2)
        .data_centre("negombo", 2)
        .data_centre("colombo", 2)
        .service("cask-ledger")
}

/// Returns the daemon's program, which stands beside the tool's.
fn daemon_program() -> PathBuf {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_hornbeamctl")).with_file_name("hornbeamd");
    assert!(
        program.exists(),
        "build it first: cargo build --workspace --bins"
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
        let desk = ToolDesk::new(fleet.log.addr(), &entries);
        fleet.wait_until("all agents are known to all entries", |fleet| {
            let agents = fleet.agents.len();
            let mut entries = fleet.entries.iter();
            entries.all(|entry| known_members(&entry.status()) == agents)
        });
        Self { fleet, desk }
    }

    /// Applies a note that adds a data centre to revision `based_on`, and waits for it.
    pub(crate) fn add_centre(&self, based_on: u64, centre: &str, more: &[&str]) -> ToolRun {
        let id = format!("open-{centre}");
        let file = self.desk.centre_note(&id, &based_on.to_string(), centre);
        self.desk.apply(&file, more)
    }

    /// Waits until a revision is in force in all processes.
    pub(crate) fn await_revision(&self, revision: u64) {
        self.fleet.wait_until("the revision is in force", |fleet| {
            let mut members = fleet.entries.iter().chain(&fleet.agents);
            members.all(|member| member.status()["revision"] == revision)
        });
    }

    /// Starts to watch the revisions of all processes.
    pub(crate) fn watch(&self) -> RevisionWatch {
        let members = self.fleet.entries.iter().chain(&self.fleet.agents);
        let addresses = members.map(|member| member.process.address("operators"));
        RevisionWatch::start(addresses.collect())
    }
}

fn known_members(status: &Value) -> usize {
    status["members"].as_array().map_or(0, Vec::len)
}

/// Watches that no process ever goes back to an older revision.
pub(crate) struct RevisionWatch {
    over: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl RevisionWatch {
    fn start(addresses: Vec<SocketAddr>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&over);
        let thread = std::thread::spawn(move || watch(&addresses, &asked));
        Self { over, thread }
    }

    /// Ends the watch and checks that it saw answers and nothing go back.
    pub(crate) fn finish(self) {
        self.over.store(true, Ordering::Relaxed);
        let seen = self.thread.join().expect("no revision went back");
        assert!(seen > 0, "the watch saw no answer");
    }
}

/// Reads revisions until told to end; returns the number of answers.
fn watch(addresses: &[SocketAddr], over: &AtomicBool) -> usize {
    let mut newest: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    let mut seen = 0;
    while !over.load(Ordering::Relaxed) {
        for address in addresses {
            let request = TestRequest::get(*address, "/status").timeout(LOOK_INTERVAL);
            let Ok(answer) = send_blocking(&request) else {
                continue;
            };
            let status = answer.json();
            let life = status["incarnation"].as_u64().unwrap_or_default();
            let revision = status["revision"].as_u64().expect("a revision is told");
            let known = newest.entry((*address, life)).or_default();
            assert!(
                revision >= *known,
                "{address} went from {known} to {revision}"
            );
            *known = revision;
            seen += 1;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    seen
}
