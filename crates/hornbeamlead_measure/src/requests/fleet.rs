//! Fleet of real processes that serves the measured requests.

use super::load::{self, LoadPlan, LoadResult};
use super::scenario::{HOSTS_PER_DATA_CENTRE, Scenario, healthy_service};
use crate::report::MeasureError;
use hornbeamlead_standin::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Service that all requests call.
const SERVICE: &str = "ledger";

/// Number of entries, each with its own load generator.
const ENTRIES: usize = 2;

/// Numbers of refusals or retries by reason.
pub(super) type ReasonCounts = BTreeMap<Box<str>, u64>;

/// Fleet whose entries use one balancing policy.
pub(super) struct RequestFleet {
    fleet: Fleet,
}

impl RequestFleet {
    /// Starts a fleet whose entries use `policy`, and declares its service.
    ///
    /// # Errors
    /// Returns [`MeasureError`] when the daemon was not built.
    pub(super) fn start(policy: &str) -> Result<Self, MeasureError> {
        let fleet = FleetPlan::new(daemon_path()?)
            .service(SERVICE)
            .entries(ENTRIES)
            .data_centre("negombo", HOSTS_PER_DATA_CENTRE)
            .data_centre("colombo", HOSTS_PER_DATA_CENTRE)
            .entry_settings(&json!({"requests": {"balance": policy}}))
            .workers(|worker| worker.control.service = healthy_service())
            .start();
        let size = json!({"cpu_millis": 1_000, "memory_mebibytes": 1_024, "accelerators": 0});
        let note = json!({"based_on": 0, "added": {
            "data_centres": [
                {"name": "negombo", "in_service": true},
                {"name": "colombo", "in_service": true},
            ],
            "services": [{
                "name": SERVICE,
                "reserve": size,
                "default_timeout_ms": 1_000,
                "max_timeout_ms": 2_000,
            }],
        }});
        fleet.publish("base", &note);
        fleet.wait_until("the entries know all agents", |fleet| {
            fleet.entries.iter().all(|entry| {
                let status = entry.status();
                let members = status["members"].as_array().map_or(0, Vec::len);
                members == 2 * HOSTS_PER_DATA_CENTRE && status["revision"].as_u64() >= Some(1)
            })
        });
        Ok(Self { fleet })
    }

    /// Runs the load of a scenario and returns its result.
    ///
    /// # Errors
    /// Returns [`MeasureError`] when the load could not be offered.
    pub(super) fn measure(&self, scenario: Scenario) -> Result<LoadResult, MeasureError> {
        std::thread::sleep(scenario.cooldown());
        let service = scenario.first_worker_control();
        self.fleet
            .control_worker(0, |control| control.service = service);
        let before = self.counts();
        let plan = LoadPlan {
            rate: scenario.rate(),
            duration: scenario.duration(),
            path: format!("/{SERVICE}/orders"),
            keyed: scenario == Scenario::Keyed,
            entries: self
                .fleet
                .entries
                .iter()
                .map(|entry| entry.process.address("callers"))
                .collect(),
        };
        let mut result = load::offer(&plan)?;
        let after = self.counts();
        self.fleet
            .control_worker(0, |control| control.service = healthy_service());
        result.refusals = increase_of(&before.0, &after.0);
        result.retries = increase_of(&before.1, &after.1);
        Ok(result)
    }

    /// Returns the refusals and the retries counted by all entries so far.
    fn counts(&self) -> (ReasonCounts, ReasonCounts) {
        let mut refusals = ReasonCounts::new();
        let mut retries = ReasonCounts::new();
        for entry in &self.fleet.entries {
            let status = entry.status();
            add_counts(&mut refusals, &status["counters"]["refusals"]);
            add_counts(&mut retries, &status["counters"]["retries"]);
        }
        (refusals, retries)
    }
}

fn add_counts(counts: &mut ReasonCounts, reported: &Value) {
    for (reason, count) in reported.as_object().into_iter().flatten() {
        *counts.entry(reason.as_str().into()).or_default() += count.as_u64().unwrap_or(0);
    }
}

fn increase_of(before: &ReasonCounts, after: &ReasonCounts) -> ReasonCounts {
    let earlier = |reason: &str| before.get(reason).copied().unwrap_or(0);
    after
        .iter()
        .map(|(reason, count)| (reason.clone(), count.saturating_sub(earlier(reason))))
        .filter(|(_, count)| *count > 0)
        .collect()
}

/// Returns the path of the daemon, which has to be in the directory of this program.
fn daemon_path() -> Result<PathBuf, MeasureError> {
    let executable = std::env::current_exe().map_err(MeasureError::new)?;
    let daemon = executable.with_file_name("hornbeamd");
    match daemon.exists() {
        true => Ok(daemon),
        false => Err(MeasureError::new(
            "hornbeamd is not built; run cargo build --release -p hornbeamlead_daemon first",
        )),
    }
}
