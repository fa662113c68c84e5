//! One trial: a fleet under load, with jobs, noisy waves, a bad worker and a move.

use super::deployment::Deployment;
use super::judge::{TrialMarks, TrialResult};
use super::load::ServiceLoad;
use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time that an append to the log takes, in milliseconds.
const APPEND_MS: u64 = 50;

/// Time for caches and connections to settle before anything is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time measured without batch.
const QUIET: Duration = Duration::from_secs(5);

/// Time from the first jobs to the end.
const BUSY: Duration = Duration::from_secs(36);

/// Time from the first jobs to their deadline, in milliseconds.
const DEADLINE_MS: u64 = 32_000;

/// Times of the acts, in seconds from the first jobs.
const WAVES_AT: [u64; 2] = [6, 20];
const OUT_AT: u64 = 14;
const BACK_AT: u64 = 24;
const URGENT_FROM: u64 = 5;
const URGENT_EVERY: u64 = 2;

/// Worker that fails all it starts.
const BAD_WORKER: usize = 5;

/// Act of a trial.
#[derive(Clone, Copy, Debug)]
enum TrialAct {
    Wave(u64),
    Urgent(u64),
    Out,
    Back,
}

/// Runs a trial and judges it.
pub(super) fn run(deployment: &Deployment, learning: bool, program: &Path) -> TrialResult {
    let mut plan = FleetPlan::new(program).service("ledger");
    for (name, hosts) in deployment.centres {
        plan = plan.data_centre(name, *hosts);
    }
    let kinds = serde_json::from_value(Deployment::kinds()).expect("the kinds are well formed");
    let fleet = plan
        .agent_settings(&deployment.settings(learning))
        .log(|control| control.append_latency_ms = APPEND_MS)
        .workers(|settings| settings.control.kinds = kinds)
        .start();
    declare(&fleet, deployment);
    fleet.wait_until("requests pass", |fleet| {
        let request = TestRequest::get(fleet.log.addr(), "/ledger/ready");
        fleet
            .call(0, request)
            .is_ok_and(|answer| answer.status == 200)
    });
    fleet.control_worker(BAD_WORKER, |control| control.fail_tasks = true);
    let load = ServiceLoad::new(fleet.entries[0].process.address("callers"));
    let marks = std::thread::scope(|scope| {
        load.start(scope);
        let marks = play(&fleet, deployment);
        load.stop();
        marks
    });
    TrialResult::judge(&fleet.histories(), &load, &marks, deployment)
}

fn declare(fleet: &Fleet, deployment: &Deployment) {
    let size = json!({"cpu_millis": 1_000_000, "memory_mebibytes": 9_000_000, "accelerators": 0});
    let centres: Vec<Value> = deployment
        .centres
        .iter()
        .map(|(name, _)| json!({"name": name, "in_service": true}))
        .collect();
    let reserve = json!({"cpu_millis": 1_000, "memory_mebibytes": 1_024, "accelerators": 0});
    let added = json!({
        "data_centres": centres,
        "teams": [{"name": "yard", "quota": size}],
        "services": [{"name": "ledger", "reserve": reserve,
            "default_timeout_ms": 5_000, "max_timeout_ms": 30_000}],
    });
    fleet.publish("base", &json!({"based_on": null, "added": added}));
}

fn play(fleet: &Fleet, deployment: &Deployment) -> TrialMarks {
    std::thread::sleep(WARM_UP);
    let quiet_from = Instant::now();
    std::thread::sleep(QUIET);
    let busy_from = Instant::now();
    let began_us = unix_us();
    let deadline_ms = began_us / 1_000 + DEADLINE_MS;
    publish_jobs(fleet, "jobs", &deployment.first_jobs(deadline_ms));
    let mut marks = TrialMarks {
        quiet_from,
        busy_from,
        busy_until: busy_from,
        deadline_us: deadline_ms * 1_000,
        out_us: 0,
        back_us: 0,
        urgent_us: Vec::new(),
    };
    for (second, act) in acts(deployment) {
        let at = busy_from + Duration::from_secs(second);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        perform(fleet, deployment, act, &mut marks);
    }
    let end = busy_from + BUSY;
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    marks.busy_until = Instant::now();
    marks
}

fn acts(deployment: &Deployment) -> Vec<(u64, TrialAct)> {
    let mut acts: Vec<(u64, TrialAct)> = Vec::new();
    let waves = WAVES_AT.iter().zip(1..);
    acts.extend(waves.map(|(second, number)| (*second, TrialAct::Wave(number))));
    acts.push((OUT_AT, TrialAct::Out));
    acts.push((BACK_AT, TrialAct::Back));
    let urgent = (0..deployment.urgent).map(|number| {
        let second = URGENT_FROM + number * URGENT_EVERY;
        (second, TrialAct::Urgent(number))
    });
    acts.extend(urgent);
    acts.sort_by_key(|(second, _)| *second);
    acts
}

fn perform(fleet: &Fleet, deployment: &Deployment, act: TrialAct, marks: &mut TrialMarks) {
    let deadline_ms = marks.deadline_us / 1_000;
    match act {
        TrialAct::Wave(number) => {
            let jobs = deployment.wave(number, deadline_ms);
            publish_jobs(fleet, &format!("wave-{number}"), &jobs);
        }
        TrialAct::Urgent(number) => {
            let jobs = deployment.urgent_job(number, deadline_ms);
            publish_jobs(fleet, &format!("urgent-{number}"), &jobs);
            marks.urgent_us.push(unix_us());
        }
        TrialAct::Out => {
            set_service(fleet, "out", deployment, false);
            marks.out_us = unix_us();
        }
        TrialAct::Back => {
            set_service(fleet, "back", deployment, true);
            marks.back_us = unix_us();
        }
    }
}

fn publish_jobs(fleet: &Fleet, note: &str, jobs: &Value) {
    fleet.publish(note, &json!({"based_on": null, "added": {"jobs": jobs}}));
}

fn set_service(fleet: &Fleet, note: &str, deployment: &Deployment, in_service: bool) {
    let spec = json!({"name": deployment.centres[0].0, "in_service": in_service});
    let changed = json!({"data_centres": [spec]});
    fleet.publish(note, &json!({"based_on": null, "changed": changed}));
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
