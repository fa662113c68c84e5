//! Many hosts are lost at once while a long-running task is being stopped: it starts elsewhere.

mod world;

use hornbeamlead_jobs::ids::JobId;
use rstest::rstest;
use world::{World, WorldFaults};

/// Time after the loss in which all tasks have to run, in milliseconds.
const RETURN_MS: u64 = 10_000;

const HOSTS: usize = 12;

/// Number of long-running tasks; half of the hosts have room for them.
const TASKS: u32 = 36;

const JOB: JobId = JobId(31);

/// How the host is lost on which the task is being stopped.
#[derive(Clone, Copy, Debug)]
enum HostLoss {
    Host,
    Worker,
    Agent,
    Crash,
    Nothing,
}

/// Loses five hosts at once, `after_ms` after the tasks of one were told to stop, and returns when all
/// tasks run again, in milliseconds after that.
fn return_ms(seed: u64, after_ms: u64, loss: HostLoss, with_planner: bool) -> u64 {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JOB, World::long_running_job(TASKS));
    world.run(2000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    let planner = world.planner_host().expect("a planner is elected");
    let mut others = (0..HOSTS).filter(|&host| host != planner);
    let stopped = others.find(|&host| world.running_on(host, JOB) > 0);
    let stopped = stopped.expect("several hosts run tasks");
    world.drain(stopped);
    world.run(after_ms);
    match loss {
        HostLoss::Host => world.remove(stopped),
        HostLoss::Worker => world.lose_worker(stopped),
        HostLoss::Agent => world.kill(stopped),
        HostLoss::Crash => world.crash(stopped),
        HostLoss::Nothing => {}
    }
    for host in others.take(4) {
        world.remove(host);
    }
    if with_planner {
        world.remove(planner);
    }
    let lost_at = world.now();
    while world.running(JOB).len() < TASKS as usize && world.now() < lost_at + 2 * RETURN_MS {
        world.run(5);
    }
    assert_eq!(world.judge.violations, Vec::<String>::new());
    world.now() - lost_at
}

#[rstest]
fn restarted(
    #[values(
        HostLoss::Host,
        HostLoss::Worker,
        HostLoss::Agent,
        HostLoss::Crash,
        HostLoss::Nothing
    )]
    loss: HostLoss,
    #[values(false, true)] with_planner: bool,
) {
    for after_ms in (0..400).step_by(50) {
        let span_ms = return_ms(after_ms, after_ms, loss, with_planner);
        assert!(span_ms <= RETURN_MS, "after {after_ms} ms: {span_ms} ms");
    }
}
