//! Job features beyond plain step graphs: schedules, gangs, labels and spread limits.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobSchedule, StepSpec};
use std::collections::{BTreeMap, BTreeSet};
use world::{World, WorldFaults};

/// Time in milliseconds by which an occurrence may start before it is due, as the platform allows.
const EARLY_MS: u64 = 250;

fn step(tasks: u32, cpu: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu,
        memory: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

fn job(step: StepSpec) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn ready_world(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts, WorldFaults::default(), 0);
    world.run(3000);
    world
}

/// Each occurrence runs once, and none starts before it is due.
#[test]
fn occurrences_on_time() {
    let mut world = ready_world(1, 3);
    let first = world.now() + 2000;
    let mut body = job(step(2, 500));
    body.schedule = JobSchedule {
        first_ms: World::wall_ms(first),
        interval_ms: 700,
        times: 3,
    };
    world.submit(JobId(1), body);
    world.run(9000);
    assert_eq!(world.phase(JobId(1)), Some(JobPhase::Completed));
    assert_eq!(world.judge.starts.len(), 6);
    for start in &world.judge.starts {
        let due = first + 700 * u64::from(start.run.task.step.occurrence);
        assert!(start.at + EARLY_MS >= due, "{start:?} is due at {due}");
    }
}

/// A planner that takes over between two occurrences neither repeats nor skips one.
#[test]
fn occurrences_after_failover() {
    let mut world = ready_world(2, 3);
    let mut body = job(step(1, 500));
    body.schedule = JobSchedule {
        first_ms: World::wall_ms(world.now()),
        interval_ms: 3000,
        times: 3,
    };
    world.submit(JobId(2), body);
    world.run(2000);
    let planner = world.planner_host().expect("a planner is elected");
    world.kill(planner);
    world.run(9000);
    assert_eq!(world.phase(JobId(2)), Some(JobPhase::Completed));
    assert_eq!(world.judge.starts.len(), 3);
}

/// The members of a gang start together and share one attempt number.
#[test]
fn gang_starts_together() {
    let mut world = ready_world(3, 3);
    let gang = StepSpec {
        gang: true,
        ..step(6, 3000)
    };
    world.submit(JobId(3), job(gang));
    world.run(1000);
    let starts = &world.judge.starts;
    assert_eq!(starts.len(), 6);
    let numbers: BTreeSet<_> = starts.iter().map(|start| start.run.run).collect();
    assert_eq!(numbers.len(), 1);
    let times = starts.iter().map(|start| start.at);
    let span = times.clone().max().unwrap_or(0) - times.min().unwrap_or(0);
    assert!(span < 500, "members started {span} ms apart");
}

/// A gang that does not fit as a whole starts no member and reserves no resources.
#[test]
fn gang_all_or_none() {
    let mut world = ready_world(4, 2);
    let gang = StepSpec {
        gang: true,
        ..step(6, 3000)
    };
    world.submit(JobId(4), job(gang));
    world.submit(JobId(5), job(step(4, 3000)));
    world.run(4000);
    assert_eq!(world.phase(JobId(4)), Some(JobPhase::Queued));
    assert_eq!(world.phase(JobId(5)), Some(JobPhase::Completed));
}

/// Tasks run only on workers with the required label, and at most `spread_limit` of them on each.
#[test]
fn labels_and_spread() {
    let mut world = ready_world(5, 6);
    let constrained = StepSpec {
        label: Some("r1".into()),
        spread_limit: Some(2),
        long_running: true,
        ..step(6, 500)
    };
    world.submit(JobId(6), job(constrained));
    world.run(2000);
    let mut hosts = BTreeMap::<usize, u32>::new();
    for start in &world.judge.starts {
        *hosts.entry(start.host).or_default() += 1;
    }
    // Hosts with odd numbers are on rack 1.
    assert_eq!(hosts, BTreeMap::from([(1, 2), (3, 2), (5, 2)]));
}
