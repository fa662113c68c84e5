//! Length of a queue as reported to callers while jobs are placed on hosts that cannot start them.

mod world;

use hornbeamlead_jobs::effect::CallerReply;
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

/// Job of which a task runs while the others are placed.
const RUNNING_JOB: u64 = 100;

/// Starts a job, takes the workers of the planner and of one more host away, and suspends the other
/// hosts, on which the jobs that follow are placed.
fn suspended_world(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, HOSTS + 1, WorldFaults::default(), 0);
    world.run(3000);
    let planner = world.planner_host().expect("a planner is elected");
    let successor = (planner + 1) % (HOSTS + 1);
    world.lose_worker(planner);
    world.lose_worker(successor);
    for job in 0..2 {
        world.submit(JobId(RUNNING_JOB + job), World::long_running_job(1));
    }
    world.run(3000);
    assert_eq!(world.queue_length(), Some(0));
    for host in (0..=HOSTS).filter(|&host| host != planner && host != successor) {
        world.freeze(host, 2 * COUNTED_AFTER_MS);
    }
    for job in 1..=JOBS {
        world.submit(JobId(job), World::long_running_job(1));
    }
    (world, planner)
}

/// Guards against a job that is not counted between its placement and the next heartbeat.
#[rstest]
fn counted_at_each_moment(#[values(1, 2, 3)] seed: u64) {
    let (mut world, _) = suspended_world(seed);
    for _ in 0..200 {
        world.run(10);
        let accepted = |job: &u64| world.submit_reply(JobId(*job)) == Some(&CallerReply::Accepted);
        let accepted = (1..=JOBS).filter(accepted).count();
        let reported = world.queue_length().expect("the plan is current");
        assert!(reported >= accepted, "{reported} of {accepted} counted");
    }
}

/// Guards against a new planner that forgets which jobs have not begun, or takes jobs that run for
/// such, also if no heartbeat follows the placements (50 ms) or the newest snapshot (650 ms).
#[rstest]
fn counted_after_takeover(#[values(1, 2, 3)] seed: u64, #[values(50, 650, 1000)] lost_ms: u64) {
    let (mut world, planner) = suspended_world(seed);
    world.run(lost_ms);
    let epoch = world.planner_epoch();
    world.remove(planner);
    let mut answers = 0;
    for _ in 0..160 {
        world.run(50);
        if world
            .planner_epoch()
            .is_some_and(|later| Some(later) != epoch)
            && let Some(reported) = world.queue_length()
        {
            assert_eq!(reported, JOBS as usize);
            answers += 1;
        }
    }
    assert!(answers > 0, "the length is never reported");
}

/// Guards against running jobs that count as waiting when the planner changes.
#[rstest]
fn running_not_counted(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    for job in 1..=JOBS {
        world.submit(JobId(job), World::long_running_job(1));
    }
    world.run(3000);
    assert_eq!(world.queue_length(), Some(0));
    let epoch = world.planner_epoch();
    world.kill(world.planner_host().expect("a planner is elected"));
    for _ in 0..200 {
        world.run(50);
        assert!(matches!(world.queue_length(), None | Some(0)));
    }
    assert_ne!(world.planner_epoch(), epoch);
}

/// A job that is cancelled before it begins waits no longer.
#[rstest]
fn cancelled_not_counted(#[values(1, 2, 3)] seed: u64) {
    let (mut world, _) = suspended_world(seed);
    world.run(1000);
    world.cancel(JobId(1));
    world.run(1000);
    assert_eq!(world.queue_length(), Some(JOBS as usize - 1));
}
