//! Agents and planners that are paused for seconds: what runs beside them is left alone while its
//! lease lasts, and nothing is done on a permission that has run out.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::JobPhase;
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 4;

const TASKS: u32 = 12;

const SERVING: JobId = JobId(41);

/// Time after a pause in which all tasks have to run, in milliseconds.
const RETURN_MS: u64 = 10_000;

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(SERVING, World::long_running_job(TASKS));
    world.run(2000);
    assert_eq!(world.running(SERVING).len(), TASKS as usize);
    world
}

/// A host that only reports late keeps its tasks: none starts elsewhere, and none is given up.
#[rstest]
fn silent_agent(#[values(1, 2, 3)] seed: u64, #[values(1000, 2500, 4000, 5000)] pause_ms: u64) {
    let mut world = started_world(seed);
    let before = world.running(SERVING);
    let planner = world.planner_host();
    let host =
        (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, SERVING) > 0);
    world.freeze(host.expect("several hosts run tasks"), pause_ms);
    world.run(pause_ms + RETURN_MS);
    assert_eq!(world.running(SERVING), before);
    assert_eq!(world.judge.starts.len(), TASKS as usize);
}

/// An agent that is paused for about as long as its leases last, or longer, renews none of them
/// afterwards, and its tasks run in one place.
#[rstest]
fn paused_past_lease(
    #[values(1, 2, 3)] seed: u64,
    #[values(8000, 8600, 9000, 9300, 9600, 15_000)] pause_ms: u64,
) {
    let mut world = started_world(seed);
    let planner = world.planner_host();
    let host =
        (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, SERVING) > 0);
    world.freeze(host.expect("several hosts run tasks"), pause_ms);
    world.run(pause_ms + RETURN_MS);
    assert_eq!(world.running(SERVING).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A planner that is paused right after it has taken jobs neither starts cancelled ones when it
/// resumes, nor orders again what its successor has ordered.
#[rstest]
fn paused_planner(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(300, 700, 1500, 3000, 6000, 12_000)] pause_ms: u64,
) {
    for after_ms in (0..100).step_by(10) {
        let mut world = started_world(seed);
        let (kept, cancelled) = (JobId(1), JobId(2));
        world.submit(kept, World::long_running_job(3));
        world.submit(cancelled, World::long_running_job(3));
        world.run(after_ms);
        let planner = world.planner_host().expect("a planner is elected");
        world.freeze(planner, pause_ms);
        world.run(200);
        world.cancel(cancelled);
        world.run(pause_ms + RETURN_MS);
        assert_eq!(world.running(SERVING).len(), TASKS as usize);
        assert_eq!(world.running(kept).len(), 3);
        assert_eq!(world.running(cancelled), Vec::new());
        assert_eq!(world.phase(cancelled), Some(JobPhase::Cancelled));
        assert_eq!(world.judge.violations, Vec::<String>::new());
        let starts = world.judge.starts.iter().map(|start| start.run);
        let distinct: std::collections::BTreeSet<_> = starts.clone().collect();
        assert_eq!(starts.count(), distinct.len(), "an order went out twice");
    }
}
