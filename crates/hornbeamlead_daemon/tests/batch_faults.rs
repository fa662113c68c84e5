//! Batch tasks of running processes while planners, agents, hosts, the log and data centres fail.

mod common;

use common::{open_service, plan, size};
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::fleet::checker::{
    events_of, finished_tasks, lost_work_ms, overlapping_runs, repeated_attempts, task_intervals,
};
use hornbeamlead_standin::log::OutageMode;
use hornbeamlead_standin::worker::history::TaskEventKind;
use serde_json::{Value, json};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Checkpoint interval of all tasks, in milliseconds.
const CHECKPOINT_MS: u64 = 1_000;

/// Maximum time from an accepted drain to the last task start, in microseconds.
const DRAIN_BOUND_US: u64 = 3_000_000;

fn fleet_of(centres: &[(&str, usize)]) -> Fleet {
    let plan = centres
        .iter()
        .fold(plan(), |plan, (name, hosts)| plan.data_centre(name, *hosts));
    let fleet = plan.start();
    open_service(&fleet);
    fleet
}

fn add_job(fleet: &Fleet, tasks: u32, run_time_ms: u64) {
    let job = json!({
        "name": "seasoning", "team": "yard", "kind": "seasoning", "tasks": tasks,
        "size": size(1_000, 1_024), "run_time_ms": run_time_ms,
        "deadline_unix_ms": unix_ms() + 600_000, "priority": 5, "urgent": false,
        "delivery": "resumable", "checkpoint_every_ms": CHECKPOINT_MS,
    });
    fleet.publish("jobs", &json!({"based_on": null, "added": {"jobs": [job]}}));
}

