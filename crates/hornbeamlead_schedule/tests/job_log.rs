//! Replay of the jobs stream: a task has one owner, and late or repeated records release nothing.

use hornbeamlead_core::ids::{AttemptId, CellId, Epoch, LogOffset, TaskId};
use hornbeamlead_core::record::{
    JobEntry, JobRecord, LogRecord, ReleasedTask, TaskRange, WriterPosition,
};
use hornbeamlead_schedule::job_log::{JobState, writer_record_id};
use hornbeamlead_schedule::stream::StreamState;
use rstest::rstest;

const FIRST: CellId = CellId(1);
const SECOND: CellId = CellId(2);

fn task() -> TaskId {
    TaskId {
        job: "season".parse().expect("valid name"),
        index: 0,
    }
}

fn apply(state: &mut JobState, cell: CellId, epoch: u64, sequence: u64, entry: JobEntry) {
    let position = WriterPosition {
        cell,
        epoch: Epoch(epoch),
        sequence,
    };
    let record = JobRecord {
        id: writer_record_id(&position),
        entry,
    };
    let offset = LogOffset(state.next().0);
    state.apply(&LogRecord { offset, record });
}

fn claim(cell: CellId) -> JobEntry {
    JobEntry::Claim {
        cell,
        epoch: Epoch(1),
        range: TaskRange {
            job: task().job,
            first: 0,
            count: 4,
        },
    }
}

fn release(cell: CellId) -> JobEntry {
    let attempt = AttemptId {
        task: task(),
        number: 1,
    };
    JobEntry::Release {
        cell,
        epoch: Epoch(1),
        tasks: vec![ReleasedTask {
            attempt,
            token: None,
        }],
    }
}

#[test]
fn first_claim_wins() {
    let mut state = JobState::default();
    apply(&mut state, FIRST, 1, 1, claim(FIRST));
    apply(&mut state, SECOND, 1, 1, claim(SECOND));
    assert!(state.owns(FIRST, &task()));
    assert!(!state.owns(SECOND, &task()));
}

#[test]
fn foreign_release_ignored() {
    let mut state = JobState::default();
    apply(&mut state, FIRST, 1, 1, claim(FIRST));
    apply(&mut state, SECOND, 1, 1, release(SECOND));
    assert!(state.owns(FIRST, &task()));
}

#[rstest]
#[case::replaced_planner(1, 9)]
#[case::repeated_record(2, 1)]
fn late_release_ignored(#[case] epoch: u64, #[case] sequence: u64) {
    let mut state = JobState::default();
    apply(&mut state, FIRST, 1, 1, claim(FIRST));
    let tasks = Vec::new();
    let fence = JobEntry::Release {
        cell: FIRST,
        epoch: Epoch(2),
        tasks,
    };
    apply(&mut state, FIRST, 2, 1, fence);
    apply(&mut state, FIRST, epoch, sequence, release(FIRST));
    assert!(state.owns(FIRST, &task()));
}

#[test]
fn late_release_after_snapshot() {
    let mut state = JobState::default();
    apply(&mut state, FIRST, 2, 5, claim(FIRST));
    let snapshot = JobEntry::Snapshot(state.snapshot(|_| true));
    let position = WriterPosition {
        cell: SECOND,
        epoch: Epoch(1),
        sequence: 1,
    };
    let record = JobRecord {
        id: writer_record_id(&position),
        entry: snapshot,
    };
    let mut restored = JobState::restore(&record).expect("a snapshot");
    apply(&mut restored, FIRST, 1, 9, release(FIRST));
    assert!(restored.owns(FIRST, &task()));
    apply(&mut restored, FIRST, 2, 6, release(FIRST));
    assert!(!restored.owns(FIRST, &task()));
}
