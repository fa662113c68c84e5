//! Fleets for the tests of running processes.
#![allow(dead_code, reason = "each test file uses some of them")]

pub(crate) mod load;

use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::{Fleet, FleetMember, FleetPlan, PATIENCE};
use hornbeamlead_standin::worker::history::RequestRun;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Service of the small fleet.
pub(crate) const SERVICE: &str = "ledger";

/// Plans a fleet of this build's daemon.
pub(crate) fn plan() -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_hornbeamd")).service(SERVICE)
}

/// Starts one entry and one agent and waits until requests pass.
pub(crate) fn small_fleet() -> Fleet {
    let fleet = plan().data_centre("negombo", 1).start();
    publish_base(&fleet);
    await_revision(&fleet, 1);
    await_serving(&fleet);
    fleet
}

/// Declares the data centres of the plan, a team and the service.
pub(crate) fn publish_base(fleet: &Fleet) {
    let mut names: Vec<&str> = fleet.hosts().iter().map(|it| &*it.data_centre).collect();
    names.dedup();
    let data_centres: Vec<Value> = names
        .iter()
        .map(|name| json!({"name": name, "in_service": true}))
        .collect();
    let quota = size(1_000_000, 1_000_000);
    let added = json!({
        "data_centres": data_centres,
        "teams": [{"name": "yard", "quota": quota}],
        "services": [service(SERVICE)],
    });
    fleet.publish("base", &json!({"based_on": 0, "added": added}));
}

/// Declares one more service and returns the offset of the note.
pub(crate) fn declare_service(fleet: &Fleet, name: &str, note: &str) -> u64 {
    let added = json!({"services": [service(name)]});
    fleet.publish(note, &json!({"based_on": null, "added": added}))
}

/// Publishes a job of tasks that take a sixteenth of a worker each.
pub(crate) fn publish_job(fleet: &Fleet, name: &str, tasks: u32, run_time: Duration) -> u64 {
    let deadline = SystemTime::now() + Duration::from_secs(3_600);
    let since_epoch = deadline.duration_since(UNIX_EPOCH).unwrap();
    let job = json!({
        "name": name,
        "team": "yard",
        "kind": "report",
        "tasks": tasks,
        "size": size(1_000, 1_024),
        "run_time_ms": millis(run_time),
        "deadline_unix_ms": millis(since_epoch),
        "priority": 1,
        "urgent": false,
        "delivery": "resumable",
        "checkpoint_every_ms": 500,
    });
    let added = json!({"jobs": [job]});
    fleet.publish(name, &json!({"based_on": null, "added": added}))
}

/// Returns settings of agents with leases short enough for tests.
pub(crate) fn short_leases() -> Value {
    json!({"schedule": {
        "lease": "3s",
        "heartbeat": "200ms",
        "margin": "300ms",
        "tail_validity": "1500ms",
    }})
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap()
}

/// Waits until a revision or a later one is in force in all processes.
pub(crate) fn await_revision(fleet: &Fleet, revision: u64) {
    fleet.await_that("the revision is in force", |fleet| {
        let mut members = fleet.entries.iter().chain(&fleet.agents);
        members.all(|member| {
            let status = member.status();
            status["configuration"]["revision"].as_u64() >= Some(revision)
        })
    });
}

/// Waits until each entry passes requests on.
pub(crate) fn await_serving(fleet: &Fleet) {
    for entry in 0..fleet.entries.len() {
        fleet.await_that("requests pass", |fleet| {
            let request = TestRequest::get(fleet.log.addr(), "/ledger/ready");
            fleet
                .call(entry, request)
                .is_ok_and(|answer| answer.status == 200)
        });
    }
}

/// Words a size without accelerators.
pub(crate) fn size(cpu_millis: u32, memory_mebibytes: u32) -> Value {
    json!({"cpu_millis": cpu_millis, "memory_mebibytes": memory_mebibytes, "accelerators": 0})
}

fn service(name: &str) -> Value {
    json!({
        "name": name,
        "reserve": size(1_000, 1_024),
        "default_timeout_ms": 5_000,
        "max_timeout_ms": 30_000,
    })
}

/// Returns how often a process has counted a refusal.
pub(crate) fn refusal_count(member: &FleetMember, reason: &str) -> u64 {
    let status = member.status();
    status["counters"]["refusals"][reason].as_u64().unwrap_or(0)
}

/// Returns the runs of requests whose path ends so.
pub(crate) fn runs_of(fleet: &Fleet, end: &str) -> Vec<RequestRun> {
    let runs = fleet.runs().into_iter().flat_map(|runs| runs.runs);
    runs.filter(|run| run.path.ends_with(end)).collect()
}

/// Sends bytes and reads until the other side closes the connection.
pub(crate) fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    // The other side may answer and close before all is written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("the connection stays open: {error}"),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}
