//! Schedules that have been due for hours: other jobs start beside them in their usual time, and each
//! occurrence runs in the end.

mod world;

use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobSchedule, StepSpec};
use rstest::rstest;
use std::collections::BTreeSet;
use world::{World, WorldFaults};

/// Number of hosts, with eight cores each.
const HOSTS: usize = 3;

/// Job whose tasks last.
const LASTING: JobId = JobId(1);

/// First of the schedules.
const LATE: JobId = JobId(0x100);

/// First of the other jobs.
const OTHER: JobId = JobId(0x200);

/// Interval between two occurrences, in milliseconds.
const INTERVAL_MS: u64 = 1000;

/// Time within which a job starts on idle hosts, in milliseconds.
const USUAL_MS: u64 = 300;

fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu: 1000,
        memory: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

fn once(step: StepSpec) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Returns a schedule of which so many occurrences are due already.
fn late(world: &World, steps: Vec<StepSpec>, times: u32) -> JobBody {
    let overdue_ms = u64::from(times) * INTERVAL_MS;
    JobBody {
        spec: "work".into(),
        steps,
        schedule: JobSchedule {
            first_ms: World::wall_ms(world.now()) - overdue_ms,
            interval_ms: INTERVAL_MS,
            times,
        },
    }
}

fn world(order: ServiceOrder, task_ms: u64) -> World {
    let mut world = World::new(7, HOSTS, WorldFaults::default(), 0);
    world.order = order;
    world.task_ms = Some(task_ms);
    world.run(3000);
    let lasting = StepSpec {
        long_running: true,
        ..step(3)
    };
    world.submit(LASTING, once(lasting));
    world.run(1000);
    world
}

/// Guards against other jobs that wait behind the backlog of a schedule, however long its tasks are,
/// while leases lapse or the planner loses its role.
#[rstest]
fn others_start(
    #[values(ServiceOrder::ByDeadline, ServiceOrder::ByValue)] order: ServiceOrder,
    #[values(300, 20_000)] task_ms: u64,
    #[values(1, 3)] schedules: u64,
) {
    let mut world = world(order, task_ms);
    let epoch = world.planner_epoch();
    for number in 0..schedules {
        let body = late(&world, vec![step(1)], 20_000);
        world.submit(JobId(LATE.0 + number), body);
    }
    world.run(2000);
    for number in 0..4 {
        let job = JobId(OTHER.0 + number);
        world.submit(job, once(step(2)));
        world.run(USUAL_MS);
        assert_eq!(world.running(job).len(), 2, "job {number}");
        world.run(2000);
    }
    assert_eq!(world.running(LASTING).len(), 3);
    assert_eq!(world.planner_epoch(), epoch);
    let starts = world.judge.starts.iter();
    let lasting = starts.filter(|start| start.run.task.step.job == LASTING);
    assert_eq!(lasting.count(), 3);
    for number in 0..schedules {
        assert!(!world.running(JobId(LATE.0 + number)).is_empty());
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against occurrences that are skipped or run twice because the schedule is late, also if the
/// planner is replaced in the middle.
#[rstest]
fn all_run(
    #[values(ServiceOrder::ByDeadline, ServiceOrder::ByValue)] order: ServiceOrder,
    #[values(false, true)] is_replaced: bool,
) {
    const TIMES: u32 = 400;
    let mut world = world(order, 200);
    let steps = vec![
        step(1),
        StepSpec {
            after: vec![0],
            ..step(2)
        },
    ];
    let body = late(&world, steps, TIMES);
    world.submit(LATE, body);
    for _ in 0..3 {
        world.run(4000);
        if is_replaced && let Some(planner) = world.planner_host() {
            world.kill(planner);
        }
    }
    world.run(60_000);
    assert_eq!(world.phase(LATE), Some(JobPhase::Completed));
    let starts = world.judge.starts.iter().map(|start| start.run.task);
    let started: BTreeSet<_> = starts.filter(|task| task.step.job == LATE).collect();
    assert_eq!(started.len(), 3 * TIMES as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against a schedule that never gets room while other jobs keep all of it busy.
#[test]
fn gets_its_share() {
    let mut world = world(ServiceOrder::ByDeadline, 400);
    let body = late(&world, vec![step(1)], 20_000);
    world.submit(LATE, body);
    for number in 0..100 {
        world.submit(JobId(OTHER.0 + number), once(step(3)));
        world.run(50);
    }
    let starts = world.judge.starts.iter();
    let late = starts.filter(|start| start.run.task.step.job == LATE);
    assert!(late.count() >= 10);
}

/// Guards against a gang of a late schedule that never starts because smaller steps take the room that
/// becomes free.
#[test]
fn gangs_start() {
    let mut world = world(ServiceOrder::ByDeadline, 500);
    let gang = StepSpec {
        gang: true,
        best_effort: true,
        ..step(6)
    };
    let steps = vec![
        step(1),
        StepSpec {
            after: vec![0],
            ..gang
        },
    ];
    let body = late(&world, steps, 30);
    world.submit(LATE, body);
    world.run(60_000);
    assert_eq!(world.phase(LATE), Some(JobPhase::Completed));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against late jobs that wait for all of a wide job that is late as well.
#[rstest]
fn late_jobs_share(#[values(ServiceOrder::ByDeadline, ServiceOrder::ByValue)] order: ServiceOrder) {
    let mut world = world(order, 400);
    world.submit(LATE, once(step(3000)));
    world.run(100);
    let others: Vec<_> = (0..8).map(|number| JobId(OTHER.0 + number)).collect();
    for &job in &others {
        world.submit(job, once(step(3)));
    }
    world.run(12_000);
    for job in others {
        assert_eq!(world.phase(job), Some(JobPhase::Completed), "{job}");
    }
    assert!(!world.running(LATE).is_empty());
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against long-running tasks that wait behind others, as their job is past any deadline when
/// room becomes free.
#[test]
fn lasting_first() {
    let mut world = world(ServiceOrder::ByDeadline, 9000);
    world.submit(OTHER, once(step(21)));
    world.run(500);
    let lasting = StepSpec {
        long_running: true,
        ..step(4)
    };
    world.submit(JobId(2), once(lasting));
    world.run(8000);
    world.submit(JobId(OTHER.0 + 1), once(step(21)));
    world.run(1500);
    assert_eq!(world.running(OTHER).len(), 0);
    assert_eq!(world.running(JobId(2)).len(), 4);
}
