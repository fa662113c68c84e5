//! Pattern: a burst leaves more work than the workers can do, so that somebody has to wait.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use world::{World, WorldFaults};

/// Processors of an emulated worker, in thousandths of a core.
const WHOLE_WORKER: u32 = 8000;

fn step(estimate_ms: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        tasks: 1,
        cpu: WHOLE_WORKER,
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

/// Returns the jobs whose tasks were started, in order.
fn started(world: &World) -> Vec<JobId> {
    let starts = world.judge.starts.iter();
    starts.map(|start| start.run.task.step.job).collect()
}

/// Work that has gone into a job is not left to be late while fresh jobs with less time begin.
#[test]
fn begun_before_fresh() {
    let mut world = World::new(3, 1, WorldFaults::default(), 0);
    world.run(3000);
    let (begun, fresh) = (JobId(1), JobId(2));
    world.submit(begun, job(vec![step(1500, &[]), step(1500, &[0])]));
    world.run(100);
    world.submit(fresh, job(vec![step(1500, &[])]));
    world.run(8000);
    assert_eq!(started(&world), [begun, begun, fresh]);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// A job that is too late to be worth anything waits for one that is merely late.
#[test]
fn hopeless_after_late() {
    let mut world = World::new(4, 1, WorldFaults::default(), 0);
    world.delay_announcements(4000);
    world.run(1000);
    let (hopeless, late) = (JobId(1), JobId(2));
    world.submit(hopeless, job(vec![step(100, &[])]));
    world.submit(late, job(vec![step(1000, &[])]));
    world.run(8000);
    assert_eq!(started(&world), [late, hopeless]);
}

/// Starts fillers beside serving tasks, then more of them once it shows what the first get.
fn fillers_started(filler_rate: f64) -> usize {
    let mut world = World::new(5, 2, WorldFaults::default(), 0);
    world.filler_rate = filler_rate;
    world.run(3000);
    let mut serving = World::lasting_job(4);
    serving.steps[0].target_ms = 100;
    world.submit(JobId(1), serving);
    world.run(2000);
    let best_effort = |tasks| StepSpec {
        tasks,
        cpu: 200,
        best_effort: true,
        checkpointing: true,
        ..step(1000, &[])
    };
    // Four tasks on each worker, for whose tasks the readings are the mean over half a second.
    world.run(100);
    world.submit(JobId(2), job(vec![best_effort(8)]));
    world.run(1000);
    let before = world.judge.starts.len();
    world.submit(JobId(3), job(vec![best_effort(4)]));
    world.run(300);
    world.judge.starts.len() - before
}

/// Where fillers get little, more of them would only make all of them late.
#[test]
fn starved_fillers_not_joined() {
    assert_eq!(fillers_started(1.0), 4);
    assert_eq!(fillers_started(0.3), 0);
}
