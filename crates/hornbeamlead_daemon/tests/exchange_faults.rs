//! Exchanges of running processes that are cut, delayed, paused, dropped or aborted half-way.

mod common;

use common::load::{RunningLoad, answered, assert_runs};
use common::{open_service, plan};
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::proxy::ProxyFaults;
use hornbeamlead_standin::worker::control::ServiceFault;
use rstest::rstest;
use std::time::Duration;

/// Duration of the load before, during and after a fault.
const PHASE_DURATION: Duration = Duration::from_millis(1_500);

/// Concurrent callers per entry.
const CALLERS: usize = 4;

type FaultStep = fn(&mut Fleet);

fn start_fleet() -> Fleet {
    let fleet = plan()
        .entries(2)
        .data_centre("negombo", 2)
        .data_centre("colombo", 2)
        .proxied()
        .start();
    open_service(&fleet);
    fleet
}

fn freeze_endpoint(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.frozen = true);
}

fn unfreeze_endpoint(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.frozen = false);
}

fn cut_agent(fleet: &mut Fleet) {
    set_agent_path_faults(fleet, |faults| faults.cut = true);
}

fn drop_answers(fleet: &mut Fleet) {
    set_agent_path_faults(fleet, |faults| faults.backward.swallow = true);
}

fn pause_agent(fleet: &mut Fleet) {
    set_agent_path_faults(fleet, |faults| faults.pause = true);
}

fn delay_agent(fleet: &mut Fleet) {
    set_agent_path_faults(fleet, |faults| {
        faults.forward.delay_us = 200_000;
        faults.backward.delay_us = 200_000;
        faults.backward.jitter_us = 200_000;
    });
}

fn restore_agent_path(fleet: &mut Fleet) {
    set_agent_path_faults(fleet, |faults| *faults = ProxyFaults::default());
}

fn set_agent_path_faults(fleet: &Fleet, change: impl FnOnce(&mut ProxyFaults)) {
    fleet.agents[0]
        .inner_proxy
        .as_ref()
        .unwrap()
        .control(change);
}

fn break_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| {
        control.service.fault = ServiceFault::Disconnecting
    });
}

fn cut_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| {
        control.service.fault = ServiceFault::Truncating
    });
}

fn restore_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.service.fault = ServiceFault::None);
}

#[rstest]
#[case::endpoint_frozen(freeze_endpoint, unfreeze_endpoint)]
#[case::agent_cut(cut_agent, restore_agent_path)]
#[case::answers_dropped(drop_answers, restore_agent_path)]
#[case::agent_paused(pause_agent, restore_agent_path)]
#[case::agent_delayed(delay_agent, restore_agent_path)]
#[case::answers_broken(break_answers, restore_answers)]
#[case::answers_cut(cut_answers, restore_answers)]
fn at_most_once(#[case] fault: FaultStep, #[case] restore: FaultStep) {
    let mut fleet = start_fleet();
    let loads = [0, 1].map(|entry| RunningLoad::start(&fleet, entry, CALLERS));
    std::thread::sleep(PHASE_DURATION);
    fault(&mut fleet);
    std::thread::sleep(PHASE_DURATION);
    restore(&mut fleet);
    std::thread::sleep(PHASE_DURATION);
    for load in loads {
        let outcomes = load.stop();
        assert_runs(&fleet, &outcomes);
        let answered = answered(&outcomes);
        assert!(
            answered > outcomes.len() / 2,
            "{answered} of {}",
            outcomes.len()
        );
    }
    let runs = fleet.runs();
    assert!(
        runs.iter()
            .all(|it| it.slots_exceeded + it.connections_exceeded == 0)
    );
}

#[test]
fn no_fault() {
    let fleet = start_fleet();
    let loads = [0, 1].map(|entry| RunningLoad::start(&fleet, entry, CALLERS));
    std::thread::sleep(PHASE_DURATION);
    for load in loads {
        let outcomes = load.stop();
        assert_runs(&fleet, &outcomes);
        assert_eq!(answered(&outcomes), outcomes.len());
    }
}
