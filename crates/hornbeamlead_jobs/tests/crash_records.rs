//! Crashes under tasks follow from the plan's records, and snapshots keep them.

use hornbeamlead_jobs::ids::{
    HostName, JobId, RunName, RunNumber, StepName, TaskName, TaskSlot, WorkerIncarnation,
};
use hornbeamlead_jobs::job::{JobPhase, RunEnd};
use hornbeamlead_jobs::journal::CopyTerm;
use hornbeamlead_jobs::ledger::{CrashSuspicion, FleetUnrest, JobLedger, TaskCrashes};
use hornbeamlead_jobs::record::PlanRecord;
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::ReadRecord;
use rstest::rstest;

const JOB: JobId = JobId(21);

/// Most tasks of which crashes are known.
const MAX_TASKS: u32 = 10_000;

fn run_of(occurrence: u32, index: u32, number: u32) -> RunName {
    let step = StepName {
        job: JOB,
        occurrence,
        step: 0,
    };
    RunName {
        task: TaskName { step, index },
        run: RunNumber(number),
    }
}

fn accepted() -> JobLedger {
    let mut ledger = JobLedger::default();
    let queue = "q".into();
    ledger.apply(&PlanRecord::Accepted { job: JOB, queue });
    ledger
}

fn begin(ledger: &mut JobLedger, run: RunName) {
    let host: HostName = format!("h{}", run.run).into();
    let incarnation = WorkerIncarnation {
        id: "w".into(),
        born: 7,
    };
    ledger.apply(&PlanRecord::Started {
        run,
        host,
        incarnation,
    });
}

fn end(ledger: &mut JobLedger, run: RunName, end: RunEnd) {
    let saved = None;
    ledger.apply(&PlanRecord::Ended { run, end, saved });
}

fn crash(ledger: &mut JobLedger, run: RunName, suspicion: CrashSuspicion) {
    begin(ledger, run);
    ledger.apply(&PlanRecord::Crashed { run, suspicion });
    end(ledger, run, RunEnd::Lost);
}

fn crashes(ledger: &JobLedger) -> TaskCrashes {
    ledger.crashes_under(run_of(0, 3, 1).task.into())
}

#[test]
fn crashes_replayed() {
    use CrashSuspicion::{Alone, Certain, Likely, Possible, Unlikely};
    let mut ledger = accepted();
    crash(&mut ledger, run_of(0, 3, 1), Unlikely);
    assert!(!crashes(&ledger).is_isolated());
    // Another occurrence of the same task.
    crash(&mut ledger, run_of(4, 3, 2), Possible);
    assert!(!crashes(&ledger).is_isolated());
    crash(&mut ledger, run_of(0, 3, 3), Likely);
    assert!(crashes(&ledger).is_isolated());
    for (number, suspicion) in [(4, Certain), (5, Alone), (6, Certain)] {
        assert!(!crashes(&ledger).is_conclusive(FleetUnrest::Calm));
        crash(&mut ledger, run_of(0, 3, number), suspicion);
    }
    let expected = TaskCrashes {
        certain: 2,
        alone: 3,
        count: 6,
        weight: 9,
    };
    assert_eq!(crashes(&ledger), expected);
    assert!(crashes(&ledger).is_conclusive(FleetUnrest::Calm));
    assert!(!crashes(&ledger).is_conclusive(FleetUnrest::Some));
    let found = ledger
        .conclusive_crashes(JOB, FleetUnrest::Calm)
        .map(|found| found.0);
    assert_eq!(found, Some(TaskSlot::from(run_of(0, 3, 1).task)));
    assert_eq!(
        ledger.conclusive_crashes(JobId(20), FleetUnrest::Calm),
        None
    );
    assert_eq!(
        ledger.conclusive_crashes(JobId(22), FleetUnrest::Calm),
        None
    );
    crash(&mut ledger, run_of(0, 3, 7), Certain);
    assert!(crashes(&ledger).is_conclusive(FleetUnrest::Some));
    assert!(!crashes(&ledger).is_conclusive(FleetUnrest::Severe));
    // A record of an attempt that is not placed, as after a repeated append.
    let run = run_of(0, 3, 7);
    ledger.apply(&PlanRecord::Crashed {
        run,
        suspicion: Certain,
    });
    assert_eq!(crashes(&ledger).count, 7);
}

/// A task that succeeds in any occurrence, or runs for long, does not crash its workers; of a job that
/// has ended nothing is kept.
#[rstest]
fn crashes_forgotten(#[values("done", "sound", "closed")] cause: &str) {
    let mut ledger = accepted();
    crash(&mut ledger, run_of(0, 3, 1), CrashSuspicion::Certain);
    crash(&mut ledger, run_of(0, 4, 1), CrashSuspicion::Certain);
    let run = run_of(1, 3, 2);
    begin(&mut ledger, run);
    match cause {
        "done" => end(&mut ledger, run, RunEnd::Done),
        "sound" => ledger.apply(&PlanRecord::Sound { run }),
        _ => {
            let phase = JobPhase::Failed;
            ledger.apply(&PlanRecord::Closed { job: JOB, phase });
            end(&mut ledger, run, RunEnd::Stopped);
        }
    }
    assert_eq!(crashes(&ledger), TaskCrashes::default());
    let kept = if cause == "closed" { 0 } else { 1 };
    assert_eq!(ledger.crashes.len(), kept);
}

/// The task with the fewest crashes goes if there are too many; it starts like any other then.
#[test]
fn crashes_bounded() {
    let mut ledger = accepted();
    crash(&mut ledger, run_of(0, 0, 1), CrashSuspicion::Certain);
    for index in 1..MAX_TASKS + 3 {
        // The largest index that a task can have is below the bound.
        let run = run_of(0, index % 9000, 1 + index / 9000);
        let mut run = run;
        run.task.step.step = (index / 9000) as u16;
        crash(&mut ledger, run, CrashSuspicion::Unlikely);
    }
    assert_eq!(ledger.crashes.len(), MAX_TASKS as usize);
    let first = ledger.crashes_under(run_of(0, 0, 1).task.into());
    assert_eq!(first.certain, 1);
}

#[test]
fn snapshot_keeps_crashes() {
    let mut ledger = accepted();
    crash(&mut ledger, run_of(0, 3, 1), CrashSuspicion::Certain);
    crash(&mut ledger, run_of(2, 5, 1), CrashSuspicion::Unlikely);
    let mut stored = snapshot_records(&ledger, 7, SnapshotSet::First);
    let stored = stored.remove(0);
    let read = ReadRecord {
        offset: 0,
        key: stored.key.unwrap_or_default(),
        value: stored.value,
    };
    assert_eq!(read_snapshot(&[read]), Ok(Some((ledger, 7))));
}

/// Guards against crashes that are forgotten in an outage longer than the store keeps the plan's
/// records: they reach the journal with the end of their attempt, which follows.
#[test]
fn crashes_journaled() {
    let run = run_of(0, 3, 1);
    let suspicion = CrashSuspicion::Certain;
    let crashed = PlanRecord::Crashed { run, suspicion };
    assert_eq!(CopyTerm::from(&crashed), CopyTerm::Later);
    let (end, saved) = (RunEnd::Lost, None);
    let ended = PlanRecord::Ended { run, end, saved };
    assert_eq!(CopyTerm::from(&ended), CopyTerm::AtOnce);
}
