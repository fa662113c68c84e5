//! Drains while start commands are late and agents hear of no note: no start beyond the bound.

mod common;

use common::{FaultRates, World, job, plans};
use hornbeamlead_core::policy::SchedulePolicy;
use std::time::Duration;

#[test]
fn late_starts_refused() {
    let policy = SchedulePolicy {
        start_bound: Duration::from_millis(1_000),
        ..SchedulePolicy::default()
    };
    let mut world = World::new(21, &plans(&["negombo"], 4), policy);
    world.add_jobs(
        "jobs",
        vec![job("season", 4_000, Duration::from_millis(300))],
    );
    world.run(Duration::from_secs(6));
    world.notes_blocked = true;
    world.rates = FaultRates {
        delay: 90,
        ..FaultRates::default()
    };
    for round in 0..12 {
        world.run(Duration::from_secs(3));
        world.set_service(&format!("out-{round}"), "negombo", false);
        world.run(Duration::from_secs(5));
        world.set_service(&format!("in-{round}"), "negombo", true);
    }
    assert!(world.started.len() > 100, "{}", world.started.len());
    assert_eq!(world.violations, Vec::<String>::new());
}
