//! Tasks of closed jobs that still run when a planner takes over: they count until they have ended.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// Number of hosts.
const HOSTS: usize = 4;

/// Processor capacity of a worker, in thousandths of a core.
const WORKER_CPU: usize = 8000;

/// Processor demand of a task, in thousandths of a core.
const TASK_CPU: usize = 4000;

/// Number of tasks that fill all workers.
const TASKS: u32 = (HOSTS * WORKER_CPU / TASK_CPU) as u32;

const CANCELLED: JobId = JobId(41);
const WAITING: JobId = JobId(42);

fn job(tasks: u32, long_running: bool) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: TASK_CPU as u32,
        memory: 100,
        estimate_ms: 500,
        long_running,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Returns a platform whose workers are filled by one job while another waits for room, which has
/// `rounds` times as many tasks.
fn full_world(seed: u64, rounds: u32) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(CANCELLED, job(TASKS, true));
    world.run(2000);
    assert_eq!(world.running(CANCELLED).len(), TASKS as usize);
    world.submit(WAITING, job(rounds * TASKS, false));
    world.run(500);
    assert_eq!(world.running(WAITING), Vec::new());
    world
}

/// Runs the platform and checks that no worker exceeds its capacity meanwhile.
fn run_in_limits(world: &mut World, span_ms: u64) {
    let end = world.now() + span_ms;
    while world.now() < end {
        world.run(5);
        for host in 0..HOSTS {
            let tasks = world.running_on(host, CANCELLED) + world.running_on(host, WAITING);
            let now = world.now();
            assert!(tasks * TASK_CPU <= WORKER_CPU, "{tasks} on {host} at {now}");
        }
    }
}

/// Guards against tasks that start beside those of a cancelled job because the planner was replaced
/// before it ordered the stops.
#[rstest]
fn planner_killed(#[values(1, 2, 3)] seed: u64) {
    for span_ms in (5..100).step_by(5) {
        let mut world = full_world(seed, 1);
        world.cancel(CANCELLED);
        run_in_limits(&mut world, span_ms);
        let planner = world.planner_host().expect("a planner is elected");
        world.kill(planner);
        run_in_limits(&mut world, 6000);
        assert_eq!(world.phase(WAITING), Some(JobPhase::Completed));
        assert_eq!(world.judge.violations, Vec::<String>::new());
    }
}

/// Guards against a body that is removed from the store while tasks of the job still run on a host
/// that is partitioned.
#[rstest]
fn body_kept(#[values(1, 2, 3)] seed: u64) {
    let mut world = full_world(seed, 12);
    let planner = world.planner_host().expect("a planner is elected");
    let partitioned = (planner + 1) % HOSTS;
    world.partition(partitioned, 6500);
    world.cancel(CANCELLED);
    // Long enough for a snapshot with the end of the job.
    run_in_limits(&mut world, 4500);
    world.kill(planner);
    run_in_limits(&mut world, 20_000);
    assert_eq!(world.running(CANCELLED), Vec::new());
    assert_eq!(world.phase(WAITING), Some(JobPhase::Completed));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
