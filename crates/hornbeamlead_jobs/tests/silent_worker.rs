//! A worker that answers no calls while its agent goes on: its tasks run elsewhere once their leases
//! have certainly expired.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Time after the last disturbance in which all tasks have to run, in milliseconds.
const RETURN_MS: u64 = 10_000;

/// Time by which the loss of a planner may delay the tasks of a silent worker, in milliseconds.
const SUCCESSION_MS: u64 = 2000;

/// Time for which a worker is silent, in milliseconds; longer than any test lasts.
const FOREVER_MS: u64 = 1_000_000;

/// Number of hosts.
const HOSTS: usize = 6;

/// Number of long-running tasks.
const TASKS: u32 = 24;

const JOB: JobId = JobId(27);

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JOB, World::long_running_job(TASKS));
    world.run(2000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    world
}

/// Returns a host other than the planner's that runs tasks.
fn busy_host(world: &World) -> usize {
    let planner = world.planner_host();
    let busy = (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, JOB) > 0);
    busy.expect("several hosts run tasks")
}

/// Returns the number of running tasks on other hosts.
fn running_elsewhere(world: &World, host: usize) -> usize {
    world.running(JOB).len() - world.running_on(host, JOB)
}

/// Guards against leases that count as renewed while the worker is gone, because connections to it
/// are not refused but get no answer.
#[rstest]
fn gone(#[values(1, 2, 3, 4, 5, 6)] seed: u64, #[values(0, 110, 220)] offset_ms: u64) {
    let mut world = started_world(seed);
    world.run(offset_ms);
    let host = busy_host(&world);
    world.lose_worker(host);
    world.silence_worker(host, FOREVER_MS);
    world.run(RETURN_MS);
    assert_eq!(running_elsewhere(&world, host), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against a wait for these leases that starts anew with each planner.
#[rstest]
fn planners_replaced(#[values(1, 2, 3, 4)] seed: u64, #[values(2500, 3000, 4500)] pause_ms: u64) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.lose_worker(host);
    world.silence_worker(host, FOREVER_MS);
    let mut elapsed_ms = 0;
    let mut allowed_ms = RETURN_MS;
    while elapsed_ms + pause_ms < allowed_ms {
        world.run(pause_ms);
        elapsed_ms += pause_ms;
        if let Some(planner) = world.planner_host() {
            world.kill(planner);
        }
        allowed_ms += SUCCESSION_MS;
    }
    world.run(allowed_ms - elapsed_ms);
    assert_eq!(running_elsewhere(&world, host), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against tasks that run twice because a worker that is only silent keeps its leases, or
/// carries calls out late.
#[rstest]
fn back(
    #[values(1, 2, 3)] seed: u64,
    #[values(400, 900, 3000, 6500, 8500, 9000, 9300, 9600, 10_000, 15_000)] span_ms: u64,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.silence_worker(host, span_ms);
    world.run(span_ms + RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against tasks that are placed on a worker that has ceased to answer.
#[rstest]
fn not_chosen(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let silent = busy_host(&world);
    let mut others = (0..HOSTS).filter(|&host| host != silent);
    world.silence_worker(silent, FOREVER_MS);
    world.run(8000);
    let lost = others.find(|&host| world.running_on(host, JOB) > 0);
    world.lose_worker(lost.expect("several hosts run tasks"));
    world.run(RETURN_MS);
    assert_eq!(running_elsewhere(&world, silent), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
