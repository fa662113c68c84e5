//! Workers whose capacity shrinks while they run: no start exceeds it once the worker has told.

mod world;

use hornbeamlead_emulator::rooms::WorkerRoom;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use hornbeamlead_jobs::store::StreamName;
use rstest::rstest;
use world::{World, WorldFaults};

const HOSTS: usize = 3;

const JOB: JobId = JobId(31);

/// Capacity of all workers at first, for eight of the tasks each.
const LARGE: WorkerRoom = WorkerRoom {
    cpu: 8000,
    memory: 16_000,
};

/// Capacity for one of the tasks.
const SMALL: WorkerRoom = WorkerRoom {
    cpu: 1500,
    memory: 16_000,
};

fn job(tasks: u32) -> JobBody {
    let step = StepSpec {
        tasks,
        cpu: 1000,
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

fn set_rooms(world: &mut World, room: WorkerRoom) {
    (0..HOSTS).for_each(|host| world.set_room(host, room));
}

/// Guards against starts that exceed a capacity that has shrunk below what is placed.
#[rstest]
fn starts_fit(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JOB, job(120));
    for _ in 0..3 {
        world.run(2000);
        set_rooms(&mut world, SMALL);
        world.run(6000);
        set_rooms(&mut world, LARGE);
    }
    world.run(20_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
}

/// Guards against starts that were placed before the capacity shrank and whose records the store
/// takes only afterwards.
#[rstest]
fn stored_late(#[values(1, 2, 3, 4)] seed: u64, #[values(4200, 5000, 6000)] outage_ms: u64) {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.refuse_stream(Some(StreamName::Plan));
    world.submit(JOB, job(24));
    world.run(300);
    set_rooms(&mut world, SMALL);
    world.run(outage_ms);
    world.refuse_stream(None);
    world.run(40_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
}
