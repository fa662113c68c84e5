//! A host that is lost for good with its worker: its tasks start elsewhere once their leases have
//! certainly expired, whatever happens to the planner meanwhile.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Time after the last disturbance in which all tasks have to run, in milliseconds.
const RETURN_MS: u64 = 10_000;

/// Time by which the loss of a planner may delay the tasks of a lost host, in milliseconds: the
/// election of a successor, and what its predecessor had not stored yet.
const SUCCESSION_MS: u64 = 2000;

/// Number of hosts.
const HOSTS: usize = 6;

/// Number of long-running tasks.
const TASKS: u32 = 24;

const JOB: JobId = JobId(21);

fn started_world(seed: u64) -> World {
    clocked_world(seed, 100)
}

/// Returns a platform with running tasks whose workers' clocks run at a rate in percent of true
/// time.
fn clocked_world(seed: u64, worker_clock_percent: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.worker_clock_percent = worker_clock_percent;
    world.run(3000);
    world.submit(JOB, World::long_running_job(TASKS));
    world.run(2000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    world
}

/// Removes a host other than the planner's that runs tasks.
fn remove_worker(world: &mut World) {
    let planner = world.planner_host();
    let removed = (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, JOB) > 0);
    world.remove(removed.expect("several hosts run tasks"));
    assert!(world.running(JOB).len() < TASKS as usize);
}

/// Guards against a wait for leases that starts anew with each planner, so that the tasks of a lost
/// host stay away for as long as planners change.
#[rstest]
fn planners_replaced(#[values(1, 2, 3, 4)] seed: u64, #[values(2500, 3000, 4500)] pause_ms: u64) {
    let mut world = started_world(seed);
    remove_worker(&mut world);
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

/// Guards against a wait for leases that is longer than the target because the planner was lost
/// with the host.
#[rstest]
fn planner_removed(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let planner = world.elect_on_busy_host(JOB);
    world.remove(planner);
    assert!(world.running(JOB).len() < TASKS as usize);
    world.run(RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against a planner that takes over on a quiet platform and is replaced at once, because it
/// neither grants leases nor appends anything before its first long poll has ended.
#[rstest]
fn successor_kept(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    let planner = world.elect_on_busy_host(JOB);
    world.remove(planner);
    while world.planner_epoch().is_none() {
        world.run(5);
    }
    let epoch = world.planner_epoch();
    world.run(3000);
    assert_eq!(world.planner_epoch(), epoch);
}

/// Guards against leases that a worker with a slow clock keeps for longer, the longer its agent has
/// run: a partitioned host then runs tasks that have been started elsewhere.
#[rstest]
fn slow_worker_clock(#[values(1, 2, 3)] seed: u64) {
    let mut world = clocked_world(seed, 98);
    world.run(100_000);
    let planner = world.planner_host();
    let host = (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, JOB) > 0);
    world.partition(host.expect("several hosts run tasks"), 20_000);
    world.run(30_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.running(JOB).len(), TASKS as usize);
}

/// Guards against a planner that is cut off with its host and grants leases to it for longer than
/// its successor waits.
#[rstest]
fn planner_partitioned(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(0, 70, 140, 210)] offset_ms: u64,
) {
    let mut world = clocked_world(seed, 98);
    let planner = world.elect_on_busy_host(JOB);
    world.run(offset_ms);
    world.partition(planner, 20_000);
    world.run(RETURN_MS);
    let elsewhere = world.running(JOB).len() - world.running_on(planner, JOB);
    assert_eq!(elsewhere, TASKS as usize);
    world.run(20_000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against the bound of an earlier silence that stays in the plan after the host has come
/// back and got leases again.
#[rstest]
fn bound_withdrawn(
    #[values(1, 2, 3)] seed: u64,
    #[values(3000, 6000)] silence_ms: u64,
    #[values(400, 900, 1500)] back_ms: u64,
) {
    let mut world = started_world(seed);
    let planner = world.planner_host();
    let host = (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, JOB) > 0);
    let host = host.expect("several hosts run tasks");
    world.partition(host, silence_ms);
    world.run(silence_ms + back_ms);
    world.partition(host, 20_000);
    world.kill(planner.expect("a planner is elected"));
    world.run(30_000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A host that is lost alone returns its tasks in the same time.
#[rstest]
fn worker_removed(#[values(1, 2, 3)] seed: u64) {
    let mut world = started_world(seed);
    remove_worker(&mut world);
    world.run(RETURN_MS);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
