//! A worker that starts again under its id: what runs on either life runs in no other place, and what
//! was lost starts again.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 5;

/// Time in which all jobs complete after the last trouble, in milliseconds.
const SETTLE_MS: u64 = 25_000;

/// Number of jobs that last, each of one task.
const LASTING: u64 = 10;

fn short_job() -> JobBody {
    let step = StepSpec {
        tasks: 6,
        cpu: 300,
        memory: 100,
        estimate_ms: 800,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn busy_world(seed: u64, task_ms: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.task_ms = Some(task_ms);
    world.run(2500);
    for job in 0..LASTING {
        world.submit(JobId(1 + job), World::long_running_job(1));
    }
    submit_for(&mut world, 100, 1000);
    world
}

/// Submits short jobs all the while.
fn submit_for(world: &mut World, first: u64, span_ms: u64) {
    for number in 0..span_ms / 100 {
        world.submit(JobId(first + number), short_job());
        world.run(100);
    }
}

fn assert_settled(world: &mut World) {
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    for job in world.accepted.clone() {
        match job.0 {
            1..=LASTING => assert_eq!(world.running(job).len(), 1, "{job} does not run"),
            _ => assert!(world.judge.is_done(job), "{job} is not done"),
        }
    }
}

/// Guards against tasks that run twice because a worker that is back under its id is taken for its
/// earlier life until its first announcement.
#[rstest]
fn back_before_announced(
    #[values(1, 2, 3)] seed: u64,
    #[values(5, 20, 100, 300, 1000)] down_ms: u64,
    #[values(0, 300, 1100, 5000)] silent_ms: u64,
) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        world.restart_same_id(host, down_ms, silent_ms);
        submit_for(&mut world, 1000 * (host as u64 + 1), 2500 + silent_ms);
    }
    assert_settled(&mut world);
}

/// Guards against ends of a new life that are acknowledged with the numbers of the life before, so
/// that tasks which are done start again.
#[rstest]
fn short_tasks_done(
    #[values(1, 2, 3)] seed: u64,
    #[values(5, 20, 100, 300)] down_ms: u64,
    #[values(0, 1100)] silent_ms: u64,
) {
    let mut world = busy_world(seed, 40);
    for round in 0..6 {
        world.restart_same_id(round % HOSTS, down_ms, silent_ms);
        submit_for(&mut world, 1000 * (round as u64 + 1), 1500);
    }
    assert_settled(&mut world);
}

/// Guards against the same with calls that hang instead of being refused, so that the agent does not
/// see the end of a life.
#[rstest]
fn back_from_silence(
    #[values(1, 2, 3)] seed: u64,
    #[values(50, 300, 700, 1500)] hangs_ms: u64,
    #[values(0, 1100)] silent_ms: u64,
) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        world.restart_same_id(host, 5, silent_ms);
        world.silence_worker(host, hangs_ms);
        submit_for(&mut world, 1000 * (host as u64 + 1), 2500 + silent_ms);
    }
    assert_settled(&mut world);
}

/// Guards against starts that had no answer and are carried out by the next life, seconds after they
/// were given up.
#[rstest]
fn late_on_next(#[values(1, 2, 3, 4)] seed: u64, #[values(200, 800, 1500)] down_ms: u64) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        let first = 1000 * (host as u64 + 1);
        world.delay_orders(300);
        submit_for(&mut world, first, 300);
        world.restart_same_id(host, down_ms, 0);
        submit_for(&mut world, first + 500, 9000);
    }
    assert_settled(&mut world);
}

/// Guards against the same if the agent restarts with its worker, so that nobody on the host knows of
/// the starts that had no answer.
#[rstest]
fn late_after_power(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(200, 800, 1500)] down_ms: u64,
    #[values(false, true)] is_planner: bool,
) {
    let mut world = busy_world(seed, 2500);
    for round in 0..3 {
        let first = 1000 * (round as u64 + 1);
        world.delay_orders(300);
        submit_for(&mut world, first, 300);
        let planner = world.planner_host().unwrap_or(0);
        let host = if is_planner {
            planner
        } else {
            (planner + 1 + round) % HOSTS
        };
        world.restart_same_id(host, down_ms, 0);
        world.kill(host);
        submit_for(&mut world, first + 500, 9000);
    }
    assert_settled(&mut world);
}

/// Guards against a worker whose attempts are taken for lost when it is silent for a moment, because the
/// life before has a later start: the clock was set back between them.
#[rstest]
fn silent_after_set_back(#[values(1, 2, 3)] seed: u64, #[values(700, 1500, 3000)] hangs_ms: u64) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        let first = 1000 * (host as u64 + 1);
        world.set_worker_back(host);
        submit_for(&mut world, first, 3000);
        world.silence_worker(host, hangs_ms);
        submit_for(&mut world, first + 500, 5000);
    }
    assert_settled(&mut world);
}

/// Guards against one crash that counts with each report while starts of two lives are in doubt.
#[rstest]
fn crash_counted_once(#[values(1, 2, 3, 4)] seed: u64, #[values(40, 80, 150, 300)] pause_ms: u64) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        let first = 1000 * (host as u64 + 1);
        world.delay_orders(1000);
        submit_for(&mut world, first, 300);
        world.restart_same_id(host, 5, 0);
        world.run(pause_ms);
        submit_for(&mut world, first + 200, 100);
        world.restart_same_id(host, 5, 0);
        submit_for(&mut world, first + 500, 3000);
    }
    let most = world.crash_records().into_values().max();
    assert_eq!(most, Some(1), "records of crashes by attempt");
}

/// Guards against the same if the agent restarts with its worker, so that nobody on the host knows of
/// the life before.
#[rstest]
fn back_with_agent(
    #[values(1, 2, 3)] seed: u64,
    #[values(5, 100, 600)] down_ms: u64,
    #[values(0, 50, 300, 600)] agent_after_ms: u64,
    #[values(0, 1100)] silent_ms: u64,
) {
    let mut world = busy_world(seed, 900);
    for host in 0..3 {
        world.restart_same_id(host, down_ms, silent_ms);
        submit_for(&mut world, 1000 * (host as u64 + 1), agent_after_ms);
        world.kill(host);
        submit_for(&mut world, 1000 * (host as u64 + 1) + 500, 3000);
    }
    assert_settled(&mut world);
}

/// Guards against the same under a planner that takes over meanwhile.
#[rstest]
fn back_under_successor(
    #[values(1, 2, 3)] seed: u64,
    #[values(5, 100, 600)] down_ms: u64,
    #[values(0, 1100)] silent_ms: u64,
) {
    let mut world = busy_world(seed, 900);
    for round in 0..3 {
        let planner = world.planner_host();
        let host = (planner.unwrap_or(0) + 1 + round) % HOSTS;
        world.restart_same_id(host, down_ms, silent_ms);
        world.run(30);
        if let Some(planner) = planner {
            world.kill(planner);
        }
        submit_for(&mut world, 1000 * (round as u64 + 1), 4000);
    }
    assert_settled(&mut world);
}
