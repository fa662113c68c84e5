//! Checkpoints from which the members of a gang resume.

mod fleet;
mod world;

use fleet::Fleet;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::ids::{JobId, RunNumber};
use hornbeamlead_jobs::job::{JobBody, StepSpec};
use rstest::rstest;
use world::lone::LonePlanner;

const MEMBERS: u32 = 6;

/// Guards against members of a gang that resume from a checkpoint of their own each, so that they never
/// come to work together. The value of any member will do, but all have to carry the same.
#[rstest]
fn same_checkpoint(#[values(false, true)] is_replaced: bool) {
    let planner = LonePlanner::new(EmulatedStore::default(), 10_000);
    let mut fleet = Fleet::new(planner, 3, 60_000);
    fleet.run(1000);
    let step = StepSpec {
        tasks: MEMBERS,
        cpu: 1000,
        memory: 16,
        estimate_ms: 60_000,
        gang: true,
        checkpointing: true,
        spread_limit: Some(2),
        ..StepSpec::default()
    };
    let body = JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    };
    fleet.submit(JobId(1), body);
    fleet.run(2000);
    assert_eq!(fleet.running(), MEMBERS as usize);
    fleet.crash_worker(1);
    if is_replaced {
        fleet.run(50);
        fleet.replace_planner(2);
    }
    fleet.run(5000);
    let starts = fleet.starts.iter().zip(&fleet.checkpoints);
    let resumed = starts.filter(|((_, run), _)| run.run == RunNumber(2));
    let checkpoints: Vec<_> = resumed.map(|(_, checkpoint)| checkpoint.clone()).collect();
    assert_eq!(checkpoints.len(), MEMBERS as usize);
    assert!(checkpoints[0].is_some());
    assert!(
        checkpoints.iter().all(|it| *it == checkpoints[0]),
        "{checkpoints:?}"
    );
}
