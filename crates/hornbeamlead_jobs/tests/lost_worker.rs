//! A worker that its agent doesn't find again after a restart: its tasks start elsewhere once their
//! leases have certainly expired, although the agent reports.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Time after the last disturbance in which all tasks have to run, in milliseconds.
const RETURN_MS: u64 = 10_000;

/// Time by which the loss of a planner may delay the tasks of a lost worker, in milliseconds.
const SUCCESSION_MS: u64 = 2000;

/// Number of hosts.
const HOSTS: usize = 6;

/// Number of long-running tasks.
const TASKS: u32 = 24;

const JOB: JobId = JobId(23);

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

/// Guards against reports of an agent that knows no worker being taken for the renewal of its
/// leases, so that the tasks of a worker that is gone never start again.
#[rstest]
fn gone_in_restart(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.kill(host);
    world.lose_worker(host);
    assert!(world.running(JOB).len() < TASKS as usize);
    world.run(RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against leases of a worker that count as renewed by reports of another one. It cannot be
/// told from their starts which of the two has ended if the clock was set back between them.
#[rstest]
fn set_back_in_restart(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.kill(host);
    world.set_worker_back(host);
    assert!(world.running(JOB).len() < TASKS as usize);
    world.run(RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against the same under a successor, if the agent is that of the planner's host.
#[rstest]
fn gone_with_planner(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let planner = world.elect_on_busy_host(JOB);
    world.kill(planner);
    world.lose_worker(planner);
    assert!(world.running(JOB).len() < TASKS as usize);
    world.run(RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against a wait for the leases of a worker that is gone which starts anew with each planner.
#[rstest]
fn gone_planners_replaced(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(2500, 3000, 4500)] pause_ms: u64,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.kill(host);
    world.lose_worker(host);
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
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against elections because the planner leaves agents that know no worker without an
/// answer, or answers as if it could not reach the store.
#[rstest]
fn planner_kept(#[values(1, 2, 3)] seed: u64) {
    let mut world = started_world(seed);
    let epoch = world.planner_epoch();
    let host = busy_host(&world);
    world.kill(host);
    world.lose_worker(host);
    for _ in 0..150 {
        world.run(100);
        assert_eq!(world.planner_epoch(), epoch);
    }
}

/// Guards against tasks that run twice because a worker which its agent finds late still has a lease:
/// its tasks have been taken for lost, or are about to be.
#[rstest]
fn found_late(
    #[values(1, 2, 3)] seed: u64,
    #[values(
        5000, 8000, 8400, 8600, 8800, 9000, 9100, 9200, 9300, 9400, 9600, 12_000, 15_000
    )]
    delay_ms: u64,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.kill(host);
    world.delay_announcement(host, delay_ms);
    world.run(RETURN_MS.max(delay_ms) + 2000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against tasks that run twice because the agent renews leases by grants for reports without
/// a worker: it finds its worker when the planner doesn't hear of it any more.
#[rstest]
fn found_in_partition(
    #[values(1, 2, 3)] seed: u64,
    #[values(3500, 4500, 5300, 5700)] delay_ms: u64,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.kill(host);
    world.delay_announcement(host, delay_ms);
    world.run(delay_ms - 10);
    world.partition(host, 20_000);
    world.run(24_000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against tasks of a worker that is found again in time starting elsewhere.
#[rstest]
fn found_in_time(#[values(1, 2, 3)] seed: u64) {
    let mut world = started_world(seed);
    let before = world.running(JOB);
    let host = busy_host(&world);
    world.kill(host);
    world.delay_announcement(host, 4500);
    world.run(20_000);
    assert_eq!(world.running(JOB), before);
}
