//! Address of the planner in the store: agents find the planner there.

mod world;

use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::store::{StoreOperation, StreamName};
use rstest::rstest;
use world::lone::LonePlanner;
use world::{World, WorldFaults};

/// Time in which all hosts are connected again, in milliseconds.
const RECONNECT_MS: u64 = 10_000;

/// Guards against an address that a former planner's late append has replaced for good, so that an
/// agent that starts then never finds the planner.
#[rstest]
fn late_address(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 2000, 4000)] delay_ms: u64) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.run(3000);
    let former = world.planner_host().expect("a planner is elected");
    let late = world.planner_address().expect("a planner is elected");
    world.kill(former);
    while world
        .planner_epoch()
        .is_none_or(|epoch| epoch == late.epoch)
    {
        world.run(5);
    }
    world.run(1000 + delay_ms);
    let planner = world.planner_host();
    world.publish_address(&late);
    let other = (0..4).find(|&host| Some(host) != planner && host != former);
    world.kill(other.expect("there are four hosts"));
    world.run(RECONNECT_MS);
    assert_eq!(world.planner_host(), planner);
    assert_eq!(world.connected_hosts(), 4);
}

/// Guards against an address that is written so often that it costs more than it is worth.
#[test]
fn few_writes() {
    let mut planner = LonePlanner::new(EmulatedStore::default(), 10_000);
    planner.run(120_000);
    let writes = planner.calls.iter().filter(|call| {
        matches!(
            call,
            StoreOperation::Append {
                stream: StreamName::Planner,
                ..
            }
        )
    });
    let writes = writes.count();
    assert!((2..=10).contains(&writes), "{writes} writes in 120 s");
}
