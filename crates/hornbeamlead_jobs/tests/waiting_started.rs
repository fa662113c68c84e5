//! Best-effort jobs whose workers are all crowded or throttled: the end of a day, on which nothing
//! else arrives.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// Longest wait of a job without a running task, in milliseconds.
const MAX_WAIT_MS: u64 = 2000;

fn best_effort_job(tasks: u32, estimate_ms: u32) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: 2000,
        memory: 100,
        estimate_ms,
        best_effort: true,
        checkpointing: true,
        image: "report".into(),
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Each worker runs one best-effort task that gets no CPU because it interferes with serving tasks.
/// Later jobs still start.
#[rstest]
fn crowded_job_starts(#[values(1, 2, 3)] seed: u64, #[values(0.0, 0.3)] rate: f64) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.best_effort_rate = rate;
    world.best_effort_ms = Some(60_000);
    world.run(3000);
    let mut serving = World::long_running_job(8);
    serving.steps[0].target_ms = 100;
    world.submit(JobId(1), serving);
    world.run(2000);
    world.submit(JobId(2), best_effort_job(4, 60_000));
    world.run(2000);
    let waiting = [JobId(3), JobId(4), JobId(5)];
    for job in waiting {
        world.submit(job, best_effort_job(20, 5000));
    }
    world.run(MAX_WAIT_MS);
    for job in waiting {
        assert!(!world.running(job).is_empty(), "{job} has no running task");
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
