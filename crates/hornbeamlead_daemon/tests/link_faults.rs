//! Requests while processes die, freeze and lose each other: whole, own, and run at most once.

mod fleets;

use fleets::load::{CallOutcome, CallRecord, run_load};
use fleets::{await_revision, await_serving, plan, publish_base};
use hornbeamlead_standin::fleet::Fleet;
use hornbeamlead_standin::fleet::judge::runs_by_body;
use hornbeamlead_standin::log::OutageMode;
use hornbeamlead_standin::proxy::ProxyFaults;
use hornbeamlead_standin::worker::control::ServiceFault;
use rstest::rstest;
use std::time::Duration;

/// Time for which load runs before, during and after a fault.
const STRETCH: Duration = Duration::from_millis(1_500);

fn start_fleet() -> Fleet {
    let fleet = plan()
        .entries(2)
        .data_centre("negombo", 2)
        .data_centre("colombo", 2)
        .proxied()
        .start();
    publish_base(&fleet);
    await_revision(&fleet, 1);
    await_serving(&fleet);
    fleet
}

/// Asserts what holds for non-idempotent requests under any fault.
fn assert_at_most_once(fleet: &Fleet, records: &[CallRecord]) {
    let runs = runs_by_body(&fleet.runs(), &["POST"]);
    for record in records {
        let times = runs.get(record.body.as_str()).copied().unwrap_or(0);
        match &record.outcome {
            CallOutcome::Answered(text) => {
                assert_eq!(*text, record.expected_answer(), "answer of another request");
                assert_eq!(times, 1, "{record:?}");
            }
            CallOutcome::NotRun(_) => assert_eq!(times, 0, "{record:?}"),
            CallOutcome::Unknown(_) | CallOutcome::NoAnswer(_) => assert!(times <= 1, "{record:?}"),
        }
    }
    for runs in fleet.runs() {
        assert_eq!(runs.slots_exceeded, 0);
        assert_eq!(runs.connections_exceeded, 0);
    }
}

fn answered(records: &[CallRecord]) -> usize {
    let answered = |it: &&CallRecord| matches!(it.outcome, CallOutcome::Answered(_));
    records.iter().filter(answered).count()
}

type FaultStep = fn(&mut Fleet);

fn nothing(_: &mut Fleet) {}

fn kill_agent(fleet: &mut Fleet) {
    fleet.agents[0].process.kill();
}

fn restart_agent(fleet: &mut Fleet) {
    fleet.restart_agent(0);
}

fn freeze_agent(fleet: &mut Fleet) {
    fleet.agents[0].process.freeze();
}

fn wake_agent(fleet: &mut Fleet) {
    fleet.agents[0].process.wake();
}

fn kill_endpoint(fleet: &mut Fleet) {
    fleet.kill_worker(0);
}

fn restart_endpoint(fleet: &mut Fleet) {
    fleet.start_worker(0);
}

fn freeze_endpoint(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.frozen = true);
}

fn wake_endpoint(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.frozen = false);
}

fn kill_entry(fleet: &mut Fleet) {
    fleet.entries[0].process.kill();
}

fn restart_entry(fleet: &mut Fleet) {
    fleet.restart_entry(0);
}

fn freeze_entry(fleet: &mut Fleet) {
    fleet.entries[0].process.freeze();
}

fn wake_entry(fleet: &mut Fleet) {
    fleet.entries[0].process.wake();
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
        control.service.fault = ServiceFault::BreakingOff
    });
}

fn cut_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| {
        control.service.fault = ServiceFault::CuttingOff
    });
}

fn mend_answers(fleet: &mut Fleet) {
    fleet.control_worker(0, |control| control.service.fault = ServiceFault::None);
}

#[rstest]
#[case::agent_killed(kill_agent, restart_agent)]
#[case::agent_frozen(freeze_agent, wake_agent)]
#[case::endpoint_killed(kill_endpoint, restart_endpoint)]
#[case::endpoint_frozen(freeze_endpoint, wake_endpoint)]
#[case::entry_killed(kill_entry, restart_entry)]
#[case::entry_frozen(freeze_entry, wake_entry)]
#[case::agent_cut(cut_agent, mend_agent_path)]
#[case::answers_swallowed(swallow_answers, mend_agent_path)]
#[case::agent_paused(pause_agent, mend_agent_path)]
#[case::agent_delayed(delay_agent, mend_agent_path)]
#[case::answers_broken(break_answers, mend_answers)]
#[case::answers_cut(cut_answers, mend_answers)]
fn at_most_once(#[case] fault: FaultStep, #[case] mend: FaultStep) {
    let mut fleet = start_fleet();
    let records = run_load(&mut fleet, STRETCH, [nothing, fault, mend]);
    assert_at_most_once(&fleet, &records);
    let unreachable = |it: &&CallRecord| matches!(&it.outcome, CallOutcome::NoAnswer(fault) if fault.is_unreachable());
    let reached = records.len() - records.iter().filter(unreachable).count();
    assert!(
        answered(&records) > reached / 2,
        "{} of {}",
        answered(&records),
        reached
    );
    await_serving(&fleet);
}

#[test]
fn nothing_fails() {
    let mut fleet = start_fleet();
    let records = run_load(&mut fleet, STRETCH, [nothing]);
    assert_at_most_once(&fleet, &records);
    assert_eq!(answered(&records), records.len());
}

#[test]
fn log_down_minute() {
    let mut fleet = start_fleet();
    fleet
        .log
        .control(|control| control.outage = OutageMode::Silent);
    let records = run_load(&mut fleet, Duration::from_secs(60), [nothing]);
    assert_at_most_once(&fleet, &records);
    assert_eq!(answered(&records), records.len());
}

#[rstest]
#[case::agent(|fleet: &mut Fleet| fleet.agents[0].process.terminate())]
#[case::endpoint(|fleet: &mut Fleet| fleet.control_worker(0, |control| control.leaving = true))]
fn planned_leaving(#[case] leave: FaultStep) {
    let mut fleet = start_fleet();
    let records = run_load(&mut fleet, STRETCH, [nothing, leave, nothing]);
    assert_at_most_once(&fleet, &records);
    let failed = records
        .iter()
        .find(|it| !matches!(it.outcome, CallOutcome::Answered(_)));
    assert!(failed.is_none(), "{failed:?}");
}

#[test]
fn entry_leaves() {
    let mut fleet = start_fleet();
    let leave: FaultStep = |fleet| fleet.entries[0].process.terminate();
    let records = run_load(&mut fleet, STRETCH, [nothing, leave]);
    assert_at_most_once(&fleet, &records);
    let cut = |it: &&CallRecord| match &it.outcome {
        CallOutcome::Answered(_) | CallOutcome::NotRun(_) => false,
        CallOutcome::NoAnswer(fault) => !fault.is_unreachable(),
        CallOutcome::Unknown(_) => true,
    };
    assert_eq!(records.iter().find(cut).map(|it| format!("{it:?}")), None);
    let exit = fleet.entries[0].process.await_exit(Duration::from_secs(20));
    assert!(exit.is_some_and(|status| status.success()), "{exit:?}");
}
