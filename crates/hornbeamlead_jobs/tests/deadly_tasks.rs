//! Tasks that crash each worker that starts them: they are given up after a few starts, and nothing
//! else is.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobSchedule, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 8;

/// Jobs beside the deadly ones, which come at this interval in milliseconds.
const NEIGHBOURS: u64 = 60;
const INTERVAL_MS: u64 = 150;

/// Time after the last job in which all jobs end, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Most crashes of all occurrences of a task, by the platform's specification for one.
const MAX_CRASHES: u32 = 5;

fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu: 500,
        memory: 100,
        estimate_ms: 800,
        ..StepSpec::default()
    }
}

fn job_of(steps: Vec<StepSpec>) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps,
        ..JobBody::default()
    }
}

/// Submits a job every moment. `deadly` returns the index of the task of a job that crashes its
/// workers, if one does.
fn submit_all(world: &mut World, deadly: impl Fn(u64) -> Option<u32>) {
    for number in 1..=NEIGHBOURS {
        let job = JobId(number);
        if let Some(index) = deadly(number) {
            world.make_deadly(job, 0, index);
        }
        world.submit(job, job_of(vec![step(4)]));
        world.run(INTERVAL_MS);
    }
}

/// Checks that all jobs have completed but those of which a task crashes its workers, which have
/// failed, and that no violation was found.
fn check_outcomes(world: &mut World, deadly: impl Fn(u64) -> Option<u32>) {
    assert_eq!(world.judge.violations, Vec::<String>::new());
    for number in 1..=NEIGHBOURS {
        let expected = match deadly(number) {
            Some(_) => JobPhase::Failed,
            None => JobPhase::Completed,
        };
        assert_eq!(world.phase(JobId(number)), Some(expected), "job {number}");
    }
}

/// Guards against a task that crashes worker after worker because attempts that are lost with their
/// worker count for nothing, and against its neighbours being given up in its place.
#[rstest]
fn deadly_given_up(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let deadly = |number: u64| number.is_multiple_of(10).then_some(number as u32 % 4);
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    submit_all(&mut world, deadly);
    world.run(SETTLE_MS);
    check_outcomes(&mut world, deadly);
}

/// Guards against what is known of such tasks being lost with the planner.
#[rstest]
fn planners_replaced(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(300, 700, 1500)] pause_ms: u64,
) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.make_deadly(JobId(1), 0, 2);
    world.submit(JobId(1), job_of(vec![step(4)]));
    for _ in 0..12 {
        let crashes = world.judge.deadly.crash_count();
        while world.judge.deadly.crash_count() == crashes && world.now() < 60_000 {
            world.run(50);
        }
        world.run(pause_ms);
        if let Some(planner) = world.planner_host() {
            world.kill(planner);
        }
    }
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(JobId(1)), Some(JobPhase::Failed));
}

/// Guards against a deadly member that crashes worker after worker because all members of its gang
/// start together, and against gangs that never start since some of their members are isolated.
#[rstest]
fn gang_given_up(#[values(1, 2, 3, 4, 5, 6)] seed: u64, #[values(6, 16, 40)] members: u32) {
    let gang = |tasks| StepSpec {
        gang: true,
        cpu: 200,
        ..step(tasks)
    };
    let deadly = |number: u64| number.is_multiple_of(20).then_some(number as u32 % members);
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    for number in 1..=NEIGHBOURS {
        if let Some(index) = deadly(number) {
            world.make_deadly(JobId(number), 0, index);
        }
        world.submit(JobId(number), job_of(vec![gang(members)]));
        world.run(5 * INTERVAL_MS);
    }
    world.run(2 * SETTLE_MS);
    check_outcomes(&mut world, deadly);
}

/// Guards against the occurrences of a job crashing workers one after the other: what one occurrence
/// shows of a task holds for all.
#[rstest]
fn occurrences_counted(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(300, 4000)] interval_ms: u64,
) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.make_deadly(JobId(1), 0, 1);
    let schedule = JobSchedule {
        first_ms: World::wall_ms(world.now()),
        interval_ms,
        times: 8,
    };
    let body = JobBody {
        schedule,
        ..job_of(vec![step(3)])
    };
    world.submit(JobId(1), body);
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(JobId(1)), Some(JobPhase::Failed));
    let crashes = world.judge.deadly.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
}

/// Guards against lasting tasks that crash their workers for ever, and against other lasting tasks
/// that do not return in time because they are suspects.
#[rstest]
fn lasting_given_up(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.watch_runs();
    for number in 1..=4 {
        world.submit(JobId(number), World::long_running_job(8));
    }
    world.run(4000);
    world.make_deadly(JobId(9), 0, 5);
    world.submit(JobId(9), World::long_running_job(8));
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(JobId(9)), Some(JobPhase::Failed));
    for number in 1..=4 {
        assert_eq!(world.running(JobId(number)).len(), 8, "job {number}");
    }
}

/// Guards against tasks that are given up because their workers crash by themselves, one after the
/// other, one of them again and again, or all at once.
#[rstest]
fn workers_flap(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
    #[values(1, 2, 8)] at_once: usize,
) {
    let none = |_| None;
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JobId(99), World::long_running_job(12));
    for number in 1..=NEIGHBOURS {
        world.submit(JobId(number), job_of(vec![step(4)]));
        if number.is_multiple_of(3) {
            let first = (number / 3 * 5 + seed) as usize;
            (first..first + at_once).for_each(|host| world.crash(host % HOSTS));
            world.crash(0);
        }
        world.run(2 * INTERVAL_MS);
    }
    world.run(SETTLE_MS);
    check_outcomes(&mut world, none);
    assert_eq!(world.running(JobId(99)).len(), 12);
}

/// Guards against copies of a straggler that crash workers beside its first attempt.
#[rstest]
fn copies_withheld(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let deadly = |number: u64| number.is_multiple_of(12).then_some(0);
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.straggler = Some(3);
    world.run(3000);
    for number in 1..=NEIGHBOURS {
        if let Some(index) = deadly(number) {
            world.make_deadly(JobId(number), 0, index);
        }
        let copied = StepSpec {
            copies: true,
            ..step(4)
        };
        world.submit(JobId(number), job_of(vec![copied]));
        world.run(INTERVAL_MS);
    }
    world.run(SETTLE_MS);
    check_outcomes(&mut world, deadly);
}

/// Guards against a worker that has crashed without closing its connections: its agent reports its
/// last lists for a while, as if what they show ran on.
#[rstest]
fn dark_crashes(#[values(1, 2, 3, 4, 5, 6, 36)] seed: u64) {
    let deadly = |number: u64| number.is_multiple_of(10).then_some(number as u32 % 4);
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.dark_crashes = true;
    world.run(3000);
    submit_all(&mut world, deadly);
    world.run(2 * SETTLE_MS);
    check_outcomes(&mut world, deadly);
}
