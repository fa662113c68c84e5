//! Crashes of processes at any time: accepted jobs complete, and no task runs twice.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// Time in which a job of two steps completes after all processes were killed, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

fn two_steps() -> JobBody {
    let step = |after: &[u16]| StepSpec {
        tasks: 3,
        cpu: 500,
        memory: 100,
        estimate_ms: 800,
        after: after.to_vec(),
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step(&[]), step(&[0])],
        ..JobBody::default()
    }
}

/// Kills every process except the workers `span_ms` after a job was submitted. Returns the phase
/// of the job in the end and the violations that the judge found.
fn kill_after(span_ms: u64) -> (Option<JobPhase>, Vec<String>) {
    let mut world = World::new(span_ms, 4, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(7);
    world.submit(job, two_steps());
    world.run(span_ms);
    world.kill_all();
    world.run(RECOVERY_MS);
    let accepted = !world.accepted.is_empty();
    let phase = world.phase(job);
    let violations = std::mem::take(&mut world.judge.violations);
    match accepted {
        true => (phase, violations),
        false => (Some(JobPhase::Completed), violations),
    }
}

/// Acceptance, the record of the starts and the starts fall into the first 200 ms; the processes are
/// killed at intervals of 5 ms.
#[test]
fn killed_around_start() {
    for span_ms in (0..200).step_by(5) {
        let outcome = kill_after(span_ms);
        assert_eq!(
            outcome,
            (Some(JobPhase::Completed), Vec::new()),
            "after {span_ms} ms"
        );
    }
}

/// Ends of attempts are listed, recorded and acknowledged between 150 ms and 3.5 s.
#[test]
fn killed_around_ends() {
    for span_ms in (200..3500).step_by(55) {
        let outcome = kill_after(span_ms);
        assert_eq!(
            outcome,
            (Some(JobPhase::Completed), Vec::new()),
            "after {span_ms} ms"
        );
    }
}

/// An agent that has just started drops orders until its worker has announced itself. A stop has to
/// reach the worker nevertheless.
#[rstest]
#[case(0)]
#[case(300)]
#[case(600)]
#[case(900)]
fn cancelled_in_restart(#[case] after_ms: u64) {
    let mut world = World::new(after_ms, 4, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(9);
    world.submit(job, World::long_running_job(4));
    world.run(2000);
    assert_eq!(world.running(job).len(), 4);
    world.kill_all();
    world.delay_announcements(4500);
    world.run(2000 + after_ms);
    world.cancel(job);
    world.run(9000);
    assert_eq!(world.running(job), Vec::new());
}

/// The successor of a planner that was killed adopts running tasks instead of starting them again.
#[test]
fn planner_killed() {
    let mut world = World::new(3, 5, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(11);
    world.submit(job, World::long_running_job(5));
    world.run(2000);
    let before = world.running(job);
    let planner = world.planner_host().expect("a planner is elected");
    world.kill(planner);
    world.run(4000);
    assert!(world.planner_host().is_some_and(|host| host != planner));
    assert_eq!(world.running(job), before);
}

/// An outage of the store of 6 or 7 s ends no task, and jobs that are submitted afterwards complete.
#[rstest]
fn store_outage(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64, #[values(6000, 7000)] span_ms: u64) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.run(3000);
    let long_running = JobId(13);
    world.submit(long_running, World::long_running_job(4));
    world.run(2000);
    let before = world.running(long_running);
    world.stop_store(span_ms);
    world.run(span_ms);
    assert_eq!(world.running(long_running), before);
    let job = JobId(14);
    world.submit(job, two_steps());
    world.run(8000);
    assert_eq!(world.running(long_running), before);
    assert_eq!(world.phase(job), Some(JobPhase::Completed));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A planner that the store refuses calls it through another host, so that it continues to start
/// tasks and is not replaced.
#[test]
fn planner_refused() {
    let mut world = World::new(5, 4, WorldFaults::default(), 0);
    world.relays = true;
    world.run(3000);
    let planner = world.planner_host().expect("a planner is elected");
    world.refuse_host(planner, 7000);
    world.run(1000);
    let job = JobId(14);
    world.submit(job, two_steps());
    world.run(4500);
    assert_eq!(world.phase(job), Some(JobPhase::Completed));
    assert_eq!(world.planner_host(), Some(planner));
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A host that is partitioned for 5 s keeps its tasks, which the planner adopts afterwards.
#[test]
fn host_partitioned() {
    let mut world = World::new(6, 4, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(15);
    world.submit(job, World::long_running_job(8));
    world.run(2000);
    let before = world.running(job);
    world.partition(3, 5000);
    world.run(9000);
    assert_eq!(world.running(job), before);
}

/// The tasks of a worker that crashes run on other workers within 3 s.
#[test]
fn worker_crashed() {
    let mut world = World::new(8, 4, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(17);
    world.submit(job, World::long_running_job(8));
    world.run(2000);
    world.crash(2);
    world.run(3000);
    assert_eq!(world.running(job).len(), 8);
}

/// Two candidates claim the same epoch, so that the store takes the second claim for a repetition
/// of the first. The candidate whose claim is not in the stream steps down and finds the other.
#[test]
fn same_epoch_twice() {
    let mut world = World::new(9, 4, WorldFaults::default(), 0);
    world.share_epochs();
    world.run(3000);
    let job = JobId(19);
    world.submit(job, World::long_running_job(8));
    world.run(2000);
    assert_eq!(world.running(job).len(), 8);
    for _ in 0..25 {
        world.kill_all();
        world.run(8000);
        assert_eq!(world.running(job).len(), 8);
        // A host that wrongly regards itself as the planner is connected only some of the time.
        for _ in 0..20 {
            world.run(50);
            assert_eq!(world.connected_hosts(), 4);
        }
    }
}
