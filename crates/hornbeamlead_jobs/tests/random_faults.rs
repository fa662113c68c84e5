//! Under random faults no task runs twice, and every accepted job is done in the end.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::JobPhase;
use proptest::prelude::*;
use rstest::rstest;
use world::{World, WorldFaults};

/// Hosts of a run.
const HOSTS: usize = 5;

/// Time in which faults come, in milliseconds.
const FAULTS_MS: u64 = 12_000;

/// Time after the last fault in which all jobs have to be done: a silent host's lease of 9 s, and
/// some seconds of work.
const SETTLE_MS: u64 = 30_000;

/// Time in which the tasks of a cancelled job have to end: 3 s for orders, 0.9 s for a stop.
const CANCEL_MS: u64 = 3900;

/// Schedules of a property in CI, where `PROPTEST_CASES` names no other number.
const SCHEDULES: u32 = 24;

fn schedules() -> u32 {
    let named = std::env::var("PROPTEST_CASES").ok();
    named
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES)
}

fn all_faults() -> WorldFaults {
    WorldFaults {
        kill: 0.3,
        kill_planner: 0.2,
        freeze: 0.2,
        cut: 0.2,
        crash: 0.2,
        store_away: 0.15,
        lost: 0.05,
        late: 0.08,
        cancel: 0.15,
        fail: 0.05,
    }
}

/// Plays one run and returns what was done wrong.
fn play(seed: u64, faults: WorldFaults, relays: bool) -> Vec<String> {
    let mut world = World::new(seed, HOSTS, faults, FAULTS_MS);
    world.relays = relays;
    world.run(2000);
    let long_running = JobId(1);
    world.submit(long_running, World::lasting_job(3));
    for _ in 0..20 {
        let (job, body) = world.draw_job();
        world.submit(job, body);
        world.run(500);
    }
    world.run(SETTLE_MS);
    if world.accepted.contains(&long_running) && !world.judge.is_cancelled(long_running) {
        let running = world.running(long_running).len();
        if running != 3 {
            world
                .judge
                .violations
                .push(format!("{running} of 3 lasting tasks run"));
        }
        world.cancel(long_running);
    }
    world.run(CANCEL_MS);
    let accepted = world.accepted.clone();
    let mut faults = std::mem::take(&mut world.judge.violations);
    for job in accepted {
        let left = world.running(job);
        if !left.is_empty() {
            faults.push(format!("{left:?} run on"));
        }
        let phase = world.phase(job);
        let expected = match world.judge.is_cancelled(job) {
            true => matches!(phase, Some(JobPhase::Cancelled | JobPhase::Completed)),
            false => phase == Some(JobPhase::Completed),
        };
        if !expected {
            faults.push(format!("{job} is shown as {phase:?}"));
        }
        if phase == Some(JobPhase::Completed) && !world.judge.is_done(job) {
            faults.push(format!("{job} is shown as completed and is not done"));
        }
    }
    faults
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(schedules()))]

    #[test]
    fn no_task_twice(seed in any::<u64>()) {
        let faults = play(seed, all_faults(), false);
        prop_assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }

    /// Processes that call the store through one another keep the same promises.
    #[test]
    fn no_task_twice_by_relay(seed in any::<u64>()) {
        let faults = play(seed, all_faults(), true);
        prop_assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

#[test]
fn calm_run() {
    let faults = play(1, WorldFaults::default(), false);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Runs that failed once, each with what was wrong.
#[rstest]
// A planner that woke from a freeze started tasks that had been cancelled meanwhile.
#[case(16853468276921558405)]
// The emulated platform lost an order on a link that lived on; now a cut ends the link for good.
#[case(8843093407520491677)]
// Done while the host was silent for longer than its lease, and done again before the end came:
// allowed, but a late end is taken now while the task waits.
#[case(1660288532550364417)]
// An agent that woke from a freeze repeated a start whose job had been cancelled meanwhile.
#[case(3161392216867650429)]
// The body of a job was removed before the record of its end was stored; the planner died.
#[case(11801616418277403771)]
fn failed_once(#[case] seed: u64) {
    let faults = play(seed, all_faults(), false);
    assert!(faults.is_empty(), "{faults:#?}");
}
