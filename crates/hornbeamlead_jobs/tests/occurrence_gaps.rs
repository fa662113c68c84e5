//! Occurrences of scheduled jobs that are open when a planner is replaced: none is skipped.

mod world;

use hornbeamlead_jobs::ids::{JobId, RunName, RunNumber, StepName, TaskName, WorkerIncarnation};
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobRecord, JobSchedule, StepSpec};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::PlanRecord;
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;
use world::{World, WorldFaults};

const BLOCKING: JobId = JobId(51);
const SCHEDULED: JobId = JobId(52);

/// Number of hosts.
const HOSTS: usize = 2;

/// Number of occurrences.
const TIMES: u32 = 20;

/// Processor demand that fills a worker, in thousandths of a core.
const WORKER_CPU: u32 = 8000;

fn body(tasks: usize, long_running: bool, schedule: JobSchedule) -> JobBody {
    let step = StepSpec {
        tasks: tasks as u32,
        cpu: WORKER_CPU,
        memory: 100,
        estimate_ms: 500,
        long_running,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        schedule,
    }
}

fn schedule(first_ms: u64) -> JobSchedule {
    JobSchedule {
        first_ms,
        interval_ms: 200,
        times: TIMES,
    }
}

/// Guards against occurrences that never run: they are late, so later ones start first, and the
/// planner is replaced before its next snapshot.
#[rstest]
fn late_occurrences(#[values(0, 500, 1000, 1500, 2000, 2500)] offset_ms: u64) {
    let mut world = World::new(offset_ms, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    let blocking = body(HOSTS, true, JobSchedule::default());
    world.submit(BLOCKING, blocking);
    world.run(1000 + offset_ms);
    assert_eq!(world.running(BLOCKING).len(), HOSTS);
    let schedule = schedule(World::wall_ms(world.now()));
    world.submit(SCHEDULED, body(1, false, schedule));
    world.run(1500);
    world.cancel(BLOCKING);
    while world.running(SCHEDULED).is_empty() {
        world.run(5);
    }
    let planner = world.planner_host().expect("a planner is elected");
    world.kill(planner);
    world.run(25_000);
    let starts = world.judge.starts.iter().map(|start| start.run.task.step);
    let started: BTreeSet<_> = starts
        .filter(|step| step.job == SCHEDULED)
        .map(|step| step.occurrence)
        .collect();
    assert_eq!(started, (0..TIMES).collect());
    assert_eq!(world.phase(SCHEDULED), Some(JobPhase::Completed));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against an occurrence that is unknown to the new planner because only a later one has
/// started.
#[test]
fn earlier_opened() {
    let step = StepName {
        job: SCHEDULED,
        occurrence: 3,
        step: 0,
    };
    let task = TaskName { step, index: 0 };
    let run = RunNumber(1);
    let mut ledger = JobLedger::default();
    ledger.apply(&PlanRecord::Accepted {
        job: SCHEDULED,
        queue: "h/q/".into(),
    });
    ledger.apply(&PlanRecord::Started {
        run: RunName { task, run },
        host: "h1".into(),
        incarnation: WorkerIncarnation::default(),
    });
    let record = JobRecord {
        body: body(2, false, schedule(0)),
        ..JobRecord::default()
    };
    ledger.set_record(SCHEDULED, Arc::new(record));
    let state = &ledger.jobs[&SCHEDULED];
    let tasks = |occurrence: &u32| state.occurrences[occurrence].steps[0].len();
    let opened: Vec<_> = state
        .occurrences
        .keys()
        .map(|it| (*it, tasks(it)))
        .collect();
    assert_eq!(opened, [(0, 2), (1, 2), (2, 2), (3, 2)]);
}
