//! Jobs run to their end on an undisturbed cell.

mod common;

use common::{World, job, name, plans};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::TaskPhase;
use std::time::Duration;

#[test]
fn tasks_finish() {
    let mut world = World::new(1, &plans(&["negombo"], 3), SchedulePolicy::default());
    world.run(Duration::from_secs(5));
    let planners = (0..3).filter(|index| {
        let machine = world.hosts[*index].machine.as_ref();
        machine.is_some_and(|machine| machine.status().planning.is_some())
    });
    assert_eq!(planners.count(), 1);
    world.add_jobs("jobs", vec![job("season", 20, Duration::from_secs(3))]);
    let done = world.run_until(Duration::from_secs(30), |world| {
        world.ended("season", TaskPhase::Finished) == 20
    });
    assert!(done, "{:#?}", world.trace);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.started.values().all(|count| *count == 1));
}

#[test]
fn drain_stops_starts() {
    let mut world = World::new(2, &plans(&["negombo"], 3), SchedulePolicy::default());
    world.add_jobs("jobs", vec![job("season", 60, Duration::from_secs(4))]);
    world.run(Duration::from_secs(8));
    assert!(world.running() > 0);
    world.set_service("out", "negombo", false);
    world.run(Duration::from_secs(4));
    let started: u32 = world.started.values().sum();
    assert_eq!(world.running(), 0, "{:#?}", world.trace);
    world.run(Duration::from_secs(20));
    assert_eq!(world.started.values().sum::<u32>(), started);
    world.set_service("in", "negombo", true);
    let done = world.run_until(Duration::from_secs(60), |world| {
        world.ended("season", TaskPhase::Finished) == 60
    });
    assert!(done, "{:#?}", world.trace);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn moves_between_centres() {
    let centres = ["negombo", "colombo"];
    let mut world = World::new(3, &plans(&centres, 3), SchedulePolicy::default());
    world.add_jobs("jobs", vec![job("season", 12, Duration::from_secs(12))]);
    world.run(Duration::from_secs(10));
    assert!(world.running_in("negombo") > 0, "{:#?}", world.trace);
    world.set_service("out", "negombo", false);
    let done = world.run_until(Duration::from_secs(60), |world| {
        world.ended("season", TaskPhase::Finished) == 12
    });
    assert!(done, "{:#?}", world.trace);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.started.values().all(|count| *count <= 2));
    let job = world.jobs.state().jobs().get(&name("season"));
    assert_eq!(job.map(std::collections::BTreeMap::len), Some(12));
}
