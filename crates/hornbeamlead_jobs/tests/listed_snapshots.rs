//! Snapshots of the version before, which list all tasks.

use bytes::Bytes;
use hornbeamlead_jobs::ids::{JobId, RunNumber, StepName, TaskName};
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobRecord, JobSchedule, StepSpec};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::ReadRecord;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const JOB: JobId = JobId(7);

/// First byte of all that version 1 encodes.
const VERSION: u8 = 1;

/// Task as listed: number of the last attempt, failures, checkpoint, whether it is done, attempts.
type ListedTask = (u32, u16, Option<Box<str>>, bool, Vec<ListedPlacement>);

/// Attempt, host, and the worker's id and start.
type ListedPlacement = (u32, Box<str>, (Box<str>, u64));

#[derive(Serialize)]
struct ListedJob {
    queue: Box<str>,
    phase: JobPhase,
    occurrences: BTreeMap<u32, Vec<Vec<ListedTask>>>,
}

#[derive(Serialize)]
struct ListedLedger {
    jobs: BTreeMap<JobId, ListedJob>,
    ended: BTreeMap<JobId, JobPhase>,
    hosts: BTreeMap<Box<str>, SocketAddr>,
    jobs_read: u64,
    learned: Vec<u8>,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("the value encodes")
}

fn listed_record() -> ReadRecord {
    let placement = (2, "h1".into(), ("w-1".into(), 5));
    let tasks = vec![
        (1, 0, None, true, Vec::new()),
        (2, 1, Some("c".into()), false, vec![placement]),
        (0, 0, None, false, Vec::new()),
    ];
    let job = ListedJob {
        queue: "h/q/".into(),
        phase: JobPhase::Running,
        occurrences: BTreeMap::from([
            (0, vec![vec![(1, 0, None, true, Vec::new()); 3]]),
            (1, vec![tasks]),
        ]),
    };
    let ledger = ListedLedger {
        jobs: BTreeMap::from([(JOB, job)]),
        ended: BTreeMap::from([(JobId(3), JobPhase::Completed)]),
        hosts: BTreeMap::new(),
        jobs_read: 9,
        learned: Vec::new(),
    };
    let part = (70_u64, 0_u32, 1_u32, encode(&ledger));
    ReadRecord {
        offset: 4,
        key: "part/0".into(),
        value: Some(Bytes::from(encode(&part))),
    }
}

/// Guards against a planner that starts without the state of the version before, or that starts
/// again what is done.
#[test]
fn earlier_read() {
    let snapshot = read_snapshot(&[listed_record()]).expect("the snapshot decodes");
    let (mut ledger, offset) = snapshot.expect("the snapshot is complete");
    assert_eq!((offset, ledger.jobs_read), (70, 9));
    assert_eq!(ledger.phase(JobId(3)), Some(JobPhase::Completed));
    let step = StepSpec {
        tasks: 3,
        ..StepSpec::default()
    };
    let record = JobRecord {
        body: JobBody {
            spec: "work".into(),
            steps: vec![step],
            schedule: JobSchedule {
                times: 4,
                ..JobSchedule::default()
            },
        },
        ..JobRecord::default()
    };
    ledger.set_record(JOB, Arc::new(record));
    let task = |occurrence, index| {
        let step = StepName {
            job: JOB,
            occurrence,
            step: 0,
        };
        let (_, task) = ledger.task(TaskName { step, index }).expect("known");
        task.clone()
    };
    assert!((0..3).all(|index| task(0, index).done));
    assert!(task(1, 0).done);
    let running = task(1, 1);
    assert_eq!((running.last_run, running.failures), (RunNumber(2), 1));
    assert_eq!(running.placements[0].host, "h1".into());
    assert!(task(1, 2).is_waiting());
    assert_eq!(ledger.jobs[&JOB].next_occurrence(), 2);
}

/// Guards against a version before that takes a snapshot of this one for its own, and starts again what
/// is done: the ledger begins with another byte.
#[test]
fn unknown_to_earlier() {
    let record = snapshot_records(&Default::default(), 7, SnapshotSet::First).remove(0);
    let value = record.value.expect("a part has content");
    // Version, plan offset, number, count and length take a byte each.
    assert_eq!((value[0], value[5]), (VERSION, 2));
}
