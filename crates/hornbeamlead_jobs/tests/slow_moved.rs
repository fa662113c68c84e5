//! Stragglers: one task of a best-effort step gets far less CPU than the others, which wait for it.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// True run time of the tasks, in milliseconds.
const TASK_MS: u32 = 20_000;

fn best_effort_job(checkpointing: bool, estimate_ms: u32) -> JobBody {
    let step = StepSpec {
        tasks: 3,
        cpu: 4000,
        memory: 100,
        estimate_ms,
        best_effort: true,
        checkpointing,
        image: "report".into(),
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Runs three tasks on three workers, one of them slow, and returns how many run there after 6 s.
fn left_on_slow_host(seed: u64, checkpointing: bool, estimate_ms: u32) -> usize {
    let mut world = World::new(seed, 3, WorldFaults::default(), 0);
    world.slow_host = Some(0);
    world.best_effort_ms = Some(u64::from(TASK_MS));
    world.run(3000);
    world.submit(JobId(1), best_effort_job(checkpointing, estimate_ms));
    world.run(6000);
    assert_eq!(world.running(JobId(1)).len(), 3);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    world.running_on(0, JobId(1))
}

/// A task that saves checkpoints moves to a worker on which it gets what it requests.
#[rstest]
fn straggler_moved(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(left_on_slow_host(seed, true, TASK_MS), 0);
}

/// It moves also if the caller's estimate is so low that a move would not seem worthwhile.
#[rstest]
fn estimate_corrected(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(left_on_slow_host(seed, true, TASK_MS / 100), 0);
}

/// A task without checkpoints stays, because a move would lose its work.
#[rstest]
fn unsaved_work_kept(#[values(1, 2, 3)] seed: u64) {
    assert_eq!(left_on_slow_host(seed, false, TASK_MS), 1);
}

/// While the store is away, no task is stopped for a move: its next attempt could not be recorded.
#[rstest]
fn no_move_without_store(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 3, WorldFaults::default(), 0);
    world.slow_host = Some(0);
    world.best_effort_ms = Some(u64::from(TASK_MS));
    world.run(3000);
    world.submit(JobId(1), best_effort_job(true, TASK_MS));
    world.run(500);
    world.stop_store(5000);
    world.run(4500);
    assert_eq!(world.running(JobId(1)).len(), 3);
}
