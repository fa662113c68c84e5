//! Fleets, notes and load for the tests of running processes.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod load;
pub(crate) mod probes;

use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};
use std::time::{SystemTime, UNIX_EPOCH};

/// Service that the endpoints run.
pub(crate) const SERVICE: &str = "ledger";

/// Returns a fleet plan that uses this build's daemon.
pub(crate) fn plan() -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_hornbeamd")).service(SERVICE)
}

/// Declares the plan's data centres, a team and the service, and waits until requests pass.
pub(crate) fn open_service(fleet: &Fleet) {
    let mut names: Vec<&str> = fleet.hosts().iter().map(|it| &*it.data_centre).collect();
    names.dedup();
    let data_centres: Vec<Value> = names.iter().map(|it| data_centre(it, true)).collect();
    let added = json!({
        "data_centres": data_centres,
        "teams": [{"name": "yard", "quota": size(1_000_000, 1_000_000)}],
        "services": [service(SERVICE)],
    });
    fleet.publish("base", &json!({"based_on": 0, "added": added}));
    await_revision(fleet, 1);
    for entry in 0..fleet.entries.len() {
        await_members(fleet, entry);
        fleet.wait_until("requests pass", |fleet| {
            get(fleet, entry, "/ledger/ready") == 200
        });
    }
}

/// Waits until all processes have applied a revision or a later one.
pub(crate) fn await_revision(fleet: &Fleet, revision: u64) {
    fleet.wait_until("all processes have applied the revision", |fleet| {
        let mut members = fleet.entries.iter().chain(&fleet.agents);
        members.all(|it| it.status()["revision"].as_u64() >= Some(revision))
    });
}

/// Waits until an entry knows all agents and their services.
pub(crate) fn await_members(fleet: &Fleet, entry: usize) {
    fleet.wait_until("the entry knows all agents", |fleet| {
        let status = fleet.entries[entry].status();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|it| it["state"] == "serving").count() == fleet.agents.len()
    });
}

/// Returns the JSON of a service.
pub(crate) fn service(name: &str) -> Value {
    json!({
        "name": name,
        "reserve": size(1_000, 1_024),
        "default_timeout_ms": 5_000,
        "max_timeout_ms": 30_000,
    })
}

/// Returns the JSON of a data centre.
pub(crate) fn data_centre(name: &str, in_service: bool) -> Value {
    json!({"name": name, "in_service": in_service})
}

/// Returns the JSON of a size without accelerators.
pub(crate) fn size(cpu_millis: u32, memory_mebibytes: u32) -> Value {
    json!({"cpu_millis": cpu_millis, "memory_mebibytes": memory_mebibytes, "accelerators": 0})
}

/// Returns the JSON of a note that adds a job.
pub(crate) fn job_note(name: &str, tasks: u32, run_time_ms: u64) -> Value {
    let job = json!({
        "name": name,
        "team": "yard",
        "kind": "seasoning",
        "tasks": tasks,
        "size": size(1_000, 1_024),
        "run_time_ms": run_time_ms,
        "deadline_unix_ms": unix_ms() + 600_000,
        "priority": 1,
        "urgent": false,
        "delivery": "resumable",
        "checkpoint_every_ms": 500,
    });
    json!({"based_on": null, "added": {"jobs": [job]}})
}

/// Returns the status of a GET through an entry, or 0 if there is no answer.
pub(crate) fn get(fleet: &Fleet, entry: usize, path: &str) -> u16 {
    let request = TestRequest::get(fleet.log.addr(), path);
    let answer = fleet.call(entry, request);
    answer.map_or(0, |answer| answer.status.as_u16())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}
