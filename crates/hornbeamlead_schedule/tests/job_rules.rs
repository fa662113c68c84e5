//! Quotas, urgent work, cancelled and infeasible jobs, and workers that fail everything.

mod common;

use common::{World, empty_note, job, name, plans, size};
use hornbeamlead_core::ids::TaskId;
use hornbeamlead_core::note::TeamSpec;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::TaskPhase;
use std::time::Duration;

fn world(seed: u64) -> World {
    World::new(
        seed,
        &plans(&["negombo", "colombo"], 2),
        SchedulePolicy::default(),
    )
}

#[test]
fn infeasible_explained() {
    let mut world = world(11);
    let mut huge = job("huge", 3, Duration::from_secs(2));
    huge.size = size(5_000, 512);
    world.add_jobs("jobs", vec![huge, job("season", 8, Duration::from_secs(2))]);
    let done = world.run_until(Duration::from_secs(40), |world| {
        world.ended("season", TaskPhase::Finished) == 8
    });
    assert!(done, "{:#?}", world.trace);
    world.run(Duration::from_secs(8));
    assert_eq!(world.decisions.get("infeasible"), Some(&2), "once a cell");
    let planner = world.planner(1).expect("a planner");
    let machine = world.hosts[planner].machine.as_ref().expect("an agent");
    let status = machine.status().planning.expect("a planner's status");
    let standing = status
        .jobs
        .iter()
        .find(|standing| standing.job == name("huge"));
    let reason = standing.and_then(|standing| standing.infeasible.as_ref());
    assert!(reason.is_some_and(|reason| reason.contains("can hold")));
}

#[test]
fn quota_kept() {
    let mut world = world(12);
    let mut note = empty_note("team");
    note.added.teams = vec![TeamSpec {
        name: name("small"),
        quota: size(3_000, 1_000_000),
    }];
    world.log.publish(note);
    let mut bounded = job("bounded", 12, Duration::from_secs(2));
    bounded.team = name("small");
    world.add_jobs(
        "jobs",
        vec![bounded, job("season", 8, Duration::from_secs(2))],
    );
    for _ in 0..240 {
        world.run(Duration::from_millis(250));
        let workers = world.hosts.iter().filter_map(|host| host.worker.as_ref());
        let own = workers.flat_map(|worker| worker.running());
        let count = own
            .filter(|task| task.order.attempt.task.job == name("bounded"))
            .count();
        assert!(count <= 3, "{count} tasks of the team run");
    }
    assert_eq!(
        world.ended("bounded", TaskPhase::Finished),
        12,
        "{:#?}",
        world.trace
    );
    assert_eq!(world.ended("season", TaskPhase::Finished), 8);
}

#[test]
fn urgent_goes_first() {
    let mut world = world(13);
    world.add_jobs("jobs", vec![job("season", 200, Duration::from_secs(1))]);
    world.run(Duration::from_secs(8));
    let mut urgent = job("urgent", 1, Duration::from_secs(1));
    urgent.urgent = true;
    let declared = world.now;
    world.add_jobs("urgent", vec![urgent]);
    world.run(Duration::from_secs(5));
    let started = world
        .start_times
        .iter()
        .find(|(attempt, _)| attempt.task.job == name("urgent"));
    let (_, at) = started.expect("it started");
    assert!(*at < declared + 1_600_000, "{} us", at - declared);
}

/// Returns the longest time from declaration to start of twelve urgent tasks, in microseconds.
///
/// All workers are full of other tasks, more wait, and an append takes 50 ms.
fn slowest_urgent_start(run_time: Duration) -> u64 {
    let mut world = world(17);
    world.append_ms = 50;
    let jobs = (0..40).map(|index| {
        let mut spec = job(&format!("season-{index}"), 20, run_time);
        spec.run_time += Duration::from_millis(37 * (index % 7));
        spec
    });
    world.add_jobs("jobs", jobs.collect());
    world.run(Duration::from_secs(10));
    let mut declared = Vec::new();
    for index in 0..12 {
        let mut urgent = job(&format!("urgent-{index}"), 1, Duration::from_millis(500));
        urgent.urgent = true;
        declared.push((urgent.name.clone(), world.now));
        world.add_jobs(&format!("urgent-{index}"), vec![urgent]);
        world.run(Duration::from_secs(2));
    }
    world.run(Duration::from_secs(10));
    let waited = declared.iter().map(|(job, at)| {
        let starts = world.start_times.iter();
        let first = starts
            .filter(|(attempt, _)| attempt.task.job == *job)
            .map(|(_, at)| *at);
        first.min().expect("it started") - at
    });
    waited.max().expect("twelve were declared")
}

#[test]
fn urgent_under_load() {
    for run_time in [2, 30] {
        let slowest = slowest_urgent_start(Duration::from_secs(run_time));
        assert!(
            slowest < 1_600_000,
            "{slowest} us beside tasks of {run_time} s"
        );
    }
}

#[test]
fn cancelled_wave() {
    let mut world = world(14);
    let names: Vec<String> = (0..20).map(|index| format!("wave-{index}")).collect();
    let jobs = names
        .iter()
        .map(|text| job(text, 4, Duration::from_secs(60)));
    world.add_jobs("jobs", jobs.collect());
    world.run(Duration::from_secs(8));
    assert!(world.running() > 0);
    let texts: Vec<&str> = names.iter().map(String::as_str).collect();
    world.withdraw("cancel", &texts);
    world.add_jobs("next", vec![job("season", 8, Duration::from_secs(2))]);
    let done = world.run_until(Duration::from_secs(30), |world| {
        world.ended("season", TaskPhase::Finished) == 8
    });
    assert!(done, "{:#?}", world.trace);
    assert_eq!(world.running(), 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn failing_worker_closed() {
    let mut world = world(15);
    world.hosts[1].worker.as_mut().expect("a worker").fails_all = true;
    world.add_jobs("jobs", vec![job("season", 40, Duration::from_secs(2))]);
    let done = world.run_until(Duration::from_secs(60), |world| {
        world.ended("season", TaskPhase::Finished) == 40
    });
    assert!(done, "{:#?}", world.trace);
    assert!(world.decisions.contains_key("quarantine"));
    let most = (0..40).map(|index| {
        let job = name("season");
        world
            .started
            .get(&TaskId { job, index })
            .copied()
            .unwrap_or(0)
    });
    assert!(most.max() <= Some(3));
}
