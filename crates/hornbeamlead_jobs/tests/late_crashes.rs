//! Tasks that crash each worker that starts them some time after the start: they are given up too, and
//! nothing else is.

mod world;

use hornbeamlead_jobs::ids::{JobId, TaskSlot};
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 8;

const DEADLY: JobId = JobId(9);

/// Jobs of long-running tasks beside it.
const SERVING: u64 = 3;

/// Tasks of each of these jobs.
const SERVING_TASKS: usize = 8;

/// Interval between short jobs, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// Time after which a task of a short job is done, in milliseconds.
const TASK_MS: u64 = 2000;

/// Crashes after which the job has to have failed, by the platform's specification.
const MAX_CRASHES: u32 = 5;

fn short_job(tasks: u32) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: 300,
        memory: 100,
        estimate_ms: 1000,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn serving_world(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.task_ms = Some(TASK_MS);
    world.run(3000);
    for number in 1..=SERVING {
        world.submit(JobId(number), World::long_running_job(SERVING_TASKS as u32));
    }
    world.run(4000);
    world
}

fn check_serving(world: &World) {
    for number in 1..=SERVING {
        assert_eq!(
            world.running(JobId(number)).len(),
            SERVING_TASKS,
            "job {number}"
        );
    }
}

/// Guards against a task that crashes worker after worker because it runs for some seconds each time,
/// which passes for soundness.
#[rstest]
fn late_given_up(
    #[values(1, 2)] seed: u64,
    #[values(5500, 12_000)] delay_ms: u64,
    #[values(false, true)] busy: bool,
    #[values(1, 8)] tasks: u32,
) {
    let mut world = serving_world(seed);
    let (job, step, index) = (DEADLY, 0, tasks - 1);
    world.make_deadly_late(TaskSlot { job, step, index }, delay_ms);
    world.submit(DEADLY, World::long_running_job(tasks));
    let rounds = 7 * (delay_ms + 4000) / INTERVAL_MS;
    for number in 0..rounds {
        if busy {
            world.submit(JobId(100 + number), short_job(2));
        }
        world.run(INTERVAL_MS);
    }
    world.run(15_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(DEADLY), Some(JobPhase::Failed));
    let crashes = world.judge.deadly.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    check_serving(&world);
    for number in (0..rounds).filter(|_| busy) {
        let phase = world.phase(JobId(100 + number));
        assert_eq!(phase, Some(JobPhase::Completed), "job {number}");
    }
}

/// Guards against long-running tasks that are given up because their workers crash by themselves, at
/// regular intervals, some of them at once.
#[rstest]
fn serving_kept(
    #[values(1, 2)] seed: u64,
    #[values(6000, 9000, 13_000)] interval_ms: u64,
    #[values(1, 2)] at_once: usize,
) {
    crash_often(seed, interval_ms, at_once);
}

/// Guards against the same where all workers crash at once.
#[rstest]
fn all_crash_kept(#[values(1, 2)] seed: u64, #[values(9000, 13_000)] interval_ms: u64) {
    crash_often(seed, interval_ms, HOSTS);
}

/// Guards against tasks that stay down after all workers have crashed again and again at once, within
/// some seconds each time.
#[rstest]
fn all_crash_often(#[values(1, 2)] seed: u64) {
    crash_often(seed, 6000, HOSTS);
}

/// Has workers crash at an interval, and checks that all tasks run in the end.
fn crash_often(seed: u64, interval_ms: u64, at_once: usize) {
    let mut world = serving_world(seed);
    for round in 0..12 {
        let first = (round * 5 + seed) as usize;
        (first..first + at_once).for_each(|host| world.crash(host % HOSTS));
        world.run(interval_ms);
    }
    world.run(10_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    check_serving(&world);
}

/// Guards against the same where one worker crashes again and again some time after its start.
#[rstest]
fn bad_worker(#[values(1, 2)] seed: u64, #[values(9000, 15_000)] interval_ms: u64) {
    let mut world = serving_world(seed);
    for _ in 0..12 {
        world.crash(0);
        world.run(interval_ms);
    }
    world.run(10_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    check_serving(&world);
}
