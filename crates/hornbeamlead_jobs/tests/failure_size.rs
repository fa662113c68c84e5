//! Size of what snapshots keep of failures, at the size of two years; prints its figures.

use hornbeamlead_jobs::ids::{HostName, JobId, StepName, TaskName, TaskSlot, WorkerIncarnation};
use hornbeamlead_jobs::ledger::{JobLedger, TaskCrashes, WorkerFailures};
use hornbeamlead_jobs::snapshot::{SnapshotSet, snapshot_records};
use rstest::rstest;

/// Bytes that a planner may send in the time between two snapshots: 9 KB/s for 3 s.
const PLANNER_BYTES: usize = 27_000;

fn host(number: u32) -> HostName {
    format!("side-kalutara-yard-{number}").into()
}

fn snapshot_bytes(ledger: &JobLedger) -> usize {
    let records = snapshot_records(ledger, 0, SnapshotSet::First).into_iter();
    let values = records.filter_map(|record| record.value);
    values.map(|value| value.len()).sum()
}

/// Returns what snapshots take more than without failures, in bytes.
fn failure_bytes(workers: u32, tasks: u32, hosts_each: u32) -> usize {
    let mut ledger = JobLedger::default();
    for number in 0..workers {
        let incarnation = WorkerIncarnation {
            id: format!("i-{number:08x}").into(),
            born: 1_796_395_218_000 + u64::from(number),
        };
        let failures = WorkerFailures {
            incarnation,
            count: 3,
            heartbeats: 119,
        };
        ledger.worker_failures.insert(host(number), failures);
    }
    for index in 0..tasks {
        let step = StepName {
            job: JobId(u64::MAX - u64::from(index)),
            occurrence: 0,
            step: 0,
        };
        let hosts = (0..hosts_each).map(|number| host((index + number) % 14_000));
        let task = TaskName { step, index: 0 };
        ledger.failed_hosts.insert(task, hosts.collect());
    }
    snapshot_bytes(&ledger) - snapshot_bytes(&JobLedger::default())
}

/// Returns what snapshots take more if workers have crashed under tasks, in bytes.
fn crash_bytes(tasks: u32) -> usize {
    let mut ledger = JobLedger::default();
    for number in 0..tasks {
        let slot = TaskSlot {
            job: JobId(u64::MAX - u64::from(number)),
            step: 1,
            index: number % 1000,
        };
        let crashes = TaskCrashes {
            certain: 1,
            alone: 1,
            count: 2,
            weight: 3,
        };
        ledger.crashes.insert(slot, crashes);
    }
    snapshot_bytes(&ledger) - snapshot_bytes(&JobLedger::default())
}

/// The worst case is that workers have crashed under all tasks of a cell; more than 10,000 are not kept.
#[rstest]
#[case::cell(823)]
#[case::most(10_000)]
fn crash_size(#[case] tasks: u32) {
    let bytes = crash_bytes(tasks);
    println!("{tasks} tasks: {bytes} B");
    assert!(tasks > 823 || bytes <= PLANNER_BYTES, "{bytes} B");
}

/// One task in twenty fails on a sound worker. The worst case is that all tasks have failed on four
/// hosts and all workers within 30 s.
#[rstest]
#[case::cell(64, 823)]
#[case::fleet(14_000, 180_000)]
fn size_measured(#[case] workers: u32, #[case] tasks: u32) {
    let usual = failure_bytes(workers / 20, tasks / 20, 1);
    let worst = failure_bytes(workers, tasks, 4);
    println!("{workers} workers, {tasks} tasks: {usual} B, at worst {worst} B");
    assert!(workers > 64 || usual <= PLANNER_BYTES, "{usual} B");
}
