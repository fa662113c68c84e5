//! Requests through running processes while entries, agents, endpoints, links and the log fail.

mod common;

use common::load::{RunningLoad, answered, assert_runs};
use common::{open_service, plan};
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::log::OutageMode;
use rstest::rstest;
use std::thread::sleep;
use std::time::Duration;

/// Duration of the load before and after a fault.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Duration of a freeze, longer than the silence after which an agent is dropped.
const FROZEN_TIME: Duration = Duration::from_secs(6);

/// Duration of the log outage.
const OUTAGE_TIME: Duration = Duration::from_secs(60);

/// Concurrent callers per entry.
const CALLERS: usize = 4;

/// Process affected by a fault.
#[derive(Clone, Copy, Debug)]
enum FaultTarget {
    Entry,
    Agent,
    Endpoint,
}

fn loaded_fleet(proxied: bool) -> Fleet {
    let plan = plan().entries(2).data_centre("negombo", 3);
    let plan = match proxied {
        true => plan.proxied(),
        false => plan,
    };
    let plan = plan.workers(|worker| worker.control.service.time_us = 20_000);
    let fleet = plan.start();
    open_service(&fleet);
    fleet
}

fn start_loads(fleet: &Fleet) -> [RunningLoad; 2] {
    let loads = [0, 1].map(|entry| RunningLoad::start(fleet, entry, CALLERS));
    sleep(LOAD_TIME);
    loads
}

/// Stops the loads and checks each request; the second entry, which is not faulted, must have
/// answered some.
fn check_loads(fleet: &Fleet, loads: [RunningLoad; 2]) {
    sleep(LOAD_TIME);
    let [first, second] = loads.map(RunningLoad::stop);
    assert_runs(fleet, &first);
    assert_runs(fleet, &second);
    assert!(answered(&second) > 0);
}

/// Waits until requests pass again through both entries.
fn await_service(fleet: &Fleet) {
    for entry in [0, 1] {
        fleet.wait_until("requests pass again", |fleet| {
            common::get(fleet, entry, "/ledger/ready") == 200
        });
    }
}

#[rstest]
#[case(FaultTarget::Entry)]
#[case(FaultTarget::Agent)]
#[case(FaultTarget::Endpoint)]
fn killed_under_load(#[case] target: FaultTarget) {
    let mut fleet = loaded_fleet(false);
    let loads = start_loads(&fleet);
    match target {
        FaultTarget::Entry => fleet.entries[0].process.kill(),
        FaultTarget::Agent => fleet.agents[0].process.kill(),
        FaultTarget::Endpoint => fleet.kill_worker(0),
    }
    sleep(LOAD_TIME);
    match target {
        FaultTarget::Entry => fleet.restart_entry(0),
        FaultTarget::Agent => fleet.restart_agent(0),
        FaultTarget::Endpoint => fleet.start_worker(0),
    }
    await_service(&fleet);
    check_loads(&fleet, loads);
}

#[rstest]
#[case(FaultTarget::Entry)]
#[case(FaultTarget::Agent)]
#[case(FaultTarget::Endpoint)]
fn frozen_under_load(#[case] target: FaultTarget) {
    let fleet = loaded_fleet(false);
    let loads = start_loads(&fleet);
    match target {
        FaultTarget::Entry => fleet.entries[0].process.freeze(),
        FaultTarget::Agent => fleet.agents[0].process.freeze(),
        FaultTarget::Endpoint => fleet.control_worker(0, |control| control.frozen = true),
    }
    sleep(FROZEN_TIME);
    match target {
        FaultTarget::Entry => fleet.entries[0].process.unfreeze(),
        FaultTarget::Agent => fleet.agents[0].process.unfreeze(),
        FaultTarget::Endpoint => fleet.control_worker(0, |control| control.frozen = false),
    }
    await_service(&fleet);
    check_loads(&fleet, loads);
}

#[test]
fn links_cut() {
    let fleet = loaded_fleet(true);
    let loads = start_loads(&fleet);
    for _ in 0..3 {
        fleet.control_network(|faults| faults.cut = true);
        sleep(Duration::from_millis(300));
        fleet.control_network(|faults| faults.cut = false);
        sleep(LOAD_TIME);
    }
    await_service(&fleet);
    check_loads(&fleet, loads);
}

#[test]
fn log_down() {
    let fleet = loaded_fleet(false);
    fleet.log.control(|log| log.outage = OutageMode::Refusing);
    let loads = start_loads(&fleet);
    sleep(OUTAGE_TIME);
    for load in loads {
        let outcomes = load.stop();
        assert_runs(&fleet, &outcomes);
        assert_eq!(answered(&outcomes), outcomes.len(), "{outcomes:?}");
    }
}
