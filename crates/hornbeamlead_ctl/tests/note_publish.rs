//! Publishing of notes: verdicts, races, lost answers, outages and retention.

mod common;

use common::{ToolHarness, ToolRun, finish, text};
use hornbeamlead_core::event::NoteEntry;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_settings::note::{decode_entry, encode_snapshot};
use hornbeamlead_standin::client::{TestRequest, send_blocking};
use hornbeamlead_standin::log::OutageMode;
use std::time::Duration;

fn assert_accepted(run: &ToolRun, revision: u64) {
    assert_eq!(run.status, 0, "{run:?}");
    let wanted = format!("accepted: revision {revision}");
    assert!(run.out.contains(&wanted), "{run:?}");
}

fn assert_refused(run: &ToolRun, words: &str) {
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.out.contains(words), "{run:?}");
}

#[test]
fn note_accepted() {
    let harness = ToolHarness::start();
    let file = harness.centre_note("open", "0", "negombo");
    assert_accepted(&harness.apply(&file, &[]), 1);
    assert_accepted(&harness.run(&["note", "status", "open"]), 1);
    let run = harness.run(&["note", "status", "other"]);
    assert_refused(&run, "is not on the log");
}

#[test]
fn outdated_basis() {
    let harness = ToolHarness::start();
    assert_accepted(
        &harness.apply(&harness.centre_note("first", "0", "negombo"), &[]),
        1,
    );
    let run = harness.apply(&harness.centre_note("second", "0", "colombo"), &[]);
    assert_refused(&run, "based on revision 0, but revision 1 is in force");
    let run = harness.run(&["note", "status", "second", "--json"]);
    assert_eq!(run.json()["outcome"], "refused", "{run:?}");
}

#[test]
fn racing_operators() {
    for round in 0..5 {
        let harness = ToolHarness::start();
        harness
            .log
            .control(|control| control.append_latency_ms = 20 * round);
        let first = harness.centre_note("first", "0", "negombo");
        let second = harness.centre_note("second", "0", "colombo");
        let first = harness.spawn(&["note", "apply", text(&first)]);
        let second = harness.spawn(&["note", "apply", text(&second)]);
        let mut runs = [finish(first), finish(second)];
        runs.sort_by_key(|run| run.status);
        assert_eq!(runs[0].status, 0, "{runs:?}");
        assert_refused(&runs[1], "based on revision 0, but revision 1 is in force");
    }
}

#[test]
fn lost_answer() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.lost_answer_percent = 100);
    let file = harness.centre_note("open", "0", "negombo");
    assert_accepted(&harness.apply(&file, &[]), 1);
    assert_eq!(harness.log.records("notes").len(), 1);
}

#[test]
fn applied_again() {
    let harness = ToolHarness::start();
    let file = harness.centre_note("open", "0", "negombo");
    assert_accepted(&harness.apply(&file, &[]), 1);
    assert_accepted(&harness.apply(&file, &[]), 1);
    assert_eq!(harness.log.records("notes").len(), 1);
}

#[test]
fn concurrent_apply() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.append_latency_ms = 100);
    let file = harness.centre_note("open", "0", "negombo");
    let first = harness.spawn(&["note", "apply", text(&file)]);
    let second = harness.spawn(&["note", "apply", text(&file)]);
    assert_accepted(&finish(first), 1);
    assert_accepted(&finish(second), 1);
}

#[test]
fn id_reused() {
    let harness = ToolHarness::start();
    assert_accepted(
        &harness.apply(&harness.centre_note("open", "0", "negombo"), &[]),
        1,
    );
    let run = harness.apply(&harness.centre_note("open", "1", "colombo"), &[]);
    assert_refused(&run, "by a note of different content");
}

#[test]
fn silent_log() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.outage = OutageMode::Silent);
    let file = harness.centre_note("open", "0", "negombo");
    let run = harness.apply(&file, &["--timeout", "1s"]);
    assert_refused(&run, "not sent: the log did not answer");
    assert!(harness.log.records("notes").is_empty());
}

#[test]
fn outcome_unknown() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.append_latency_ms = 60_000);
    let file = harness.centre_note("open", "0", "negombo");
    let run = harness.apply(&file, &["--timeout", "1s"]);
    assert_refused(&run, "outcome unknown");
}

#[test]
fn outage_ends() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.outage = OutageMode::Refusing);
    let file = harness.centre_note("open", "0", "negombo");
    let child = harness.spawn(&["note", "apply", text(&file), "--timeout", "60s"]);
    std::thread::sleep(Duration::from_millis(600));
    assert!(harness.log.records("notes").is_empty());
    harness
        .log
        .control(|control| control.outage = OutageMode::None);
    assert_accepted(&finish(child), 1);
}

#[test]
fn retention_passed() {
    let harness = ToolHarness::start();
    harness.log.control(|control| control.retention_records = 2);
    let mut fleet = FleetState::default();
    for centre in ["negombo", "colombo", "kalutara"] {
        let base_revision = fleet.revision().to_string();
        let file = harness.centre_note(&format!("open-{centre}"), &base_revision, centre);
        let offset = fleet.next();
        assert_accepted(&harness.apply(&file, &[]), offset.0 + 1);
        append_snapshot(&harness, &mut fleet);
    }
    assert_accepted(&harness.run(&["note", "status", "open-negombo"]), 1);
}

/// Applies the last note on the log to `fleet`, then appends a snapshot of the configuration.
fn append_snapshot(harness: &ToolHarness, fleet: &mut FleetState) {
    let offset = fleet.next();
    let payload = harness
        .log
        .records("notes")
        .pop()
        .expect("the log contains a note");
    let Ok(NoteEntry::Note(note)) = decode_entry(&payload) else {
        panic!("the last record is not a note");
    };
    fleet.apply(offset, &note).expect("the note is accepted");
    let snapshot = encode_snapshot(&fleet.snapshot());
    let request = TestRequest::post(harness.log.addr(), "/streams/notes/records", snapshot);
    let answer = send_blocking(&request).expect("the log answers");
    assert_eq!(answer.status.as_u16(), 201);
    fleet.skip(fleet.next());
}

#[test]
fn snapshot_missing() {
    let harness = ToolHarness::start();
    harness.log.control(|control| control.retention_records = 1);
    assert_accepted(
        &harness.apply(&harness.centre_note("first", "0", "negombo"), &[]),
        1,
    );
    assert_accepted(
        &harness.apply(&harness.centre_note("second", "1", "colombo"), &[]),
        2,
    );
    let run = harness.apply(&harness.centre_note("third", "2", "kalutara"), &[]);
    assert_refused(&run, "neither all notes nor a snapshot");
    assert_eq!(harness.log.records("notes").len(), 1);
}

#[test]
fn drain_and_return() {
    let harness = ToolHarness::start();
    assert_accepted(
        &harness.apply(&harness.centre_note("open", "0", "negombo"), &[]),
        1,
    );
    let drain = harness.run(&["drain", "negombo"]);
    assert_accepted(&drain, 2);
    assert!(drain.out.starts_with("note drain-negombo-"), "{drain:?}");
    assert_accepted(&harness.run(&["return", "negombo"]), 3);
    let run = harness.run(&["drain", "colombo"]);
    assert_refused(&run, "data centre colombo does not exist");
    let run = harness.run(&["cancel", "seasoning-7"]);
    assert_refused(&run, "job seasoning-7 does not exist");
    let long = "x".repeat(64);
    let run = harness.run(&["cancel", &long]);
    assert_refused(&run, &format!("job {long} does not exist"));
}
