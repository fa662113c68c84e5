//! Checks of workers' histories.

use hornbeamlead_platform::worker_wire::AttemptWire;
use hornbeamlead_standin::fleet::checker::{
    finished_tasks, lost_work_ms, overlapping_runs, repeated_attempts,
};
use hornbeamlead_standin::worker::history::{TaskEvent, TaskEventKind, WorkerHistory};

fn event(at_us: u64, event: TaskEventKind, number: u32, progress_ms: u64) -> TaskEvent {
    TaskEvent {
        at_us,
        event,
        attempt: AttemptWire {
            job: "seasoning".into(),
            index: 0,
            number,
        },
        kind: "report".into(),
        progress_ms,
        checkpoint_ms: 0,
    }
}

fn history(events: Vec<TaskEvent>) -> WorkerHistory {
    WorkerHistory {
        events,
        ..WorkerHistory::default()
    }
}

/// A task whose lease expires on one worker at 500 µs and which starts on another at
/// `second_start_us`.
fn moved_task(second_start_us: u64) -> Vec<WorkerHistory> {
    let first = history(vec![
        event(100, TaskEventKind::Started, 1, 0),
        event(500, TaskEventKind::Lapsed, 1, 40),
    ]);
    let second = history(vec![
        event(second_start_us, TaskEventKind::Started, 2, 30),
        event(second_start_us + 10, TaskEventKind::DuplicateRefused, 2, 0),
        event(second_start_us + 100, TaskEventKind::Finished, 2, 90),
    ]);
    vec![first, second]
}

#[test]
fn clean_move() {
    let histories = moved_task(500);
    assert_eq!(overlapping_runs(&histories), []);
    assert_eq!(repeated_attempts(&histories), []);
    assert_eq!(finished_tasks(&histories, "seasoning"), 1);
    let lost: Vec<u64> = lost_work_ms(&histories).into_values().collect();
    assert_eq!(lost, [10]);
}

#[test]
fn overlapping_move() {
    assert_eq!(overlapping_runs(&moved_task(499)).len(), 1);
}

#[test]
fn same_attempt_twice() {
    let run = history(vec![event(1, TaskEventKind::Started, 1, 0)]);
    assert_eq!(repeated_attempts(&[run.clone(), run]).len(), 1);
}
