//! Failures of workers and tasks follow from the plan's records, and snapshots keep them.

use hornbeamlead_jobs::ids::{
    HostName, JobId, PlannerEpoch, RunName, RunNumber, StepName, StreamOffset, TaskName,
    WorkerIncarnation,
};
use hornbeamlead_jobs::job::{JobPhase, RunEnd};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::{PlanRecord, decode};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::ReadRecord;
use rstest::rstest;
use serde::Deserialize;

const JOB: JobId = JobId(21);

/// Snapshot part as earlier versions decode it.
#[derive(Deserialize)]
struct EarlierPart {
    _plan_offset: StreamOffset,
    _number: u32,
    _parts: u32,
    content: Vec<u8>,
}

fn task() -> TaskName {
    let step = StepName {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskName { step, index: 0 }
}

fn host(number: u32) -> HostName {
    format!("h{number}").into()
}

fn worker(born: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        id: "w".into(),
        born,
    }
}

fn begin_run(ledger: &mut JobLedger, number: u32, host: HostName, born: u64) -> RunName {
    let run = RunName {
        task: task(),
        run: RunNumber(number),
    };
    let incarnation = worker(born);
    ledger.apply(&PlanRecord::Started {
        run,
        host,
        incarnation,
    });
    run
}

fn run_on(ledger: &mut JobLedger, number: u32, host: HostName, born: u64, end: RunEnd) {
    let run = begin_run(ledger, number, host, born);
    let saved = None;
    ledger.apply(&PlanRecord::Ended { run, end, saved });
}

/// A ledger in which a task has failed on five hosts in turn, twice on the last.
fn failed_ledger() -> JobLedger {
    let mut ledger = JobLedger::default();
    let queue = "q".into();
    ledger.apply(&PlanRecord::Accepted { job: JOB, queue });
    for (number, on) in [1, 2, 3, 4, 5, 5].into_iter().enumerate() {
        run_on(&mut ledger, number as u32 + 1, host(on), 7, RunEnd::Failed);
    }
    ledger
}

fn count(ledger: &JobLedger, on: u32, born: u64) -> Option<u32> {
    let failures = ledger.failures_of(&host(on), &worker(born));
    failures.map(|failures| failures.count)
}

#[test]
fn failures_replayed() {
    let mut ledger = failed_ledger();
    assert_eq!(
        (count(&ledger, 1, 7), count(&ledger, 5, 7)),
        (Some(1), Some(2))
    );
    assert_eq!(count(&ledger, 5, 8), None);
    let hosts = ledger.failed_hosts.get(&task()).expect("the task failed");
    assert_eq!(*hosts, [3, 4, 5, 5].map(host));
    run_on(&mut ledger, 8, host(5), 8, RunEnd::Failed);
    assert_eq!(
        (count(&ledger, 5, 7), count(&ledger, 5, 8)),
        (None, Some(1))
    );
    run_on(&mut ledger, 9, host(5), 8, RunEnd::Done);
    assert_eq!(count(&ledger, 5, 8), None);
    assert_eq!(ledger.failed_hosts.get(&task()), None);
}

#[test]
fn stalls_replayed() {
    let mut ledger = failed_ledger();
    run_on(&mut ledger, 7, host(6), 7, RunEnd::Stopped);
    assert_eq!(count(&ledger, 6, 7), None);
    let run = begin_run(&mut ledger, 8, host(6), 7);
    ledger.apply(&PlanRecord::Stalled { run });
    assert_eq!(count(&ledger, 6, 7), Some(1));
    let hosts = ledger.failed_hosts.get(&task()).expect("the task stalled");
    assert_eq!(*hosts, [4, 5, 5, 6].map(host));
    let (end, saved) = (RunEnd::Stopped, None);
    ledger.apply(&PlanRecord::Ended { run, end, saved });
    ledger.apply(&PlanRecord::Stalled { run });
    assert_eq!(count(&ledger, 6, 7), Some(1));
}

/// What is kept of workers that run nothing and of jobs that have ended does not pile up.
#[test]
fn failures_forgotten() {
    let mut ledger = failed_ledger();
    for _ in 0..120 {
        assert!(!ledger.worker_failures.is_empty());
        ledger.apply(&PlanRecord::Tick { jobs_read: 0 });
    }
    assert!(ledger.worker_failures.is_empty());
    assert!(!ledger.failed_hosts.is_empty());
    let (job, phase) = (JOB, JobPhase::Failed);
    ledger.apply(&PlanRecord::Closed { job, phase });
    assert!(ledger.failed_hosts.is_empty());
}

/// Earlier versions read what precedes the failures, and ignore the rest.
#[rstest]
fn snapshot_keeps_failures(#[values(None, Some(PlannerEpoch(7)))] journaled: Option<PlannerEpoch>) {
    let ledger = JobLedger {
        journaled,
        ..failed_ledger()
    };
    let earlier = JobLedger {
        worker_failures: Default::default(),
        failed_hosts: Default::default(),
        ..ledger.clone()
    };
    let stored = |ledger: &JobLedger| snapshot_records(ledger, 7, SnapshotSet::First).remove(0);
    let value = stored(&ledger).value.expect("the part has a value");
    let content = |value: &[u8]| decode::<EarlierPart>(value).map(|part| part.content);
    let earlier = content(&stored(&earlier).value.expect("the part has a value"));
    let extended = content(&value).expect("the part decodes");
    assert!(extended.starts_with(&earlier.expect("the part decodes")));
    let read = ReadRecord {
        offset: 0,
        key: stored(&ledger).key.unwrap_or_default(),
        value: Some(value),
    };
    assert_eq!(read_snapshot(&[read]), Ok(Some((ledger, 7))));
}
