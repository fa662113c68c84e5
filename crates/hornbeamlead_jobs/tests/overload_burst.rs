//! A burst of jobs beyond what the workers can do, with entry and planner together.

mod world;

use hornbeamlead_jobs::effect::CallerReply;
use hornbeamlead_jobs::entry::EntryPolicy;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use std::collections::BTreeMap;
use world::{World, WorldFaults};

/// Number of jobs of the burst; one worker does about one in a second.
const JOBS: u64 = 60;

/// Time after which a job is worth nothing: three times an objective of 2 x 800 + 500 ms.
const LIMIT_MS: u64 = 6300;

fn job() -> JobBody {
    let step = StepSpec {
        tasks: 1,
        cpu: 8000,
        memory: 100,
        estimate_ms: 800,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn start(seed: u64, admission: bool) -> World {
    let mut world = World::new(seed, 2, WorldFaults::default(), 0);
    world.set_entry_policy(EntryPolicy { admission, seed: 1 });
    world.run(6000);
    world
}

/// Returns how many jobs of a burst are rejected, how many are done in time, and how many are
/// accepted in vain.
fn burst(seed: u64, admission: bool) -> [u64; 3] {
    let mut world = start(seed, admission);
    let mut open = BTreeMap::new();
    let (mut in_time, mut submitted) = (0, 0);
    for turn in 0..500 {
        if turn % 4 == 0 && submitted < JOBS {
            submitted += 1;
            world.submit(JobId(submitted), job());
            open.insert(JobId(submitted), world.now());
        }
        world.run(50);
        let now = world.now();
        let ids: Vec<_> = open.iter().map(|(job, at)| (*job, *at)).collect();
        for (id, at) in ids {
            if world.phase(id) == Some(JobPhase::Completed) {
                open.remove(&id);
                in_time += u64::from(now - at <= LIMIT_MS);
            }
        }
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
    let is_rejected = |id: &u64| {
        let reply = world.submit_reply(JobId(*id));
        matches!(reply, Some(CallerReply::Overloaded { .. }))
    };
    let rejected = (1..=JOBS).filter(is_rejected).count() as u64;
    [rejected, in_time, JOBS - rejected - in_time]
}

/// With admission, as many jobs are done in time, and many of the others are told at once in place of
/// waiting in vain.
#[test]
fn told_at_once() {
    let [mut with, mut without] = [[0; 3]; 2];
    for seed in [1, 2, 3, 9] {
        for (sums, admission) in [(&mut with, true), (&mut without, false)] {
            let counts = burst(seed, admission).into_iter();
            sums.iter_mut()
                .zip(counts)
                .for_each(|(sum, count)| *sum += count);
        }
    }
    let ([_, in_time, in_vain], [rejected, other_in_time, other_in_vain]) = (with, without);
    assert_eq!(rejected, 0);
    assert!(in_time >= other_in_time, "{with:?} {without:?}");
    assert!(in_vain * 4 <= other_in_vain * 3, "{with:?} {without:?}");
}

/// While there is no planner, there is no news, and jobs are accepted.
#[test]
fn planner_killed() {
    let mut world = start(9, true);
    for id in 1..=40 {
        world.submit(JobId(id), job());
    }
    world.run(1000);
    world.submit(JobId(98), job());
    world.run(100);
    let rejected = world.submit_reply(JobId(98));
    assert!(matches!(rejected, Some(CallerReply::Overloaded { .. })));
    for host in 0..2 {
        world.remove(host);
    }
    world.run(2500);
    world.submit(JobId(99), job());
    world.run(100);
    assert_eq!(world.submit_reply(JobId(99)), Some(&CallerReply::Accepted));
}
