//! Rollout of notes in a fleet: races, outages, frozen and restarted processes, retention.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::{ToolRun, finish, text};
use fleet::{ToolFleet, small_plan};
use hornbeamlead_standin::log::OutageMode;
use serde_json::json;
use std::time::Duration;

/// Maximum time from acceptance until a note is in force in all processes.
const IN_FORCE: &str = "5s";

fn assert_in_force(run: &ToolRun, revision: u64, processes: usize) {
    assert_eq!(run.status, 0, "{run:?}");
    let accepted = format!("accepted: revision {revision}");
    let everywhere = format!("in force in all {processes} known processes");
    assert!(run.out.contains(&accepted), "{run:?}");
    assert!(run.out.contains(&everywhere), "{run:?}");
}

#[test]
fn in_force_within_bound() {
    let fleet = ToolFleet::start(small_plan());
    let monitor = fleet.monitor();
    for (index, centre) in ["negombo", "colombo", "kalutara"].into_iter().enumerate() {
        let base_revision = index as u64;
        let run = fleet.add_centre(base_revision, centre, &["--wait", "--timeout", IN_FORCE]);
        assert_in_force(&run, base_revision + 1, 6);
    }
    monitor.finish();
}

#[test]
fn racing_operators() {
    let fleet = ToolFleet::start(small_plan());
    let files =
        ["negombo", "colombo"].map(|centre| fleet.workspace.centre_note(centre, "0", centre));
    let runs = files.map(|file| {
        fleet
            .workspace
            .spawn(&["note", "apply", text(&file), "--wait"])
    });
    let mut runs = runs.map(finish);
    runs.sort_by_key(|run| run.status);
    assert_in_force(&runs[0], 1, 6);
    assert_eq!(runs[1].status, 1, "{runs:?}");
    assert!(
        runs[1].out.contains("but revision 1 is in force"),
        "{runs:?}"
    );
    fleet.await_revision(1);
}

#[test]
fn outage_note() {
    let fleet = ToolFleet::start(small_plan());
    let monitor = fleet.monitor();
    assert_in_force(&fleet.add_centre(0, "negombo", &["--wait"]), 1, 6);
    fleet
        .fleet
        .log
        .control(|control| control.outage = OutageMode::Refusing);
    let run = fleet.add_centre(1, "colombo", &["--timeout", "1s"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.out.contains("not sent"), "{run:?}");
    let run = fleet.workspace.run(&["note", "status", "open-negombo"]);
    assert!(run.out.contains("accepted: revision 1"), "{run:?}");
    let file = fleet.workspace.centre_note("open-colombo", "1", "colombo");
    let waiting =
        fleet
            .workspace
            .spawn(&["note", "apply", text(&file), "--wait", "--timeout", "20s"]);
    std::thread::sleep(Duration::from_secs(1));
    fleet
        .fleet
        .log
        .control(|control| control.outage = OutageMode::None);
    assert_in_force(&finish(waiting), 2, 6);
    monitor.finish();
}

#[test]
fn lost_answer() {
    let fleet = ToolFleet::start(small_plan());
    fleet
        .fleet
        .log
        .control(|control| control.lost_answer_percent = 100);
    assert_in_force(&fleet.add_centre(0, "negombo", &["--wait"]), 1, 6);
    let records = fleet.fleet.log.records("notes");
    let notes = records
        .iter()
        .filter(|record| record.starts_with(b"{\"note\""));
    assert_eq!(notes.count(), 1);
}

#[test]
fn frozen_process() {
    let mut fleet = ToolFleet::start(small_plan());
    let monitor = fleet.monitor();
    let frozen = fleet.fleet.host_index("negombo-02");
    fleet.fleet.freeze_host(frozen);
    for (index, centre) in ["negombo", "colombo", "kalutara"].into_iter().enumerate() {
        let run = fleet.add_centre(index as u64, centre, &[]);
        assert_eq!(run.status, 0, "{run:?}");
    }
    fleet.fleet.unfreeze_host(frozen);
    fleet.await_revision(3);
    monitor.finish();
}

#[test]
fn lagging_process_reported() {
    let mut fleet = ToolFleet::start(small_plan());
    let frozen = fleet.fleet.host_index("colombo-01");
    fleet.fleet.freeze_host(frozen);
    let run = fleet.add_centre(0, "negombo", &["--wait", "--timeout", "8s"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.out.contains("not yet in force in 1 of 6"), "{run:?}");
    assert!(run.out.contains("agent colombo-01"), "{run:?}");
    fleet.fleet.unfreeze_host(frozen);
    fleet.await_revision(1);
}

#[test]
fn start_without_log() {
    let mut fleet = ToolFleet::start(small_plan());
    assert_in_force(&fleet.add_centre(0, "negombo", &["--wait"]), 1, 6);
    fleet
        .fleet
        .log
        .control(|control| control.outage = OutageMode::Silent);
    fleet.fleet.restart_entry(0);
    let host = fleet.fleet.host_index("negombo-01");
    fleet.fleet.restart_agent(host);
    fleet.await_revision(1);
}

#[test]
fn catch_up_from_peers() {
    let mut fleet = ToolFleet::start(small_plan());
    assert_in_force(&fleet.add_centre(0, "negombo", &["--wait"]), 1, 6);
    for index in 0..700 {
        let centre = json!({"name": "negombo", "in_service": index % 2 == 0});
        let note = json!({"based_on": null, "changed": {"data_centres": [centre]}});
        fleet.fleet.publish(&format!("change-{index}"), &note);
    }
    fleet.await_revision(701);
    fleet
        .fleet
        .wait_until("the log contains a snapshot", |fleet| {
            let records = fleet.log.records("notes");
            records
                .iter()
                .any(|record| record.starts_with(b"{\"snapshot\""))
        });
    fleet
        .fleet
        .log
        .control(|control| control.outage = OutageMode::Silent);
    fleet.fleet.restart_entry(0);
    let host = fleet.fleet.host_index("negombo-01");
    fleet.fleet.restart_agent(host);
    fleet.await_revision(701);
}

#[test]
fn snapshot_covers_retention() {
    let plan = small_plan()
        .log(|control| control.retention_records = 12)
        .agent_settings(&json!({"schedule": {"snapshot_records": 4}}));
    let mut fleet = ToolFleet::start(plan);
    let monitor = fleet.monitor();
    let mut revision = 0;
    for index in 0..20 {
        let run = fleet.add_centre(revision, &format!("centre-{index}"), &["--wait", "--json"]);
        assert_eq!(run.status, 0, "{run:?}");
        revision = run.json()["revision"]
            .as_u64()
            .expect("the report contains a revision");
    }
    monitor.finish();
    fleet.fleet.restart_entry(1);
    let host = fleet.fleet.host_index("colombo-02");
    fleet.fleet.restart_agent(host);
    fleet.await_revision(revision);
}
