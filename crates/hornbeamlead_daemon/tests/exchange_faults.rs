//! Exchanges of running processes that are cut, delayed, paused, swallowed or broken half-way.

mod common;

use common::load::{RunningLoad, answered, assert_runs};
use common::{open_service, plan};
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::proxy::ProxyFaults;
use hornbeamlead_standin::worker::control::ServiceFault;
use rstest::rstest;
use std::time::Duration;

/// Time for which load runs before, during and after a fault.
const STRETCH: Duration = Duration::from_millis(1_500);

/// Callers at a time at each entry.
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

fn wake_endpoint(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.frozen = false);
}

fn cut_agent(fleet: &mut Fleet) {
    control_agent_path(fleet, |faults| faults.cut = true);
}

fn swallow_answers(fleet: &mut Fleet) {
    control_agent_path(fleet, |faults| faults.backward.swallow = true);
}

fn pause_agent(fleet: &mut Fleet) {
    control_agent_path(fleet, |faults| faults.pause = true);
}

fn delay_agent(fleet: &mut Fleet) {
    control_agent_path(fleet, |faults| {
        faults.forward.delay_us = 200_000;
        faults.backward.delay_us = 200_000;
        faults.backward.jitter_us = 200_000;
    });
}

fn mend_agent_path(fleet: &mut Fleet) {
    control_agent_path(fleet, |faults| *faults = ProxyFaults::default());
}

fn control_agent_path(fleet: &Fleet, change: impl FnOnce(&mut ProxyFaults)) {
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

fn mend_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.service.fault = ServiceFault::None);
}

#[rstest]
#[case::endpoint_frozen(freeze_endpoint, wake_endpoint)]
#[case::agent_cut(cut_agent, mend_agent_path)]
#[case::answers_swallowed(swallow_answers, mend_agent_path)]
#[case::agent_paused(pause_agent, mend_agent_path)]
#[case::agent_delayed(delay_agent, mend_agent_path)]
#[case::answers_broken(break_answers, mend_answers)]
#[case::answers_cut(cut_answers, mend_answers)]
fn at_most_once(#[case] fault: FaultStep, #[case] mend: FaultStep) {
    let mut fleet = start_fleet();
    let loads = [0, 1].map(|entry| RunningLoad::start(&fleet, entry, CALLERS));
    std::thread::sleep(STRETCH);
    fault(&mut fleet);
    std::thread::sleep(STRETCH);
    mend(&mut fleet);
    std::thread::sleep(STRETCH);
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
fn nothing_fails() {
    let fleet = start_fleet();
    let loads = [0, 1].map(|entry| RunningLoad::start(&fleet, entry, CALLERS));
    std::thread::sleep(STRETCH);
    for load in loads {
        let outcomes = load.stop();
        assert_runs(&fleet, &outcomes);
        assert_eq!(answered(&outcomes), outcomes.len());
    }
}
