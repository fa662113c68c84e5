//! Killed and paused processes under load: no request runs twice, and a request reported as not run
//! did not run.

mod common;

use common::load::{CallerOutcome, RunningLoad, answered, assert_runs};
use common::{get, open_service, plan};
use hornbeamlead_standin::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// Duration of the load before and after a fault.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Length of a pause, longer than all timeouts between the processes.
const PAUSE_TIME: Duration = Duration::from_secs(4);

/// Time for late duplicates of a request to show up.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Concurrent callers per entry.
const CALLERS: usize = 6;

fn loaded_fleet() -> Fleet {
    let plan = plan().entries(2).data_centre("negombo", 2);
    let plan = plan.workers(|worker| worker.control.service.time_us = 10_000);
    let fleet = plan.start();
    open_service(&fleet);
    fleet
}

/// Runs load during a fault and compares each request's runs with the outcome its caller saw.
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
    sleep(SETTLE_TIME);
    for entry_outcomes in &outcomes {
        assert!(answered(entry_outcomes) > 0);
        assert_runs(&fleet, entry_outcomes);
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
fn unknown_outcome_reported() {
    let mut fleet = plan().data_centre("negombo", 1).start();
    fleet.control_worker(0, |control| control.service.time_us = 1_000_000);
    open_service(&fleet);
    let load = RunningLoad::start(&fleet, 0, 1);
    sleep(LOAD_TIME);
    fleet.agents[0].process.kill();
    sleep(LOAD_TIME);
    let outcomes = load.stop();
    let unknown = outcomes
        .values()
        .filter(|it| matches!(it, CallerOutcome::Unknown(_)));
    assert_eq!(unknown.count(), 1, "{outcomes:?}");
    assert_runs(&fleet, &outcomes);
}
