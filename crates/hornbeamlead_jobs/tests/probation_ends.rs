//! Workers that failed what they ran for a while and are sound again, beside long-running tasks.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::troubles::Trouble;
use world::{World, WorldFaults};

const HOSTS: usize = 3;

/// Longest time for which a job may have nothing running while there is room, in milliseconds, by
/// the platform's rules.
const MAX_WAIT_MS: u64 = 3000;

fn finite_job(tasks: u32) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: 500,
        memory: 100,
        estimate_ms: 400,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Starts a fleet whose hosts each run a long-running task, and has all workers fail what else they
/// start for a time in milliseconds, by the first 5 s of which they are on probation.
fn world_on_probation(seed: u64, fails_ms: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.task_ms = Some(400);
    world.run(3000);
    for job in 1..=HOSTS as u64 {
        let mut body = World::long_running_job(HOSTS as u32);
        body.steps[0].spread_limit = Some(1);
        world.submit(JobId(job), body);
    }
    world.run(4000);
    world.set_attempts(3);
    world.run(1000);
    world.apply(&Trouble::FailWorkers((0..HOSTS).collect(), fails_ms));
    for job in 10..20 {
        world.submit(JobId(job), finite_job(3));
    }
    world.run(5000);
    world
}

fn recovered_world(seed: u64) -> World {
    let mut world = world_on_probation(seed, 5000);
    world.run(5000);
    world
}

/// A worker on probation whose only tasks are long-running ones got no other task for good, so that a
/// job waited with room for it.
#[rstest]
fn finite_task_starts(#[values(1, 2, 3)] seed: u64) {
    let mut world = recovered_world(seed);
    world.submit(JobId(30), finite_job(2));
    let mut waited_ms = 0;
    while world.running(JobId(30)).is_empty() && waited_ms <= MAX_WAIT_MS {
        world.run(5);
        waited_ms += 5;
    }
    assert!(
        waited_ms <= MAX_WAIT_MS,
        "nothing runs after {waited_ms} ms"
    );
    world.run(10_000);
    assert_eq!(world.phase(JobId(30)), Some(JobPhase::Completed));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Nor did it get another long-running task, which waited with room for it.
#[rstest]
fn long_running_starts(#[values(1, 2, 3)] seed: u64) {
    let mut world = recovered_world(seed);
    world.submit(JobId(31), World::long_running_job(HOSTS as u32));
    world.run(MAX_WAIT_MS);
    assert_eq!(world.running(JobId(31)).len(), HOSTS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A worker that still fails gets one task at a time beside its long-running ones.
#[rstest]
fn one_probe(#[values(1, 2, 3)] seed: u64) {
    let mut world = world_on_probation(seed, 10_000);
    world.submit(JobId(32), finite_job(30));
    for _ in 0..600 {
        world.run(5);
        for host in 0..HOSTS {
            assert!(world.running_on(host, JobId(32)) <= 1);
        }
    }
}

/// Guards against a gang of more members than workers that never starts, as each worker on probation
/// gets one task and the members start together or not at all. All workers are on probation after a
/// job that can't be done, and nothing else runs there.
#[rstest]
fn gang_starts(#[values(1, 2, 3)] seed: u64, #[values(4, 6, 12)] members: u32) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.task_ms = Some(400);
    world.run(3000);
    world.set_attempts(6);
    world.run(1000);
    let workers = (0..HOSTS).collect();
    world.apply(&Trouble::FailWorkers(workers, 40_000));
    world.submit(JobId(10), finite_job(12));
    world.run(41_000);
    assert_eq!(world.phase(JobId(10)), Some(JobPhase::Failed));
    let mut body = finite_job(members);
    body.steps[0].gang = true;
    world.submit(JobId(33), body);
    let mut waited_ms = 0;
    while world.running(JobId(33)).is_empty() && waited_ms <= MAX_WAIT_MS {
        world.run(5);
        waited_ms += 5;
    }
    assert!(
        waited_ms <= MAX_WAIT_MS,
        "nothing runs after {waited_ms} ms"
    );
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
