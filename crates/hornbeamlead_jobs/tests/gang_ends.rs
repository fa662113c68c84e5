//! Members of a gang whose ends are reported after the completion of another member.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

const FIRST: JobId = JobId(41);
const SECOND: JobId = JobId(42);

const HOSTS: usize = 4;

/// Number of members that fill the room of all hosts.
const MEMBERS: u32 = 8;

/// Number of members that fit on one host.
const MEMBERS_PER_HOST: usize = 2;

/// Step of the checks, in milliseconds.
const CHECK_MS: u64 = 5;

/// Disruption after the end of the first member.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// A worker with a member at work crashes.
    Crash,
    /// A host with a member at work is silent for longer than its leases.
    Silence,
    /// The planner is replaced.
    Failover,
}

fn gang() -> JobBody {
    let step = StepSpec {
        tasks: MEMBERS,
        cpu: 4000,
        memory: 100,
        estimate_ms: 500,
        gang: true,
        ..StepSpec::default()
    };
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

/// Creates a platform on which the first gang has just been placed.
fn start_first(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(FIRST, gang());
    world
}

/// Runs the platform and checks that no host runs more members than fit on it.
fn run_checked(world: &mut World, span_ms: u64) {
    for _ in 0..span_ms / CHECK_MS {
        world.run(CHECK_MS);
        for host in 0..HOSTS {
            let members = world.running_on(host, FIRST) + world.running_on(host, SECOND);
            assert!(members <= MEMBERS_PER_HOST, "{members} run on {host}");
        }
    }
}

fn starts(world: &World, job: JobId) -> usize {
    let starts = world.judge.starts.iter();
    starts
        .filter(|start| start.run.task.step.job == job)
        .count()
}

/// Guards against members that count as running for good after another's end, whose room no later
/// task gets, and against members at work that are stopped then.
#[rstest]
fn room_free_after_gang(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut world = start_first(seed);
    run_checked(&mut world, 8000);
    world.submit(SECOND, gang());
    run_checked(&mut world, 8000);
    for job in [FIRST, SECOND] {
        assert_eq!(world.phase(job), Some(JobPhase::Completed), "{job}");
    }
    for job in [FIRST, SECOND] {
        assert!(world.judge.is_done(job), "a member of {job} was stopped");
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against members that start again or hold their room for good because they are lost after
/// another's end, and against room that is used twice before they have ended.
#[rstest]
fn members_lost_after_completion(
    #[values(Disruption::Crash, Disruption::Silence, Disruption::Failover)] disruption: Disruption,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut world = start_first(seed);
    while world.phase(FIRST) != Some(JobPhase::Completed) {
        run_checked(&mut world, CHECK_MS);
    }
    world.submit(SECOND, gang());
    let planner = world.planner_host().expect("a planner is elected");
    let mut others = (0..HOSTS).filter(|&host| host != planner);
    let member = others.find(|&host| world.running_on(host, FIRST) > 0);
    let member = member.expect("a member is at work");
    match disruption {
        Disruption::Crash => world.crash(member),
        Disruption::Silence => world.partition(member, 12_000),
        Disruption::Failover => world.kill(planner),
    }
    run_checked(&mut world, 25_000);
    for job in [FIRST, SECOND] {
        assert_eq!(world.phase(job), Some(JobPhase::Completed), "{job}");
        assert_eq!(starts(&world, job), MEMBERS as usize, "{job}");
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
