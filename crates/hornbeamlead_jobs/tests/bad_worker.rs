//! A worker on which everything fails or hangs: what one planner learns about it, its successors
//! keep, and lasting tasks run elsewhere.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// Time after the last disturbance in which all lasting tasks have to run, in milliseconds: 3 s that
/// begin 6 s after their last run.
const RETURN_MS: u64 = 9000;

/// Number of losses of the planner.
const KILLS: u64 = 8;

/// Pause between two starts on a worker on probation, in milliseconds.
const PROBATION_MS: u64 = 1500;

/// Time without progress after which an attempt counts as stalled, in milliseconds.
const STALL_MS: u64 = 2000;

/// Processor demand of a task, in thousandths of a core.
const TASK_CPU: u32 = 1000;

/// Number of these tasks for which a worker has room.
const AT_ONCE: u64 = 8000 / TASK_CPU as u64;

/// Host on which everything fails or hangs.
const BAD: usize = 1;

/// Number of images of lasting tasks.
const IMAGES: u64 = 8;

/// Lasting tasks of each image.
const TASKS: u32 = 6;

#[derive(Clone, Copy, Debug)]
enum Trouble {
    FailsAfter(u64),
    Hangs,
}

fn bad_world(trouble: Trouble) -> World {
    let mut world = World::new(1, 6, WorldFaults::default(), 0);
    match trouble {
        Trouble::FailsAfter(span_ms) => world.failing_host = Some((BAD, span_ms)),
        Trouble::Hangs => world.hung_host = Some(BAD),
    }
    world.run(3000);
    world
}

fn work_job(tasks: u32) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: TASK_CPU,
        memory: 100,
        estimate_ms: 700,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn kill_planner(world: &mut World) {
    if let Some(planner) = world.planner_host() {
        world.kill(planner);
    }
}

fn replace_planner(world: &mut World) {
    kill_planner(world);
    while world.planner_host().is_none() {
        world.run(5);
    }
}

/// Guards against failure counts that start anew with each planner, each of which then fills a
/// worker that is known to fail with tasks.
#[rstest]
fn attempts_bounded(
    #[values(100, 1000)] fails_after_ms: u64,
    #[values(6, 9, 12)] tasks: u32,
    #[values(2100, 2500, 3500)] kill_ms: u64,
) {
    let mut world = bad_world(Trouble::FailsAfter(fails_after_ms));
    world.task_ms = Some(700);
    let begin = world.now();
    let jobs: Vec<_> = (0..KILLS * 15).map(JobId).collect();
    for batch in jobs.chunks(15) {
        for job in batch {
            world.submit(*job, work_job(tasks));
            world.run(kill_ms / 15);
        }
        kill_planner(&mut world);
    }
    world.run(40_000);
    for job in jobs {
        assert_eq!(world.phase(job), Some(JobPhase::Completed));
    }
    let starts = &world.judge.starts;
    let span_ms = starts.last().map_or(0, |start| start.at - begin);
    let on_bad = starts.iter().filter(|start| start.host == BAD).count();
    let limit = AT_ONCE + span_ms / PROBATION_MS;
    assert!(on_bad as u64 <= limit, "{on_bad} starts, limit {limit}");
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against stalls that only the planner that saw them counts, so that each of its successors
/// fills a worker on which everything hangs with tasks again.
#[rstest]
fn stalls_counted(
    #[values(12, 18, 24)] tasks: u32,
    #[values(2300, 2500, 2700)] kill_after_ms: u64,
) {
    let mut world = bad_world(Trouble::Hangs);
    world.task_ms = Some(700);
    let begin = world.now();
    let jobs: Vec<_> = (0..KILLS * 3).map(JobId).collect();
    for batch in jobs.chunks(3) {
        replace_planner(&mut world);
        for job in batch {
            world.submit(*job, work_job(tasks));
        }
        world.run(kill_after_ms);
    }
    world.run(40_000);
    for job in jobs {
        assert_eq!(world.phase(job), Some(JobPhase::Completed));
    }
    let on_bad = world.judge.starts.iter();
    let on_bad: Vec<_> = on_bad.filter(|start| start.host == BAD).collect();
    let span_ms = on_bad.last().map_or(0, |start| start.at - begin);
    let limit = AT_ONCE + span_ms / (STALL_MS + PROBATION_MS);
    let count = on_bad.len() as u64;
    assert!(count <= limit, "{count} starts, limit {limit}");
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against stall times that start anew with each planner, which leave tasks on a worker that
/// hangs for as long as planners change faster than the timeouts.
#[rstest]
fn stalls_end(#[values(600, 1000, 1500)] kill_after_ms: u64) {
    let mut world = bad_world(Trouble::Hangs);
    world.task_ms = Some(700);
    let (work, lasting) = (JobId(1), JobId(2));
    world.submit(work, work_job(2 * TASKS));
    world.submit(lasting, World::long_running_job(2 * TASKS));
    world.run(1000);
    assert!(world.running_on(BAD, work) > 0 && world.running_on(BAD, lasting) > 0);
    for _ in 0..KILLS {
        replace_planner(&mut world);
        world.run(kill_after_ms);
    }
    assert_eq!(world.phase(work), Some(JobPhase::Completed));
    let elsewhere = world.running(lasting).len() - world.running_on(BAD, lasting);
    assert_eq!(elsewhere, 2 * TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Lasting tasks whose images make the bad worker attractive run elsewhere soon after the last loss
/// of a planner.
#[rstest]
fn lasting_tasks_run(
    #[values(Trouble::FailsAfter(1000), Trouble::Hangs)] trouble: Trouble,
    #[values(2100, 2500, 3500)] kill_ms: u64,
) {
    let mut world = bad_world(trouble);
    let jobs = (0..IMAGES).map(JobId);
    for job in jobs.clone() {
        let mut body = World::long_running_job(TASKS);
        body.steps[0].image = format!("image-{job}").into();
        body.steps[0].target_ms = 100;
        world.submit(job, body);
    }
    for _ in 0..KILLS {
        world.run(kill_ms);
        kill_planner(&mut world);
    }
    world.run(RETURN_MS);
    for job in jobs {
        let elsewhere = world.running(job).len() - world.running_on(BAD, job);
        assert_eq!(elsewhere, TASKS as usize);
    }
    assert!(world.judge.starts.iter().any(|start| start.host == BAD));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
