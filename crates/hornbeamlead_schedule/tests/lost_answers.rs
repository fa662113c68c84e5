//! Answers of the log and of workers that never reach the agent hold work up for some seconds only.

mod common;

use common::{SimCluster, host_specs, job};
use hornbeamlead_core::policy::SchedulePolicy;
use rstest::rstest;
use std::time::Duration;

const TASKS: u32 = 40;

/// Guards against polls and reports that wait forever for an answer that was dropped, as when the ring
/// to the decision thread is full.
#[rstest]
fn polls_repeated(#[values(1, 2, 3)] seed: u64, #[values(0, 1)] from_host: usize) {
    let specs = host_specs(&["negombo"], 4);
    let mut cluster = SimCluster::new(seed, &specs, SchedulePolicy::default());
    cluster.run(Duration::from_secs(6));
    for host in &mut cluster.hosts[from_host..] {
        host.answers_lost = true;
    }
    cluster.run(Duration::from_secs(3));
    for host in &mut cluster.hosts {
        host.answers_lost = false;
    }
    let jobs = vec![job("season", TASKS, Duration::from_millis(300))];
    cluster.add_jobs("jobs", jobs);
    let all_ended = |cluster: &SimCluster| cluster.all_ended("season") == TASKS as usize;
    let ended = cluster.run_until(Duration::from_secs(60), all_ended);
    assert!(ended, "{} tasks ended", cluster.all_ended("season"));
    assert_eq!(cluster.violations, Vec::<String>::new());
}