fn set_in_service(fleet: &Fleet, note: &str, data_centre: &str, in_service: bool) {
    let spec = json!({"name": data_centre, "in_service": in_service});
    let changed = json!({"data_centres": [spec]});
    fleet.publish(note, &json!({"based_on": null, "changed": changed}));
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn planning(fleet: &Fleet, host: usize) -> Option<Value> {
    let status = fleet.agents[host].status();
    let planning = status["schedule"]["planning"].clone();
    (!planning.is_null()).then_some(planning)
}

fn planner_of(fleet: &Fleet, data_centre: &str) -> Option<usize> {
    let hosts = fleet.hosts().iter().enumerate();
    let mut local = hosts.filter(|(_, host)| &*host.data_centre == data_centre);
    local.find_map(|(index, _)| planning(fleet, index).map(|_| index))
}

fn running(fleet: &Fleet) -> usize {
    let tasks = task_intervals(&fleet.histories());
    let open = tasks.values().flatten().filter(|it| it.end.is_none());
    open.count()
}

fn await_running(fleet: &Fleet, tasks: usize) {
    fleet.wait_until("tasks run", |fleet| running(fleet) >= tasks);
}

fn await_finished(fleet: &Fleet, tasks: usize) {
    fleet.wait_until("all tasks finish", |fleet| {
        finished_tasks(&fleet.histories(), "seasoning") == tasks
    });
}

/// Asserts the invariants that hold after any fault.
fn assert_invariants(fleet: &Fleet) {
    let histories = fleet.histories();
    assert_eq!(overlapping_runs(&histories), Vec::new());
    assert_eq!(repeated_attempts(&histories), Vec::new());
    assert_eq!(
        events_of(&histories, TaskEventKind::OvercommitRefused),
        Vec::new()
    );
}

fn evictions(fleet: &Fleet) -> usize {
    let histories = fleet.histories();
    let kinds = [
        TaskEventKind::Stopped,
        TaskEventKind::Lapsed,
        TaskEventKind::Killed,
    ];
    kinds
        .iter()
        .map(|kind| events_of(&histories, *kind).len())
        .sum()
}

#[test]
fn planner_killed() {
    let mut fleet = fleet_of(&[("negombo", 3)]);
    add_job(&fleet, 6, 12_000);
    await_running(&fleet, 6);
    std::thread::sleep(Duration::from_secs(2));
    let planner = planner_of(&fleet, "negombo").expect("a planner");
    fleet.agents[planner].process.kill();
    fleet.wait_until("another agent becomes planner", |fleet| {
        let mut others = (0..3).filter(|host| *host != planner);
        others.any(|host| planning(fleet, host).is_some())
    });
    fleet.restart_agent(planner);
    await_finished(&fleet, 6);
    assert_invariants(&fleet);
}

#[test]
fn agent_restarted() {
    let mut fleet = fleet_of(&[("negombo", 3)]);
    add_job(&fleet, 6, 10_000);
    await_running(&fleet, 6);
    std::thread::sleep(Duration::from_secs(2));
    for host in 0..3 {
        fleet.agents[host].process.kill();
        fleet.restart_agent(host);
        std::thread::sleep(Duration::from_millis(500));
    }
    await_finished(&fleet, 6);
    assert_eq!(evictions(&fleet), 0);
    assert_invariants(&fleet);
}

#[test]
fn host_frozen() {
    let fleet = fleet_of(&[("negombo", 3)]);
    add_job(&fleet, 6, 12_000);
    await_running(&fleet, 6);
    let planner = planner_of(&fleet, "negombo").expect("a planner");
    let host = (planner + 1) % 3;
    fleet.agents[host].process.freeze();
    std::thread::sleep(Duration::from_secs(9));
    fleet.agents[host].process.unfreeze();
    await_finished(&fleet, 6);
    assert_invariants(&fleet);
}

#[test]
fn host_lost() {
    let mut fleet = fleet_of(&[("negombo", 3)]);
    add_job(&fleet, 6, 10_000);
    await_running(&fleet, 6);
    std::thread::sleep(Duration::from_secs(3));
    let planner = planner_of(&fleet, "negombo").expect("a planner");
    fleet.kill_host((planner + 1) % 3);
    await_finished(&fleet, 6);
    assert_invariants(&fleet);
    let worst = lost_work_ms(&fleet.histories()).into_values().max();
    assert!(worst <= Some(3 * CHECKPOINT_MS), "{worst:?}");
}

#[test]
fn log_down() {
    let fleet = fleet_of(&[("negombo", 3)]);
    add_job(&fleet, 6, 70_000);
    await_running(&fleet, 6);
    std::thread::sleep(Duration::from_secs(3));
    fleet
        .log
        .control(|control| control.outage = OutageMode::Silent);
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        assert_eq!(evictions(&fleet), 0);
        std::thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(running(&fleet), 6);
    fleet
        .log
        .control(|control| control.outage = OutageMode::None);
    await_finished(&fleet, 6);
    assert_eq!(evictions(&fleet), 0);
    assert_invariants(&fleet);
}

#[test]
fn centre_drained() {
    let fleet = fleet_of(&[("negombo", 2), ("colombo", 2)]);
    add_job(&fleet, 24, 16_000);
    await_running(&fleet, 16);
    set_in_service(&fleet, "out", "negombo", false);
    let drained_us = unix_ms() * 1_000;
    std::thread::sleep(Duration::from_secs(8));
    let back_us = unix_ms() * 1_000;
    set_in_service(&fleet, "back", "negombo", true);
    await_finished(&fleet, 24);
    assert_invariants(&fleet);
    let tasks = task_intervals(&fleet.histories());
    let hosts = fleet.hosts();
    let late = tasks.values().flatten().filter(|it| {
        let drained = &*hosts[it.worker].data_centre == "negombo";
        drained && it.from_us > drained_us + DRAIN_BOUND_US && it.from_us < back_us
    });
    assert_eq!(late.count(), 0);
    let moved = tasks.values().filter(|intervals| intervals.len() > 1);
    assert!(moved.count() > 0);
    let worst = lost_work_ms(&fleet.histories()).into_values().max();
    assert!(worst <= Some(CHECKPOINT_MS), "{worst:?}");
}
