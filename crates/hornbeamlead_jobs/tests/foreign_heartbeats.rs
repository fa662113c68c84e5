//! Announcements of another writer at an agent: its worker stays in use and its tasks run once.

mod world;

use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::worker::WorkerAnnouncement;
use rstest::rstest;
use std::net::SocketAddr;
use world::{World, WorldFaults};

const HOSTS: usize = 4;

/// Number of long-running tasks.
const TASKS: u32 = 16;

const JOB: JobId = JobId(23);

fn other_id(it: &mut WorkerAnnouncement) {
    it.facts.incarnation.id = "i-stray".into();
    it.facts.incarnation.born += 5000;
}

fn other_service(it: &mut WorkerAnnouncement) {
    other_id(it);
    it.facts.service = "unknown".into();
}

fn other_address(it: &mut WorkerAnnouncement) {
    other_id(it);
    it.address = SocketAddr::from(([10, 9, 9, 9], 7000));
}

/// Puts the address of nobody in place of the worker's.
fn moved_address(it: &mut WorkerAnnouncement) {
    it.sequence += 1;
    it.address = SocketAddr::from(([10, 9, 9, 9], 7000));
}

fn later_born(it: &mut WorkerAnnouncement) {
    it.facts.incarnation.born += 5000;
}

fn last_born(it: &mut WorkerAnnouncement) {
    it.facts.incarnation.born = u64::MAX;
}

fn last_born_elsewhere(it: &mut WorkerAnnouncement) {
    other_address(it);
    it.facts.incarnation.born = u64::MAX;
}

fn no_born(it: &mut WorkerAnnouncement) {
    it.facts.incarnation.born = 0;
}

fn last_sequence(it: &mut WorkerAnnouncement) {
    it.sequence = u64::MAX;
}

fn no_capacity(it: &mut WorkerAnnouncement) {
    it.sequence += 1;
    it.facts.cpu = 0;
    it.facts.memory = 0;
}

fn huge_capacity(it: &mut WorkerAnnouncement) {
    it.sequence = u64::MAX;
    it.facts.cpu = u32::MAX;
    it.facts.memory = u32::MAX;
}

fn other_labels(it: &mut WorkerAnnouncement) {
    it.sequence = u64::MAX;
    it.facts.labels = Vec::new();
}

type Change = fn(&mut WorkerAnnouncement);

fn busy_host(world: &World) -> usize {
    let planner = world.planner_host();
    let busy = (0..HOSTS).find(|&host| Some(host) != planner && world.running_on(host, JOB) > 0);
    busy.expect("several hosts run tasks")
}

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, WorldFaults::default(), 0);
    world.run(3000);
    world.submit(JOB, World::long_running_job(TASKS));
    world.run(2000);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    world
}

/// Guards against a heartbeat of another writer that ends the life of a worker in the system's eyes,
/// so that its tasks run twice and it stays out of use.
#[rstest]
fn worker_kept(
    #[values(1, 2, 3)] seed: u64,
    #[values(1, 3)] beats: u32,
    #[values(
        other_id,
        other_service,
        other_address,
        moved_address,
        later_born,
        last_born,
        last_born_elsewhere,
        no_born,
        last_sequence,
        no_capacity,
        huge_capacity,
        other_labels
    )]
    change: Change,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    let before = world.judge.starts.len();
    for _ in 0..beats {
        world.announce_other(host, change);
        world.run(700);
    }
    world.run(12_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.judge.starts.len(), before, "tasks were started again");
    assert_eq!(world.running(JOB).len(), TASKS as usize);
}

/// Guards against a worker that is not used any more, or whose drain goes unnoticed, after a heartbeat
/// of another writer.
#[rstest]
fn worker_drains(
    #[values(1, 2, 3)] seed: u64,
    #[values(other_id, moved_address, last_born, last_sequence, huge_capacity)] change: Change,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    world.announce_other(host, change);
    world.run(6000);
    world.drain(host);
    world.run(4000);
    assert_eq!(world.running_on(host, JOB), 0);
    assert_eq!(world.running(JOB).len(), TASKS as usize);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against an agent that has just started and takes the first heartbeat that it gets for that
/// of its worker.
#[rstest]
fn agent_restarted(
    #[values(1, 2, 3)] seed: u64,
    #[values(other_id, other_address, later_born, last_born, no_born)] change: Change,
) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    let before = world.judge.starts.len();
    world.delay_announcement(host, 1200);
    world.kill(host);
    world.run(450);
    world.announce_other(host, change);
    world.run(12_000);
    assert_eq!(world.judge.violations, Vec::<String>::new());
    assert_eq!(world.judge.starts.len(), before, "tasks were started again");
}

/// Guards against a deregistration of another worker that takes this one out of use for good.
#[rstest]
fn deregistered_by_other(#[values(1, 2, 3)] seed: u64, #[values("i-stray", "")] id: &str) {
    let mut world = started_world(seed);
    let host = busy_host(&world);
    let before = world.judge.starts.len();
    world.deregister_other(host, id);
    world.run(12_000);
    assert_eq!(world.judge.starts.len(), before, "tasks were started again");
    assert_eq!(world.judge.violations, Vec::<String>::new());
}
