//! Jobs run to completion without faults, also across a drain.

mod common;

use common::{SimCluster, host_specs, job, name};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::TaskPhase;
use std::time::Duration;

#[test]
fn tasks_finish() {
    let mut cluster = SimCluster::new(1, &host_specs(&["negombo"], 3), SchedulePolicy::default());
    cluster.run(Duration::from_secs(5));
    let planners = (0..3).filter(|index| {
        let machine = cluster.hosts[*index].machine.as_ref();
        machine.is_some_and(|machine| machine.status().planning.is_some())
    });
    assert_eq!(planners.count(), 1);
    cluster.add_jobs("jobs", vec![job("season", 20, Duration::from_secs(3))]);
    let done = cluster.run_until(Duration::from_secs(30), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 20
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert!(cluster.started.values().all(|count| *count == 1));
}

#[test]
fn drain_stops_starts() {
    let mut cluster = SimCluster::new(2, &host_specs(&["negombo"], 3), SchedulePolicy::default());
    cluster.add_jobs("jobs", vec![job("season", 60, Duration::from_secs(4))]);
    cluster.run(Duration::from_secs(8));
    assert!(cluster.running() > 0);
    cluster.set_service("out", "negombo", false);
    cluster.run(Duration::from_secs(4));
    let started: u32 = cluster.started.values().sum();
    assert_eq!(cluster.running(), 0, "{:#?}", cluster.trace);
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.started.values().sum::<u32>(), started);
    cluster.set_service("in", "negombo", true);
    let done = cluster.run_until(Duration::from_secs(60), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 60
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn moves_between_centres() {
    let centres = ["negombo", "colombo"];
    let mut cluster = SimCluster::new(3, &host_specs(&centres, 3), SchedulePolicy::default());
    cluster.add_jobs("jobs", vec![job("season", 12, Duration::from_secs(12))]);
    cluster.run(Duration::from_secs(10));
    assert!(cluster.running_in("negombo") > 0, "{:#?}", cluster.trace);
    cluster.set_service("out", "negombo", false);
    let done = cluster.run_until(Duration::from_secs(60), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 12
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert!(cluster.started.values().all(|count| *count <= 2));
    let job = cluster.jobs.state().jobs().get(&name("season"));
    assert_eq!(job.map(std::collections::BTreeMap::len), Some(12));
}
