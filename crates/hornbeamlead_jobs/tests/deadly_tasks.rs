//! Tasks that crash each worker that starts them: they are given up after a few starts, and nothing
//! else is.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 8;

/// Jobs beside the deadly ones, which come at this interval in milliseconds.
const NEIGHBOURS: u64 = 60;
const INTERVAL_MS: u64 = 150;

/// Time after the last job in which all jobs end, in milliseconds.
const SETTLE_MS: u64 = 30_000;

fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu: 500,
        memory: 100,
        estimate_ms: 800,
        ..StepSpec::default()
    }
}

fn job_of(steps: Vec<StepSpec>) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps,
        ..JobBody::default()
    }
}

/// Submits a job every moment. `deadly` returns the index of the task of a job that crashes its
/// workers, if one does.
fn submit_all(world: &mut World, deadly: impl Fn(u64) -> Option<u32>) {
    for number in 1..=NEIGHBOURS {
        let job = JobId(number);
        if let Some(index) = deadly(number) {
            world.make_deadly(job, 0, index);
        }
        world.submit(job, job_of(vec![step(4)]));
        world.run(INTERVAL_MS);
    }
}

/// Checks that all jobs have completed but those of which a task crashes its workers, which have
/// failed, and that no violation was found.
fn check_outcomes(world: &mut World, deadly: impl Fn(u64) -> Option<u32>) {
    assert_eq!(world.judge.violations, Vec::<String>::new());
    for number in 1..=NEIGHBOURS {
        let expected = match deadly(number) {
            Some(_) => JobPhase::Failed,
            None => JobPhase::Completed,
        };
        assert_eq!(world.phase(JobId(number)), Some(expected), "job {number}");
    }
}

/// Guards against a task that crashes worker after worker because attempts that are lost with their
/// worker count for nothing, and against its neighbours being given up in its place.
#[rstest]
fn deadly_given_up(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let deadly = |number: u64| number.is_multiple_of(10).then_some(number as u32 % 4);
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    submit_all(&mut world, deadly);
    world.run(SETTLE_MS);
    check_outcomes(&mut world, deadly);
}
