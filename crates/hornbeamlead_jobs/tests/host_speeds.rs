//! Hosts on which tasks take clearly longer than their siblings elsewhere.

mod world;

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{HostName, JobId};
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use hornbeamlead_jobs::planner::host_speeds::HostSpeeds;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use world::{World, WorldFaults};

fn at(seconds: u64) -> MonoTime {
    MonoTime(seconds * 1_000_000)
}

/// A tail of 3% at seven times the usual makes no host slow; a host at twice the usual is, and is
/// forgotten if it runs nothing for a while.
#[test]
fn tail_and_slow() {
    let mut random = SmallRng::seed_from_u64(31);
    let (sound, slow) = (HostName::from("a"), HostName::from("b"));
    let mut speeds = HostSpeeds::default();
    for second in 0..200 {
        let tail = if random.random::<f64>() < 0.03 {
            7.0
        } else {
            1.0
        };
        let spread = random.random_range(0.7..1.3);
        assert_eq!(speeds.observe(at(second), &sound, tail * spread), None);
        speeds.observe(at(second), &slow, 2.0 * random.random_range(0.9..1.1));
        assert_eq!(speeds.cost(at(second), &sound), 0.0);
        assert_eq!(speeds.cost(at(second), &slow) > 0.0, second >= 3);
    }
    assert_eq!(speeds.cost(at(240), &slow), 0.0);
}

/// The tasks of a job avoid a host on which those of the job before took three times as long.
#[rstest]
fn slow_host_avoided(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.task_ms = Some(1000);
    world.slow_tasks_on = Some(0);
    world.copies = true;
    world.run(3000);
    let step = StepSpec {
        tasks: 20,
        cpu: 1000,
        memory: 100,
        estimate_ms: 1000,
        ..StepSpec::default()
    };
    let body = JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    };
    world.submit(JobId(1), body.clone());
    world.run(5000);
    assert!(world.judge.starts.iter().any(|start| start.host == 0));
    world.submit(JobId(2), body);
    world.run(500);
    assert_eq!(world.running(JobId(2)).len(), 20);
    assert_eq!(world.running_on(0, JobId(2)), 0);
}
