//! Real entry and agent processes on an emulated platform with injected faults.

use hornbeamlead_emulator::soak::{SoakKind, SoakPlan, run_soak};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Short soaks with fixed seeds. A seed that has failed is kept, with its cause beside it.
#[rstest]
fn guarantees_hold(#[values(1, 2)] seed: u64) {
    let directory = tempfile::tempdir().expect("a directory");
    let plan = SoakPlan {
        kind: SoakKind::Faults,
        seed,
        hosts: 4,
        entries: 2,
        span: Duration::from_secs(8),
        daemon: env!("CARGO_BIN_EXE_hornbeamd").into(),
        directory: directory.path().into(),
        stop: Arc::default(),
    };
    let report = run_soak(&plan).expect("the soak ran");
    if !report.violations.is_empty() {
        let kept = directory.keep();
        panic!("{:#?}\nlogs in {}", report.violations, kept.display());
    }
    assert!(report.accepted > 0 && report.starts > 0, "{report:?}");
}
