//! `status`: progress of jobs, replayed from the streams of the log.

mod common;

use bytes::Bytes;
use common::ToolHarness;
use hornbeamlead_core::ids::{AttemptId, CellId, Epoch, HostId, Incarnation, RecordId, TaskId};
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, EndedTask, EpochClaim, JobEntry,
    JobRecord, TaskRange,
};
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_standin::log::OutageMode;
use hornbeamlead_wire::{encode_cell, encode_job};

const JOB: &str = "seasoning-7";

const JOB_NOTE: &str = r#"{
  "id": "add-job", "based_on": 0, "author": "nimal",
  "added": {
    "teams": [{"name": "ledger", "quota": {"cpu": "8cores", "memory": "8GiB"}}],
    "jobs": [{
      "name": "seasoning-7", "team": "ledger", "kind": "seasoning", "tasks": 5,
      "size": {"cpu": "1core", "memory": "1GiB"}, "run_time": "1s",
      "deadline": "2030-01-01T00:00:00Z"
    }]
  }
}"#;

fn attempt(index: u32, number: u32) -> AttemptId {
    let task = TaskId {
        job: JOB.parse().expect("the name is valid"),
        index,
    };
    AttemptId { task, number }
}

fn host() -> HostId {
    "negombo-01".parse().expect("the name is valid")
}

fn record_id(text: &str) -> RecordId {
    text.parse().expect("the id is valid")
}

fn append_job(harness: &ToolHarness, sequence: u32, entry: JobEntry) {
    let id = record_id(&format!("1.1.{sequence}"));
    harness
        .log
        .append("jobs", encode_job(&JobRecord { id, entry }));
}

fn append_cell(harness: &ToolHarness, sequence: u32, entry: CellEntry) {
    let id = record_id(&format!("cell-{sequence}"));
    harness
        .log
        .append("cell.1", encode_cell(&CellRecord { id, entry }));
}

fn change(attempt: AttemptId, change: AttemptChange) -> AttemptRecord {
    AttemptRecord { attempt, change }
}

fn started(index: u32, number: u32) -> AttemptRecord {
    let change_to = AttemptChange::Started {
        host: host(),
        resume_from: None,
    };
    change(attempt(index, number), change_to)
}

/// Appends records in which cell 1 owns tasks 0 to 3: one finished, one runs again after a release,
/// one runs and one waits.
fn fill_streams(harness: &ToolHarness) {
    let range = TaskRange {
        job: JOB.parse().expect("the name is valid"),
        first: 0,
        count: 4,
    };
    let (cell, epoch) = (CellId(1), Epoch(1));
    append_job(harness, 1, JobEntry::Claim { cell, epoch, range });
    let claim = EpochClaim {
        host: host(),
        incarnation: Incarnation(1),
        control_address: "127.0.0.1:1".parse().expect("the address is valid"),
        previous: Epoch(0),
        successor: None,
        forced: false,
    };
    append_cell(harness, 1, CellEntry::Claim(claim));
    let released = AttemptChange::Released { token: None };
    let changes = vec![
        started(0, 1),
        started(1, 1),
        change(attempt(1, 1), released),
        started(1, 2),
        started(2, 1),
    ];
    append_cell(harness, 2, CellEntry::Attempts { epoch, changes });
    let ended = EndedTask {
        attempt: attempt(0, 1),
        phase: TaskPhase::Finished,
    };
    let tasks = vec![ended];
    append_job(harness, 2, JobEntry::Ended { cell, tasks });
}

#[test]
fn streams_replayed() {
    let harness = ToolHarness::start();
    let file = harness.write("job.json", JOB_NOTE);
    assert_eq!(harness.apply(&file, &[]).status, 0);
    fill_streams(&harness);
    let progress = &harness.run(&["status", "--json"]).json()["jobs"][JOB];
    assert_eq!(progress["finished"], 1, "{progress}");
    assert_eq!(progress["running"], 2, "{progress}");
    assert_eq!(progress["waiting"], 2, "{progress}");
    assert_eq!(progress["resumed"], 1, "{progress}");
}

#[test]
fn damaged_record() {
    let harness = ToolHarness::start();
    let file = harness.write("job.json", JOB_NOTE);
    assert_eq!(harness.apply(&file, &[]).status, 0);
    harness
        .log
        .append("jobs", Bytes::from_static(b"\xff\xff\xff"));
    fill_streams(&harness);
    harness
        .log
        .append("jobs", Bytes::from_static(b"\xff\xff\xff"));
    let progress = &harness.run(&["status", "--json"]).json()["jobs"][JOB];
    assert_eq!(progress["finished"], 1, "{progress}");
}

#[test]
fn log_down() {
    let harness = ToolHarness::start();
    harness
        .log
        .control(|control| control.outage = OutageMode::Refusing);
    let run = harness.run(&["status", "--json"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(
        run.json()["jobs"]
            .as_object()
            .expect("the report has jobs")
            .is_empty()
    );
}
