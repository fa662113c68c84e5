//! Ends of attempts that a new planner replays before it has read the bodies of the jobs.

mod world;

use hornbeamlead_jobs::ids::{JobId, RunName, RunNumber, StepName, TaskName, WorkerIncarnation};
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobRecord, RunEnd, StepSpec};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::PlanRecord;
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{NewRecord, ReadRecord};
use rstest::rstest;
use std::sync::Arc;
use world::{World, WorldFaults};

const JOB: JobId = JobId(31);

/// Number of tasks of each step.
const TASKS: u32 = 3;

fn step(after: &[u16]) -> StepSpec {
    StepSpec {
        tasks: TASKS,
        cpu: 500,
        memory: 100,
        estimate_ms: 500,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(&[])
    }
}

fn long_running() -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(&[])
    }
}

fn body(steps: Vec<StepSpec>) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps,
        ..JobBody::default()
    }
}

fn run(index: u32, number: u32) -> RunName {
    let step = StepName {
        job: JOB,
        ..StepName::default()
    };
    RunName {
        task: TaskName { step, index },
        run: RunNumber(number),
    }
}

fn started(index: u32, number: u32) -> PlanRecord {
    PlanRecord::Started {
        run: run(index, number),
        host: format!("h{index}").into(),
        incarnation: WorkerIncarnation::default(),
    }
}

fn ended(index: u32, number: u32, end: RunEnd) -> PlanRecord {
    PlanRecord::Ended {
        run: run(index, number),
        end,
        saved: None,
    }
}

/// Applies the records to a ledger in which the job is accepted, with its body or without.
fn apply(body: Option<&JobBody>, records: &[PlanRecord]) -> JobLedger {
    let mut ledger = JobLedger::default();
    ledger.apply(&PlanRecord::Accepted {
        job: JOB,
        queue: "h/q/".into(),
    });
    if let Some(body) = body {
        set_body(&mut ledger, body);
    }
    for record in records {
        ledger.apply(record);
    }
    ledger
}

fn set_body(ledger: &mut JobLedger, body: &JobBody) {
    let record = JobRecord {
        body: body.clone(),
        ..JobRecord::default()
    };
    ledger.set_record(JOB, Arc::new(record));
}

/// Stores the ledger as a snapshot and reads it again.
fn restored(ledger: &JobLedger) -> JobLedger {
    let read = |(offset, record): (usize, NewRecord)| ReadRecord {
        offset: offset as u64,
        key: record.key.unwrap_or_default(),
        value: record.value,
    };
    let records = snapshot_records(ledger, 7, SnapshotSet::First)
        .into_iter()
        .enumerate();
    let records: Vec<_> = records.map(read).collect();
    let snapshot = read_snapshot(&records).expect("the snapshot decodes");
    snapshot.expect("the snapshot is complete").0
}

