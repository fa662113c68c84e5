//! Publishing notes: verdicts, races, lost answers, outages and retention.

mod common;

use common::{ToolBench, ToolRun, finish, text};
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
    let bench = ToolBench::start();
    let file = bench.centre_note("open", "0", "negombo");
    assert_accepted(&bench.apply(&file, &[]), 1);
    assert_accepted(&bench.run(&["note", "status", "open"]), 1);
    let run = bench.run(&["note", "status", "other"]);
    assert_refused(&run, "is not on the log");
}

#[test]
fn outdated_basis() {
    let bench = ToolBench::start();
    assert_accepted(
        &bench.apply(&bench.centre_note("first", "0", "negombo"), &[]),
        1,
    );
    let run = bench.apply(&bench.centre_note("second", "0", "colombo"), &[]);
    assert_refused(&run, "based on revision 0, but revision 1 is in force");
    let run = bench.run(&["note", "status", "second", "--json"]);
    assert_eq!(run.json()["outcome"], "refused", "{run:?}");
}

#[test]
fn racing_operators() {
    for round in 0..5 {
        let bench = ToolBench::start();
        bench
            .log
            .control(|control| control.append_latency_ms = 20 * round);
        let first = bench.centre_note("first", "0", "negombo");
        let second = bench.centre_note("second", "0", "colombo");
        let first = bench.spawn(&["note", "apply", text(&first)]);
        let second = bench.spawn(&["note", "apply", text(&second)]);
        let mut runs = [finish(first), finish(second)];
        runs.sort_by_key(|run| run.status);
        assert_eq!(runs[0].status, 0, "{runs:?}");
        assert_refused(&runs[1], "based on revision 0, but revision 1 is in force");
    }
}

#[test]
fn lost_answer() {
    let bench = ToolBench::start();
    bench
        .log
        .control(|control| control.lost_answer_percent = 100);
    let file = bench.centre_note("open", "0", "negombo");
    assert_accepted(&bench.apply(&file, &[]), 1);
    assert_eq!(bench.log.records("notes").len(), 1);
}

#[test]
fn applied_again() {
    let bench = ToolBench::start();
    let file = bench.centre_note("open", "0", "negombo");
    assert_accepted(&bench.apply(&file, &[]), 1);
    assert_accepted(&bench.apply(&file, &[]), 1);
    assert_eq!(bench.log.records("notes").len(), 1);
}

#[test]
fn applied_at_once() {
    let bench = ToolBench::start();
    bench.log.control(|control| control.append_latency_ms = 100);
    let file = bench.centre_note("open", "0", "negombo");
    let first = bench.spawn(&["note", "apply", text(&file)]);
    let second = bench.spawn(&["note", "apply", text(&file)]);
    assert_accepted(&finish(first), 1);
    assert_accepted(&finish(second), 1);
}

#[test]
fn id_reused() {
    let bench = ToolBench::start();
    assert_accepted(
        &bench.apply(&bench.centre_note("open", "0", "negombo"), &[]),
        1,
    );
    let run = bench.apply(&bench.centre_note("open", "1", "colombo"), &[]);
    assert_refused(&run, "by a note of different content");
}

#[test]
fn silent_log() {
    let bench = ToolBench::start();
    bench
        .log
        .control(|control| control.outage = OutageMode::Silent);
    let file = bench.centre_note("open", "0", "negombo");
    let run = bench.apply(&file, &["--timeout", "1s"]);
    assert_refused(&run, "not sent: the log did not answer");
    assert!(bench.log.records("notes").is_empty());
}

#[test]
fn outcome_unknown() {
    let bench = ToolBench::start();
    bench
        .log
        .control(|control| control.append_latency_ms = 60_000);
    let file = bench.centre_note("open", "0", "negombo");
    let run = bench.apply(&file, &["--timeout", "1s"]);
    assert_refused(&run, "outcome unknown");
}

#[test]
fn outage_ends() {
    let bench = ToolBench::start();
    bench
        .log
        .control(|control| control.outage = OutageMode::Refusing);
    let file = bench.centre_note("open", "0", "negombo");
    let child = bench.spawn(&["note", "apply", text(&file), "--timeout", "60s"]);
    std::thread::sleep(Duration::from_millis(600));
    assert!(bench.log.records("notes").is_empty());
    bench
        .log
        .control(|control| control.outage = OutageMode::None);
    assert_accepted(&finish(child), 1);
}

#[test]
fn retention_passed() {
    let bench = ToolBench::start();
    bench.log.control(|control| control.retention_records = 2);
    let mut fleet = FleetState::default();
    for centre in ["negombo", "colombo", "kalutara"] {
        let basis = fleet.revision().to_string();
        let file = bench.centre_note(&format!("open-{centre}"), &basis, centre);
        let offset = fleet.next();
        assert_accepted(&bench.apply(&file, &[]), offset.0 + 1);
        append_snapshot(&bench, &mut fleet);
    }
    assert_accepted(&bench.run(&["note", "status", "open-negombo"]), 1);
}

/// Applies the newest note of the log, then writes the whole configuration after it.
fn append_snapshot(bench: &ToolBench, fleet: &mut FleetState) {
    let offset = fleet.next();
    let payload = bench
        .log
        .records("notes")
        .pop()
        .expect("a note stands there");
    let Ok(NoteEntry::Note(note)) = decode_entry(&payload) else {
        panic!("a note stands last");
    };
    fleet.apply(offset, &note).expect("the note is accepted");
    let snapshot = encode_snapshot(&fleet.snapshot());
    let request = TestRequest::post(bench.log.addr(), "/streams/notes/records", snapshot);
    let answer = send_blocking(&request).expect("the log answers");
    assert_eq!(answer.status.as_u16(), 201);
    fleet.skip(fleet.next());
}

#[test]
fn snapshot_missing() {
    let bench = ToolBench::start();
    bench.log.control(|control| control.retention_records = 1);
    assert_accepted(
        &bench.apply(&bench.centre_note("first", "0", "negombo"), &[]),
        1,
    );
    assert_accepted(
        &bench.apply(&bench.centre_note("second", "1", "colombo"), &[]),
        2,
    );
    let run = bench.apply(&bench.centre_note("third", "2", "kalutara"), &[]);
    assert_refused(&run, "neither all notes nor a snapshot");
    assert_eq!(bench.log.records("notes").len(), 1);
}

#[test]
fn centre_moved() {
    let bench = ToolBench::start();
    assert_accepted(
        &bench.apply(&bench.centre_note("open", "0", "negombo"), &[]),
        1,
    );
    let drain = bench.run(&["drain", "negombo"]);
    assert_accepted(&drain, 2);
    assert!(drain.out.starts_with("note drain-negombo-"), "{drain:?}");
    assert_accepted(&bench.run(&["return", "negombo"]), 3);
    let run = bench.run(&["drain", "colombo"]);
    assert_refused(&run, "data centre colombo does not exist");
    let run = bench.run(&["cancel", "seasoning-7"]);
    assert_refused(&run, "job seasoning-7 does not exist");
    let long = "x".repeat(64);
    let run = bench.run(&["cancel", &long]);
    assert_refused(&run, &format!("job {long} does not exist"));
}
