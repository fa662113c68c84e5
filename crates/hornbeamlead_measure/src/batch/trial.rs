//! One trial: a fleet under load, with batch jobs, waves of interfering tasks, a failing worker,
//! and a data centre that is out of service for a while.

use super::deployment::Deployment;
use super::load::ServiceLoad;
use super::result::{TrialResult, TrialTimes};
use hornbeamlead_standin::client::TestRequest;
use hornbeamlead_standin::fleet::{Fleet, FleetPlan};
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Latency of an append to the log, in milliseconds.
const APPEND_MS: u64 = 50;

/// Time before the measurement in which connections are opened and caches filled.
const WARM_UP: Duration = Duration::from_secs(3);

/// Period measured without batch tasks.
const QUIET_PERIOD: Duration = Duration::from_secs(5);

/// Period from the first jobs to the end.
const BUSY_PERIOD: Duration = Duration::from_secs(36);

/// Time from the first jobs to their deadline, in milliseconds.
const DEADLINE_MS: u64 = 32_000;

/// Times of the actions, in seconds from the first jobs.
const WAVE_TIMES_S: [u64; 2] = [6, 20];
const TAKE_OUT_S: u64 = 14;
const RESTORE_S: u64 = 24;
const FIRST_URGENT_S: u64 = 5;
const URGENT_INTERVAL_S: u64 = 2;

/// Index of the worker that fails all its tasks.
const FAILING_WORKER: usize = 5;

/// Scheduled action of a trial.
#[derive(Clone, Copy, Debug)]
enum TrialAction {
    Wave(u64),
    Urgent(u64),
    TakeOut,
    Restore,
}

/// Runs a trial and returns its result.
pub(super) fn run(deployment: &Deployment, learning: bool, program: &Path) -> TrialResult {
    let mut plan = FleetPlan::new(program).service("ledger");
    for (name, hosts) in deployment.data_centres {
        plan = plan.data_centre(name, *hosts);
    }
    let kinds = serde_json::from_value(Deployment::kinds()).expect("the kinds are well formed");
    let fleet = plan
        .agent_settings(&deployment.settings(learning))
        .log(|control| control.append_latency_ms = APPEND_MS)
        .workers(|settings| settings.control.kinds = kinds)
        .start();
    publish_base(&fleet, deployment);
    fleet.wait_until("requests pass", |fleet| {
        let request = TestRequest::get(fleet.log.addr(), "/ledger/ready");
        fleet
            .call(0, request)
            .is_ok_and(|answer| answer.status == 200)
    });
    fleet.control_worker(FAILING_WORKER, |control| control.fail_tasks = true);
    let load = ServiceLoad::new(fleet.entries[0].process.address("callers"));
    let times = std::thread::scope(|scope| {
        load.start(scope);
        let times = run_actions(&fleet, deployment);
        load.stop();
        times
    });
    TrialResult::from_histories(&fleet.histories(), &load, &times, deployment)
}

fn publish_base(fleet: &Fleet, deployment: &Deployment) {
    let size = json!({"cpu_millis": 1_000_000, "memory_mebibytes": 9_000_000, "accelerators": 0});
    let data_centres: Vec<Value> = deployment
        .data_centres
        .iter()
        .map(|(name, _)| json!({"name": name, "in_service": true}))
        .collect();
    let reserve = json!({"cpu_millis": 1_000, "memory_mebibytes": 1_024, "accelerators": 0});
    let added = json!({
        "data_centres": data_centres,
        "teams": [{"name": "yard", "quota": size}],
        "services": [{"name": "ledger", "reserve": reserve,
            "default_timeout_ms": 5_000, "max_timeout_ms": 30_000}],
    });
    fleet.publish("base", &json!({"based_on": null, "added": added}));
}

fn run_actions(fleet: &Fleet, deployment: &Deployment) -> TrialTimes {
    std::thread::sleep(WARM_UP);
    let quiet_from = Instant::now();
    std::thread::sleep(QUIET_PERIOD);
    let busy_from = Instant::now();
    let began_us = unix_us();
    let deadline_ms = began_us / 1_000 + DEADLINE_MS;
    publish_jobs(fleet, "jobs", &deployment.initial_jobs(deadline_ms));
    let mut times = TrialTimes {
        quiet_from,
        busy_from,
        busy_until: busy_from,
        deadline_us: deadline_ms * 1_000,
        taken_out_us: 0,
        restored_us: 0,
        urgent_us: Vec::new(),
    };
    for (second, action) in actions(deployment) {
        let at = busy_from + Duration::from_secs(second);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        perform(fleet, deployment, action, &mut times);
    }
    let end = busy_from + BUSY_PERIOD;
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    times.busy_until = Instant::now();
    times
}

fn actions(deployment: &Deployment) -> Vec<(u64, TrialAction)> {
    let mut actions: Vec<(u64, TrialAction)> = Vec::new();
    let waves = WAVE_TIMES_S.iter().zip(1..);
    actions.extend(waves.map(|(second, number)| (*second, TrialAction::Wave(number))));
    actions.push((TAKE_OUT_S, TrialAction::TakeOut));
    actions.push((RESTORE_S, TrialAction::Restore));
    let urgent = (0..deployment.urgent).map(|number| {
        let second = FIRST_URGENT_S + number * URGENT_INTERVAL_S;
        (second, TrialAction::Urgent(number))
    });
    actions.extend(urgent);
    actions.sort_by_key(|(second, _)| *second);
    actions
}

fn perform(fleet: &Fleet, deployment: &Deployment, action: TrialAction, times: &mut TrialTimes) {
    let deadline_ms = times.deadline_us / 1_000;
    match action {
        TrialAction::Wave(number) => {
            let jobs = deployment.wave(number, deadline_ms);
            publish_jobs(fleet, &format!("wave-{number}"), &jobs);
        }
        TrialAction::Urgent(number) => {
            let jobs = deployment.urgent_job(number, deadline_ms);
            publish_jobs(fleet, &format!("urgent-{number}"), &jobs);
            times.urgent_us.push(unix_us());
        }
        TrialAction::TakeOut => {
            set_in_service(fleet, "out", deployment, false);
            times.taken_out_us = unix_us();
        }
        TrialAction::Restore => {
            set_in_service(fleet, "back", deployment, true);
            times.restored_us = unix_us();
        }
    }
}

fn publish_jobs(fleet: &Fleet, note: &str, jobs: &Value) {
    fleet.publish(note, &json!({"based_on": null, "added": {"jobs": jobs}}));
}

fn set_in_service(fleet: &Fleet, note: &str, deployment: &Deployment, in_service: bool) {
    let spec = json!({"name": deployment.data_centres[0].0, "in_service": in_service});
    let changed = json!({"data_centres": [spec]});
    fleet.publish(note, &json!({"based_on": null, "changed": changed}));
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
