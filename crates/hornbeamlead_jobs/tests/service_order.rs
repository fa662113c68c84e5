//! Scheduling order under overload: a burst of jobs exceeds the capacity of the workers.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use world::{World, WorldFaults};

/// CPU of an emulated worker, in thousandths of a core.
const WORKER_CPU: u32 = 8000;

fn step(estimate_ms: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        tasks: 1,
        cpu: WORKER_CPU,
        memory: 100,
        estimate_ms,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps,
        ..JobBody::default()
    }
}

/// Returns the job of each started task, in order of the starts.
fn started_jobs(world: &World) -> Vec<JobId> {
    let starts = world.judge.starts.iter();
    starts.map(|start| start.run.task.step.job).collect()
}

/// A job that has already started is not made late by a new job with less slack.
#[test]
fn started_before_new() {
    let mut world = World::new(3, 1, WorldFaults::default(), 0);
    world.run(3000);
    let (started, new) = (JobId(1), JobId(2));
    world.submit(started, job(vec![step(1500, &[]), step(1500, &[0])]));
    world.run(100);
    world.submit(new, job(vec![step(1500, &[])]));
    world.run(8000);
    assert_eq!(started_jobs(&world), [started, started, new]);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A job whose completion no longer has any value runs after one that is merely late.
#[test]
fn worthless_after_late() {
    let mut world = World::new(4, 1, WorldFaults::default(), 0);
    world.delay_announcements(4000);
    world.run(1000);
    let (worthless, late) = (JobId(1), JobId(2));
    world.submit(worthless, job(vec![step(100, &[])]));
    world.submit(late, job(vec![step(1000, &[])]));
    world.run(8000);
    assert_eq!(started_jobs(&world), [late, worthless]);
}

/// Starts best-effort tasks beside serving tasks, waits until readings show the CPU they get,
/// submits four more and returns how many of those start.
fn best_effort_starts(best_effort_rate: f64) -> usize {
    let mut world = World::new(5, 2, WorldFaults::default(), 0);
    world.best_effort_rate = best_effort_rate;
    world.run(3000);
    let mut serving = World::long_running_job(4);
    serving.steps[0].target_ms = 100;
    serving.steps[0].spread_limit = Some(2);
    world.submit(JobId(1), serving);
    world.run(2000);
    let best_effort_step = |tasks| StepSpec {
        tasks,
        cpu: 200,
        best_effort: true,
        checkpointing: true,
        ..step(1000, &[])
    };
    // Four best-effort tasks run on each worker; readings are means over half a second.
    world.run(100);
    world.submit(JobId(2), job(vec![best_effort_step(8)]));
    world.run(1000);
    let before = world.judge.starts.len();
    world.submit(JobId(3), job(vec![best_effort_step(4)]));
    world.run(300);
    world.judge.starts.len() - before
}

/// No best-effort tasks are added where the present ones get little CPU, because more of them would
/// only delay all.
#[test]
fn starved_best_effort() {
    assert_eq!(best_effort_starts(1.0), 4);
    assert_eq!(best_effort_starts(0.3), 0);
}
