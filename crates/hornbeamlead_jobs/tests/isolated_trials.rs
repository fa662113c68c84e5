//! Trials of lasting tasks under which workers have crashed: each ends with the task cleared, and the
//! others get their turn.

mod world;

use hornbeamlead_jobs::ids::{JobId, RunName, TaskName};
use rstest::rstest;
use world::{World, WorldFaults};

/// Jobs of lasting tasks with a latency target, each of another image.
const SERVICES: u64 = 3;

const TASKS: u32 = 6;

/// Time in which an attempt starts and is seen at work, in milliseconds.
const START_MS: u64 = 2500;

/// Time after the last crash in which all suspects are cleared and at work, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Time for which nothing moves after that, in milliseconds.
const CALM_MS: u64 = 10_000;

/// Hosts, workers that crash at once, how often they do, and the interval in milliseconds.
const CRASHING_HOSTS: usize = 8;
const AT_ONCE: usize = 3;
const ROUNDS: usize = 20;
const ROUND_MS: u64 = 1200;

fn start_services(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts, WorldFaults::default(), 0);
    world.run(3000);
    world.watch_runs();
    for (number, image) in (1..=SERVICES).zip(["orders", "search", "rosters"]) {
        let mut service = World::long_running_job(TASKS);
        service.steps[0].cpu = 2000;
        service.steps[0].target_ms = 100;
        service.steps[0].image = image.into();
        world.submit(JobId(number), service);
        world.run(200);
    }
    world.run(START_MS);
    world
}

fn running(world: &World) -> Vec<RunName> {
    let runs = (1..=SERVICES).flat_map(|number| world.running(JobId(number)));
    let mut runs: Vec<_> = runs.collect();
    runs.sort();
    runs
}

/// Crashes the worker of a task again and again.
fn crash_under(world: &mut World, task: TaskName, crashes: usize) {
    for _ in 0..crashes {
        let attempts = world.attempts(task);
        let &(_, host) = attempts.first().expect("the task is at work");
        world.crash(host);
        world.run(START_MS);
    }
}

/// Guards against a suspect that moves to a worker of its own image before its trial ends, is a
/// suspect there as well, and so moves for ever while others wait for its worker.
#[rstest]
fn trials_finished(#[values(1, 2, 3)] seed: u64, #[values(6, 7, 8)] hosts: usize) {
    let mut world = start_services(seed, hosts);
    let mut task = TaskName::default();
    task.step.job = JobId(1);
    crash_under(&mut world, task, 4);
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    let settled = running(&world);
    assert_eq!(settled.len() as u64, SERVICES * u64::from(TASKS));
    world.run(CALM_MS);
    assert_eq!(running(&world), settled);
}

/// Guards against suspects that have their trials one after another for so long that the last of
/// them are lost, after workers have crashed by themselves again and again.
#[test]
fn suspects_return() {
    let mut world = start_services(1, CRASHING_HOSTS);
    for round in 0..ROUNDS {
        let first = round * AT_ONCE + 1;
        (first..first + AT_ONCE).for_each(|host| world.crash(host % CRASHING_HOSTS));
        world.run(ROUND_MS);
    }
    world.run(SETTLE_MS);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(running(&world).len() as u64, SERVICES * u64::from(TASKS));
}
