//! A planner whose recovery takes long because the store is slow.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Time in which a planner is elected and has recovered, in milliseconds.
const TAKEOVER_MS: u64 = 5000;

/// Guards against candidates that replace one another because none recovers within the election
/// timeout of the others.
#[rstest]
fn successor_recovers(#[values(1, 2, 3, 4, 5, 6)] seed: u64, #[values(200, 400)] store_ms: u64) {
    let mut world = World::new(seed, 6, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JobId(31), World::long_running_job(8));
    world.run(2000);
    world.store_ms = store_ms;
    let planner = world.planner_host().expect("a planner is elected");
    world.kill(planner);
    world.run(TAKEOVER_MS);
    let epoch = world.planner_epoch();
    assert!(epoch.is_some());
    world.run(TAKEOVER_MS);
    assert_eq!(world.planner_epoch(), epoch);
    assert_eq!(world.running(JobId(31)).len(), 8);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
