//! Expiry of leases while planner, successor and other hosts are partitioned from each other.

mod common;

use common::{SECOND, SimCluster, host_specs, job};
use hornbeamlead_core::ids::{Epoch, TaskId};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::TaskPhase;
use proptest::prelude::*;
use std::time::Duration;

/// Number of hosts in the cell.
const HOSTS: usize = 5;

/// Number of tasks of the job.
const TASKS: u32 = 12;

fn policy() -> SchedulePolicy {
    SchedulePolicy {
        outage_bound: Duration::from_secs(40),
        ..SchedulePolicy::default()
    }
}

/// Returns a cell with a planner, a named successor and running long tasks.
fn busy_cell(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, &host_specs(&["negombo"], HOSTS), policy());
    cluster.add_jobs("jobs", vec![job("season", TASKS, Duration::from_secs(200))]);
    cluster.run(Duration::from_secs(8));
    assert_eq!(cluster.running(), TASKS as usize);
    cluster
}

fn planner(cluster: &SimCluster) -> usize {
    cluster.planner(1).expect("a planner")
}

fn successor(cluster: &SimCluster) -> usize {
    let state = cluster.cells[&1].state();
    let name = state.successor().expect("a successor").host.clone();
    let mut hosts = 0..HOSTS;
    hosts
        .find(|index| SimCluster::host_name(*index) == name)
        .expect("a host")
}

fn running_on(cluster: &SimCluster, host: usize) -> usize {
    let worker = cluster.hosts[host].worker.as_ref();
    worker.map_or(0, |worker| worker.running().count())
}

fn tasks_on(cluster: &SimCluster, host: usize) -> Vec<TaskId> {
    let worker = cluster.hosts[host].worker.as_ref();
    let running = worker.iter().flat_map(|worker| worker.running());
    running
        .map(|task| task.order.attempt.task.clone())
        .collect()
}

fn heal(cluster: &mut SimCluster) {
    cluster.log_down = false;
    for index in 0..HOSTS {
        let host = &mut cluster.hosts[index];
        host.log_unreachable = false;
        host.partition = 0;
        host.paused_until = 0;
        cluster.return_host(index);
    }
}

/// Planner and successor, partitioned together with a third host, keep its tasks alive by promises
/// alone until the outage bound has passed.
#[test]
fn planner_and_successor_cut() {
    let mut cluster = busy_cell(5);
    let (first, second) = (planner(&cluster), successor(&cluster));
    let apart = |host: &usize| ![first, second].contains(host) && running_on(&cluster, *host) > 0;
    let third = (0..HOSTS).find(apart).expect("third host with tasks");
    let before = running_on(&cluster, third);
    let partitioned_tasks: Vec<TaskId> = [first, second, third]
        .iter()
        .flat_map(|host| tasks_on(&cluster, *host))
        .collect();
    for host in [first, second, third] {
        cluster.hosts[host].partition = 1;
        cluster.hosts[host].log_unreachable = true;
    }
    let partitioned_at = cluster.now;
    cluster.run(Duration::from_secs(35));
    assert_ne!(
        planner(&cluster),
        first,
        "another host must claim the epoch"
    );
    assert!(cluster.cells[&1].state().forced() > Epoch(0));
    assert_eq!(
        running_on(&cluster, third),
        before,
        "tasks were evicted: {:#?}",
        cluster.trace
    );
    cluster.run(Duration::from_secs(60));
    assert_eq!(cluster.violations, Vec::<String>::new());
    // Tasks of reachable hosts may resume as soon as their agents have stopped them; tasks of the
    // partitioned hosts may not.
    let moved: Vec<u64> = cluster
        .start_times
        .iter()
        .filter(|(attempt, _)| attempt.number > 1 && partitioned_tasks.contains(&attempt.task))
        .map(|(_, at)| *at)
        .collect();
    assert!(!moved.is_empty(), "{:#?}", cluster.trace);
    assert!(
        moved.iter().all(|at| *at > partitioned_at + 40 * SECOND),
        "partitioned at {partitioned_at}, moved at {moved:?}"
    );
    heal(&mut cluster);
    let done = cluster.run_until(Duration::from_secs(600), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == TASKS as usize
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// With the log unavailable to all hosts, no task is evicted within the outage bound.
#[test]
fn outage_evicts_nothing() {
    let mut cluster = busy_cell(6);
    cluster.log_down = true;
    cluster.run(Duration::from_secs(35));
    assert_eq!(cluster.running(), TASKS as usize, "{:#?}", cluster.trace);
    cluster.log_down = false;
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.running(), TASKS as usize);
    assert!(cluster.started.values().all(|count| *count == 1));
}

/// If only the planner cannot reach the log, its successor takes over without evicting tasks.
#[test]
fn planner_without_log() {
    let mut cluster = busy_cell(7);
    let first = planner(&cluster);
    cluster.hosts[first].log_unreachable = true;
    cluster.run(Duration::from_secs(30));
    assert_ne!(planner(&cluster), first, "{:#?}", cluster.trace);
    assert_eq!(cluster.running(), TASKS as usize, "{:#?}", cluster.trace);
    assert!(
        cluster.started.values().all(|count| *count == 1),
        "{:#?}",
        cluster.trace
    );
}

/// If the planner's process dies, its successor takes over without evicting tasks.
#[test]
fn successor_adopts() {
    let mut cluster = busy_cell(8);
    let first = planner(&cluster);
    cluster.kill_agent(first);
    cluster.run(Duration::from_secs(4));
    cluster.start_agent(first);
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.running(), TASKS as usize, "{:#?}", cluster.trace);
    assert!(cluster.started.values().all(|count| *count == 1));
}