/// Guards against a gang of which only one member counts as done, and a long-running task that
/// counts as done for good, because the planner was replaced after their end.
#[rstest]
#[case(gang(), vec![started(0, 1), started(1, 1), started(2, 1), ended(1, 1, RunEnd::Done)])]
#[case(gang(), vec![
    started(0, 1), started(1, 1), started(2, 1),
    ended(0, 1, RunEnd::Broken), ended(1, 1, RunEnd::Broken), ended(2, 1, RunEnd::Stopped),
    started(0, 2), started(1, 2), started(2, 2), ended(2, 2, RunEnd::Done),
])]
#[case(long_running(), vec![started(0, 1), started(2, 1), ended(0, 1, RunEnd::Done)])]
#[case(long_running(), vec![
    started(0, 1), ended(0, 1, RunEnd::Done), started(0, 2), ended(0, 2, RunEnd::Failed),
])]
#[case(step(&[]), vec![started(0, 1), started(1, 1), ended(1, 1, RunEnd::Done)])]
#[case(gang(), vec![
    started(0, 1), started(1, 1), started(2, 1), ended(1, 1, RunEnd::Done),
    PlanRecord::Closed { job: JOB, phase: JobPhase::Cancelled },
])]
#[case(gang(), vec![
    started(0, 1), started(1, 1), started(2, 1),
    ended(1, 1, RunEnd::Done), ended(0, 1, RunEnd::Failed), ended(2, 1, RunEnd::Lost),
])]
#[case(gang(), vec![
    started(0, 1), started(1, 1), started(2, 1),
    ended(2, 1, RunEnd::Broken), ended(0, 1, RunEnd::Done), ended(1, 1, RunEnd::Done),
])]
#[case(gang(), vec![
    started(0, 1), started(1, 1), started(2, 1), ended(1, 1, RunEnd::Done),
    PlanRecord::Closed { job: JOB, phase: JobPhase::Cancelled },
    ended(2, 1, RunEnd::Done), ended(0, 1, RunEnd::NotStarted),
])]
fn replayed_without_body(#[case] step: StepSpec, #[case] records: Vec<PlanRecord>) {
    let body = body(vec![step, self::step(&[0])]);
    let expected = apply(Some(&body), &records);
    for split in 0..=records.len() {
        let mut ledger = restored(&apply(None, &records[..split]));
        for record in &records[split..] {
            ledger.apply(record);
        }
        set_body(&mut ledger, &body);
        assert_eq!(ledger, expected, "with a snapshot after {split} records");
    }
}

/// Guards against members of a completed gang that no longer count as placed, or that start again.
#[rstest]
#[case(RunEnd::Done)]
#[case(RunEnd::Failed)]
#[case(RunEnd::Broken)]
#[case(RunEnd::Lapsed)]
#[case(RunEnd::Lost)]
#[case(RunEnd::NotStarted)]
fn members_placed_until_their_ends(#[case] end: RunEnd, #[values(false, true)] known: bool) {
    let body = body(vec![gang()]);
    let starts = [started(0, 1), started(1, 1), started(2, 1)];
    let mut ledger = apply(known.then_some(&body), &starts);
    ledger.apply(&ended(1, 1, RunEnd::Done));
    set_body(&mut ledger, &body);
    let placed =
        |ledger: &JobLedger| [0, 1, 2].map(|index| ledger.placement(run(index, 1)).is_some());
    assert_eq!(placed(&ledger), [true, false, true]);
    assert!(ledger.jobs[&JOB].is_done());
    ledger.apply(&ended(2, 1, end));
    assert_eq!(placed(&ledger), [true, false, false]);
    for index in 0..TASKS {
        let (_, task) = ledger.task(run(index, 1).task).expect("the task is known");
        assert!(!task.is_waiting(), "task {index} waits after {end}");
    }
    ledger.apply(&PlanRecord::Closed {
        job: JOB,
        phase: JobPhase::Completed,
    });
    assert!(ledger.jobs.contains_key(&JOB));
    ledger.apply(&ended(0, 1, end));
    assert!(!ledger.jobs.contains_key(&JOB));
    assert_eq!(ledger.phase(JOB), Some(JobPhase::Completed));
}

/// Guards against steps that never start because the planner was replaced around the end of the
/// gang before them.
#[test]
fn gang_completes() {
    let gang = StepSpec {
        best_effort: true,
        ..gang()
    };
    for span_ms in (400..2400).step_by(100) {
        let mut world = World::new(span_ms, 4, WorldFaults::default(), 0);
        world.best_effort_ms = Some(500);
        world.run(3000);
        world.submit(JOB, body(vec![gang.clone(), step(&[0])]));
        world.run(span_ms);
        let planner = world.planner_host().expect("a planner is elected");
        world.kill(planner);
        world.run(8000);
        let phase = world.phase(JOB);
        assert_eq!(phase, Some(JobPhase::Completed), "after {span_ms} ms");
        assert_eq!(world.judge.violations, Vec::<String>::new());
    }
}
