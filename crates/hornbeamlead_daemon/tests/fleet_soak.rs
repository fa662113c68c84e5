//! Real entry and agent processes on an emulated platform with injected faults.

use hornbeamlead_emulator::soak::{CALLERS, SoakKind, SoakPlan, run_soak};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Short soaks with fixed seeds. A seed that has failed is kept, with its cause beside it.
#[rstest]
#[case::faults_1(SoakKind::Faults, 1, 4, 8)]
#[case::faults_2(SoakKind::Faults, 2, 4, 8)]
// On a starved machine, emulated workers kept attempts whose lease had lapsed.
#[case::faults_34013(SoakKind::Faults, 34013, 5, 12)]
#[case::deadly(SoakKind::Deadly, 1, 5, 8)]
#[case::removals(SoakKind::Removals(1), 1, 6, 6)]
#[case::stops(SoakKind::Stops(1), 1, 4, 4)]
#[case::outage(SoakKind::Outage(Duration::from_secs(20)), 1, 4, 4)]
// Tasks ran twice on workers that had started again under their ids before their first heartbeat.
#[case::lives(SoakKind::Lives, 1, 4, 8)]
// A heartbeat of another writer ended the life of a worker in the system's eyes.
#[case::foreign(SoakKind::Foreign, 2, 4, 8)]
// An entry that did not know a job yet acknowledged its cancellation, and the job ran.
#[case::cancels(SoakKind::Cancels, 3, 4, 8)]
// All three causes at once, with series of signals.
#[case::mixed(SoakKind::Mixed, 2, 4, 8)]
// A schedule that had been due for hours kept the planner from all other work.
#[case::backlogs(SoakKind::Backlogs, 1, 4, 8)]
// Clients that never finished what they sent took all memory or all connections of a process.
#[case::crowds(SoakKind::Crowds, 1, 4, 8)]
fn guarantees_hold(
    #[case] kind: SoakKind,
    #[case] seed: u64,
    #[case] hosts: usize,
    #[case] span_s: u64,
) {
    let directory = tempfile::tempdir().expect("a directory");
    let plan = SoakPlan {
        kind,
        seed,
        hosts,
        entries: 2,
        callers: CALLERS,
        span: Duration::from_secs(span_s),
        daemon: env!("CARGO_BIN_EXE_hornbeamd").into(),
        directory: directory.path().into(),
        stop: Arc::default(),
    };
    let report = run_soak(&plan).expect("the soak ran");
    if !report.violations.is_empty() {
        let kept = directory.keep();
        panic!("{report:#?}\nlogs in {}", kept.display());
    }
    assert!(report.accepted > 0 && report.starts > 0, "{report:?}");
}
