//! Length of a queue as reported to callers while jobs are placed on hosts that cannot start them.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 4;

const JOBS: u64 = 8;

/// Time after the acceptance of a job from which it has to be counted until it begins, in
/// milliseconds: 2 s after it has to be visible, by the platform's rules.
const COUNTED_AFTER_MS: u64 = 5000;

/// Guards against a queue that counts as empty while the tasks of its jobs are placed on suspended
/// hosts and none has begun.
#[rstest]
fn placed_not_begun(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    let planner = world.planner_host().expect("a planner is elected");
    world.lose_worker(planner);
    world.run(1000);
    for host in (0..HOSTS).filter(|&host| host != planner) {
        world.freeze(host, COUNTED_AFTER_MS + 2000);
    }
    for job in 1..=JOBS {
        world.submit(JobId(job), World::long_running_job(1));
    }
    world.run(COUNTED_AFTER_MS + 100);
    let begun = (1..=JOBS).filter(|&job| !world.running(JobId(job)).is_empty());
    let waiting = JOBS as usize - begun.count();
    assert!(waiting > 0, "no job waits");
    let reported = world.queue_length().expect("the plan is current");
    assert!(2 * reported >= waiting, "{reported} of {waiting} counted");
}
