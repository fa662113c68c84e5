//! Killed and paused processes under load: no request runs twice, no refusal is false.

mod common;

use common::load::{CallerOutcome, RunningLoad, answered, assert_runs};
use common::{get, open_service, plan};
use hornbeamlead_standin::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// Time for which load runs before and after a fault.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Length of a pause, longer than any patience of the processes among each other.
const PAUSE_TIME: Duration = Duration::from_secs(4);

/// Time for late copies of a request to come out.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Callers at a time at each entry.
const CALLERS: usize = 6;

fn loaded_fleet() -> Fleet {
    let plan = plan().entries(2).data_centre("negombo", 2);
    let plan = plan.workers(|worker| worker.control.service.time_us = 10_000);
    let fleet = plan.start();
    open_service(&fleet);
    fleet
}

/// Runs load over a fault and checks each request's runs against what its caller was told.
fn check_under_load(mut fleet: Fleet, fault: impl FnOnce(&mut Fleet)) {
    let loads = [0, 1].map(|entry| RunningLoad::start(&fleet, entry, CALLERS));
    sleep(LOAD_TIME);
    fault(&mut fleet);
    for entry in 0..fleet.entries.len() {
        fleet.wait_until("requests pass again", |fleet| {
            get(fleet, entry, "/ledger/again") == 200
        });
    }
    sleep(LOAD_TIME);
    let outcomes = loads.map(RunningLoad::stop);
    sleep(LATE_TIME);
    for told in &outcomes {
        assert!(answered(told) > 0);
        assert_runs(&fleet, told);
    }
}

#[test]
fn agent_killed() {
    check_under_load(loaded_fleet(), |fleet| {
        fleet.agents[0].process.kill();
        sleep(LOAD_TIME);
        fleet.restart_agent(0);
    });
}

#[test]
fn agent_paused() {
    check_under_load(loaded_fleet(), |fleet| {
        fleet.agents[0].process.freeze();
        sleep(PAUSE_TIME);
        fleet.agents[0].process.unfreeze();
    });
}

#[test]
fn entry_killed() {
    check_under_load(loaded_fleet(), |fleet| {
        fleet.restart_entry(0);
    });
}

#[test]
fn entry_paused() {
    check_under_load(loaded_fleet(), |fleet| {
        fleet.entries[0].process.freeze();
        sleep(PAUSE_TIME);
        fleet.entries[0].process.unfreeze();
    });
}

#[test]
fn worker_killed() {
    check_under_load(loaded_fleet(), |fleet| {
        fleet.kill_worker(0);
        sleep(LOAD_TIME);
        fleet.start_worker(0);
    });
}

#[test]
fn unknown_outcome_told() {
    let mut fleet = plan().data_centre("negombo", 1).start();
    fleet.control_worker(0, |control| control.service.time_us = 1_000_000);
    open_service(&fleet);
    let load = RunningLoad::start(&fleet, 0, 1);
    sleep(LOAD_TIME);
    fleet.agents[0].process.kill();
    sleep(LOAD_TIME);
    let told = load.stop();
    let unknown = told
        .values()
        .filter(|it| matches!(it, CallerOutcome::Unknown(_)));
    assert_eq!(unknown.count(), 1, "{told:?}");
    assert_runs(&fleet, &told);
}
