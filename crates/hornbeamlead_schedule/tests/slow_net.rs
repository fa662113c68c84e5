//! No start happens later than the bound after a drain, even if start commands are delayed and
//! notes are not forwarded to agents.

mod common;

use common::{FaultRates, SimCluster, host_specs, job};
use hornbeamlead_core::policy::SchedulePolicy;
use std::time::Duration;

#[test]
fn late_starts_refused() {
    let policy = SchedulePolicy {
        start_bound: Duration::from_millis(1_000),
        ..SchedulePolicy::default()
    };
    let mut cluster = SimCluster::new(21, &host_specs(&["negombo"], 4), policy);
    cluster.add_jobs(
        "jobs",
        vec![job("season", 4_000, Duration::from_millis(300))],
    );
    cluster.run(Duration::from_secs(6));
    cluster.notes_blocked = true;
    cluster.rates = FaultRates {
        delay: 90,
        ..FaultRates::default()
    };
    for round in 0..12 {
        cluster.run(Duration::from_secs(3));
        cluster.set_service(&format!("out-{round}"), "negombo", false);
        cluster.run(Duration::from_secs(5));
        cluster.set_service(&format!("in-{round}"), "negombo", true);
    }
    assert!(cluster.started.len() > 100, "{}", cluster.started.len());
    assert_eq!(cluster.violations, Vec::<String>::new());
}
