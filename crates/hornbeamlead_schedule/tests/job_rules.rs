//! Quotas, urgent jobs, withdrawn and infeasible jobs, and workers that fail every task.

mod common;

use common::{SimCluster, empty_note, host_specs, job, name, size};
use hornbeamlead_core::ids::TaskId;
use hornbeamlead_core::note::TeamSpec;
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::task::TaskPhase;
use std::time::Duration;

fn cluster(seed: u64) -> SimCluster {
    SimCluster::new(
        seed,
        &host_specs(&["negombo", "colombo"], 2),
        SchedulePolicy::default(),
    )
}

#[test]
fn infeasible_explained() {
    let mut cluster = cluster(11);
    let mut huge = job("huge", 3, Duration::from_secs(2));
    huge.size = size(5_000, 512);
    cluster.add_jobs("jobs", vec![huge, job("season", 8, Duration::from_secs(2))]);
    let done = cluster.run_until(Duration::from_secs(40), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 8
    });
    assert!(done, "{:#?}", cluster.trace);
    cluster.run(Duration::from_secs(8));
    assert_eq!(
        cluster.decisions.get("infeasible"),
        Some(&2),
        "one decision per cell"
    );
    let planner = cluster.planner(1).expect("a planner");
    let machine = cluster.hosts[planner].machine.as_ref().expect("an agent");
    let status = machine.status().planning.expect("a planner's status");
    let summary = status
        .jobs
        .iter()
        .find(|summary| summary.job == name("huge"));
    let reason = summary.and_then(|summary| summary.infeasible.as_ref());
    assert!(reason.is_some_and(|reason| reason.contains("can hold")));
}

#[test]
fn quota_kept() {
    let mut cluster = cluster(12);
    let mut note = empty_note("team");
    note.added.teams = vec![TeamSpec {
        name: name("small"),
        quota: size(3_000, 1_000_000),
    }];
    cluster.log.publish(note);
    let mut bounded = job("bounded", 12, Duration::from_secs(2));
    bounded.team = name("small");
    cluster.add_jobs(
        "jobs",
        vec![bounded, job("season", 8, Duration::from_secs(2))],
    );
    for _ in 0..240 {
        cluster.run(Duration::from_millis(250));
        let workers = cluster.hosts.iter().filter_map(|host| host.worker.as_ref());
        let own = workers.flat_map(|worker| worker.running());
        let count = own
            .filter(|task| task.order.attempt.task.job == name("bounded"))
            .count();
        assert!(count <= 3, "{count} tasks of the team are running");
    }
    assert_eq!(
        cluster.ended("bounded", TaskPhase::Finished),
        12,
        "{:#?}",
        cluster.trace
    );
    assert_eq!(cluster.ended("season", TaskPhase::Finished), 8);
}

#[test]
fn urgent_goes_first() {
    let mut cluster = cluster(13);
    cluster.add_jobs("jobs", vec![job("season", 200, Duration::from_secs(1))]);
    cluster.run(Duration::from_secs(8));
    let mut urgent = job("urgent", 1, Duration::from_secs(1));
    urgent.urgent = true;
    let declared = cluster.now;
    cluster.add_jobs("urgent", vec![urgent]);
    cluster.run(Duration::from_secs(5));
    let started = cluster
        .start_times
        .iter()
        .find(|(attempt, _)| attempt.task.job == name("urgent"));
    let (_, at) = started.expect("started task");
    assert!(*at < declared + 1_600_000, "{} us", at - declared);
}

/// Returns the longest time from declaration to start of twelve urgent tasks, in microseconds.
///
/// All workers are full of other tasks, further tasks wait, and an append takes 50 ms.
fn slowest_urgent_start(run_time: Duration) -> u64 {
    let mut cluster = cluster(17);
    cluster.append_ms = 50;
    let jobs = (0..40).map(|index| {
        let mut spec = job(&format!("season-{index}"), 20, run_time);
        spec.run_time += Duration::from_millis(37 * (index % 7));
        spec
    });
    cluster.add_jobs("jobs", jobs.collect());
    cluster.run(Duration::from_secs(10));
    let mut declared = Vec::new();
    for index in 0..12 {
        let mut urgent = job(&format!("urgent-{index}"), 1, Duration::from_millis(500));
        urgent.urgent = true;
        declared.push((urgent.name.clone(), cluster.now));
        cluster.add_jobs(&format!("urgent-{index}"), vec![urgent]);
        cluster.run(Duration::from_secs(2));
    }
    cluster.run(Duration::from_secs(10));
    let waited = declared.iter().map(|(job, at)| {
        let starts = cluster.start_times.iter();
        let first = starts
            .filter(|(attempt, _)| attempt.task.job == *job)
            .map(|(_, at)| *at);
        first.min().expect("started task") - at
    });
    waited.max().expect("at least one urgent task")
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
fn withdrawn_jobs_stop() {
    let mut cluster = cluster(14);
    let names: Vec<String> = (0..20).map(|index| format!("wave-{index}")).collect();
    let jobs = names
        .iter()
        .map(|text| job(text, 4, Duration::from_secs(60)));
    cluster.add_jobs("jobs", jobs.collect());
    cluster.run(Duration::from_secs(8));
    assert!(cluster.running() > 0);
    let texts: Vec<&str> = names.iter().map(String::as_str).collect();
    cluster.withdraw("cancel", &texts);
    cluster.add_jobs("next", vec![job("season", 8, Duration::from_secs(2))]);
    let done = cluster.run_until(Duration::from_secs(30), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 8
    });
    assert!(done, "{:#?}", cluster.trace);
    assert_eq!(cluster.running(), 0);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn failing_worker_quarantined() {
    let mut cluster = cluster(15);
    cluster.hosts[1]
        .worker
        .as_mut()
        .expect("a worker")
        .fails_all = true;
    cluster.add_jobs("jobs", vec![job("season", 40, Duration::from_secs(2))]);
    let done = cluster.run_until(Duration::from_secs(60), |cluster| {
        cluster.ended("season", TaskPhase::Finished) == 40
    });
    assert!(done, "{:#?}", cluster.trace);
    assert!(cluster.decisions.contains_key("quarantine"));
    let start_counts = (0..40).map(|index| {
        let job = name("season");
        cluster
            .started
            .get(&TaskId { job, index })
            .copied()
            .unwrap_or(0)
    });
    assert!(start_counts.max() <= Some(3));
}
