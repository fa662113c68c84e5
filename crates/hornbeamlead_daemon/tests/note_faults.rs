//! Release notes while operators publish concurrently, the log is down or processes are frozen.

mod common;

use common::probes::declare_service;
use common::{await_revision, open_service, plan, service};
use hornbeamlead_standin::fleet::{Fleet, FleetMember};
use hornbeamlead_standin::log::OutageMode;
use serde_json::json;
use std::time::{Duration, Instant};

/// Maximum time until an accepted note is applied by all processes.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

fn start_fleet() -> Fleet {
    let fleet = plan()
        .entries(2)
        .data_centre("negombo", 2)
        .data_centre("colombo", 1)
        .start();
    open_service(&fleet);
    fleet
}

fn members(fleet: &Fleet) -> impl Iterator<Item = &FleetMember> {
    fleet.entries.iter().chain(&fleet.agents)
}

fn revision(member: &FleetMember) -> u64 {
    let status = member.status();
    status["configuration"]["revision"].as_u64().unwrap_or(0)
}

fn services(member: &FleetMember) -> Vec<String> {
    let status = member.status();
    let services = status["configuration"]["services"].as_array();
    let names = services.into_iter().flatten();
    names
        .filter_map(|name| name.as_str().map(str::to_owned))
        .collect()
}

/// Returns the services that all processes have applied; panics if processes differ.
fn common_services(fleet: &Fleet) -> Vec<String> {
    let mut all: Vec<Vec<String>> = members(fleet).map(services).collect();
    all.dedup();
    assert_eq!(all.len(), 1, "processes differ: {all:?}");
    all.remove(0)
}

/// Publishes a note that adds a service to the configuration of `based_on`.
fn publish_based(fleet: &Fleet, id: &str, name: &str, based_on: u64) -> u64 {
    let note = json!({"based_on": based_on, "added": {"services": [service(name)]}});
    fleet.publish(id, &note)
}

#[test]
fn applied_everywhere() {
    let fleet = start_fleet();
    for index in 0..10 {
        let name = format!("cellar-{index}");
        let published = Instant::now();
        let offset = declare_service(&fleet, &name, &name);
        await_revision(&fleet, offset + 1);
        assert!(
            published.elapsed() <= APPLY_TIMEOUT,
            "{:?}",
            published.elapsed()
        );
    }
    assert_eq!(common_services(&fleet).len(), 11);
}

#[test]
fn concurrent_notes() {
    let fleet = start_fleet();
    let first = publish_based(&fleet, "first", "cellar", 1);
    publish_based(&fleet, "second", "attic", 1);
    let last = declare_service(&fleet, "yard", "last");
    await_revision(&fleet, last + 1);
    assert_eq!(common_services(&fleet), ["cellar", "ledger", "yard"]);
    for member in members(&fleet) {
        assert_eq!(member.query_operators("/note/first")["revision"], first + 1);
        assert!(member.query_operators("/note/second")["revision"].is_null());
    }
}

#[test]
fn duplicate_note() {
    let fleet = start_fleet();
    declare_service(&fleet, "cellar", "again");
    declare_service(&fleet, "cellar", "again");
    let last = declare_service(&fleet, "yard", "last");
    await_revision(&fleet, last + 1);
    assert_eq!(common_services(&fleet), ["cellar", "ledger", "yard"]);
}

#[test]
fn missed_while_frozen() {
    let fleet = start_fleet();
    fleet.agents[0].process.freeze();
    fleet.entries[0].process.freeze();
    let offsets = ["cellar", "attic", "yard"].map(|name| declare_service(&fleet, name, name));
    std::thread::sleep(Duration::from_secs(2));
    fleet.agents[0].process.unfreeze();
    fleet.entries[0].process.unfreeze();
    await_revision(&fleet, offsets[2] + 1);
    assert_eq!(common_services(&fleet).len(), 4);
}

#[test]
fn restart_without_log() {
    let mut fleet = start_fleet();
    let offset = declare_service(&fleet, "cellar", "cellar");
    await_revision(&fleet, offset + 1);
    fleet
        .log
        .control(|control| control.outage = OutageMode::Silent);
    fleet.restart_agent(0);
    fleet.restart_entry(0);
    await_revision(&fleet, offset + 1);
    assert_eq!(common_services(&fleet), ["cellar", "ledger"]);
}

#[test]
fn log_recovers() {
    let fleet = start_fleet();
    fleet
        .log
        .control(|control| control.outage = OutageMode::Refusing);
    let offset = declare_service(&fleet, "cellar", "cellar");
    std::thread::sleep(Duration::from_secs(2));
    assert!(members(&fleet).all(|member| revision(member) == 1));
    fleet
        .log
        .control(|control| control.outage = OutageMode::None);
    await_revision(&fleet, offset + 1);
}

#[test]
fn revision_never_decreases() {
    let mut fleet = start_fleet();
    let mut newest = 1;
    for round in 0..6 {
        let name = format!("cellar-{round}");
        let offset = declare_service(&fleet, &name, &name);
        await_revision(&fleet, offset + 1);
        newest = newest.max(offset + 1);
        match round % 3 {
            0 => fleet.restart_agent(round % 2),
            1 => fleet.restart_entry(0),
            _ => fleet
                .log
                .control(|control| control.lost_answer_percent = 50),
        }
        await_revision(&fleet, newest);
        assert!(members(&fleet).all(|member| revision(member) >= newest));
    }
}

#[test]
fn retention_exceeded() {
    let mut fleet = plan()
        .entries(1)
        .data_centre("negombo", 2)
        .agent_settings(&json!({"schedule": {"snapshot_records": 5}}))
        .log(|control| control.retention_records = 20)
        .start();
    open_service(&fleet);
    for index in 0..30 {
        let name = format!("cellar-{index}");
        let offset = declare_service(&fleet, &name, &name);
        await_revision(&fleet, offset + 1);
    }
    let before = common_services(&fleet);
    assert_eq!(before.len(), 31);
    for host in 0..2 {
        fleet.agents[host].process.kill();
    }
    fleet.restart_entry(0);
    fleet.restart_agent(0);
    fleet.restart_agent(1);
    fleet.wait_until("all processes have the full configuration", |fleet| {
        members(fleet).all(|member| services(member).len() == 31)
    });
    assert_eq!(common_services(&fleet), before);
}