/// One step of a schedule of partitions, pauses, restarts and outages.
#[derive(Clone, Debug)]
enum FaultAction {
    Partition(u8),
    DisconnectLog(u8),
    LogOutage(bool),
    PausePlanner(u64),
    PauseSuccessor(u64),
    RestartPlanner,
    RestartSuccessor,
    Restart(usize),
    Heal,
}

fn action() -> impl Strategy<Value = FaultAction> {
    prop_oneof![
        (1..31_u8).prop_map(FaultAction::Partition),
        (1..31_u8).prop_map(FaultAction::DisconnectLog),
        any::<bool>().prop_map(FaultAction::LogOutage),
        (1..30_u64).prop_map(FaultAction::PausePlanner),
        (1..30_u64).prop_map(FaultAction::PauseSuccessor),
        Just(FaultAction::RestartPlanner),
        Just(FaultAction::RestartSuccessor),
        (0..HOSTS).prop_map(FaultAction::Restart),
        Just(FaultAction::Heal),
    ]
}

fn apply(cluster: &mut SimCluster, action: &FaultAction) {
    let (first, second) = (
        planner(cluster),
        cluster.cells[&1]
            .state()
            .successor()
            .map(|_| successor(cluster)),
    );
    match action {
        FaultAction::Partition(bits) => {
            for (index, host) in cluster.hosts.iter_mut().enumerate() {
                host.partition = bits >> index & 1;
                host.log_unreachable = host.partition == 1;
            }
        }
        FaultAction::DisconnectLog(bits) => {
            for (index, host) in cluster.hosts.iter_mut().enumerate() {
                host.log_unreachable = bits >> index & 1 == 1;
            }
        }
        FaultAction::LogOutage(down) => cluster.log_down = *down,
        FaultAction::PausePlanner(seconds) => {
            cluster.hosts[first].paused_until = cluster.now + seconds * SECOND;
        }
        FaultAction::PauseSuccessor(seconds) => {
            if let Some(host) = second {
                cluster.hosts[host].paused_until = cluster.now + seconds * SECOND;
            }
        }
        FaultAction::RestartPlanner => cluster.start_agent(first),
        FaultAction::RestartSuccessor => second
            .into_iter()
            .for_each(|host| cluster.start_agent(host)),
        FaultAction::Restart(host) => cluster.start_agent(*host),
        FaultAction::Heal => heal(cluster),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 40, ..ProptestConfig::default() })]

    #[test]
    fn partitions_and_pauses(
        seed in any::<u64>(),
        actions in prop::collection::vec((action(), 500..20_000_u64), 3..12),
    ) {
        let mut cluster = busy_cell(seed);
        for (action, millis) in &actions {
            apply(&mut cluster, action);
            cluster.run(Duration::from_millis(*millis));
            cluster.check_workers();
        }
        heal(&mut cluster);
        cluster.run(Duration::from_secs(60));
        prop_assert_eq!(&cluster.violations, &Vec::<String>::new(), "{:#?}", cluster.trace);
        let done = cluster.run_until(Duration::from_secs(900), |cluster| {
            cluster.ended("season", TaskPhase::Finished) == TASKS as usize
        });
        prop_assert!(done, "not all ended: {:#?}", cluster.trace);
    }
}
