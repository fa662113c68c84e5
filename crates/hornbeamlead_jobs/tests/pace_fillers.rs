//! Pattern: fillers press on a serving task that may not be disturbed for 4 s on end.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::keeper::{FillerThrottle, ThrottlePolicy};
use hornbeamlead_jobs::message::RunTraits;
use hornbeamlead_jobs::worker::RunningRow;
use std::collections::BTreeMap;
use std::time::Duration;

const TARGET_MS: u32 = 18;

fn run(index: u32) -> RunName {
    let mut name = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    name.task.index = index;
    name
}

fn row(index: u32, reading: u32) -> RunningRow {
    RunningRow {
        run: run(index),
        saved: None,
        percent: 50,
        reading,
    }
}

/// Serving task 0, pressing filler 1, filler 2 that is believed harmless.
fn traits() -> BTreeMap<RunName, RunTraits> {
    let best_effort = |interference_percent| RunTraits {
        best_effort: true,
        interference_percent,
        ..RunTraits::default()
    };
    let serving = RunTraits {
        target_ms: TARGET_MS,
        long_running: true,
        ..RunTraits::default()
    };
    BTreeMap::from([
        (run(0), serving),
        (run(1), best_effort(100)),
        (run(2), best_effort(0)),
    ])
}

/// Feeds one reading each 300 ms and returns the shares of both fillers at each time.
fn shares(readings: &[u32]) -> Vec<(u8, u8)> {
    let mut book = FillerThrottle::new(ThrottlePolicy {
        grace_period: Duration::ZERO,
        step: Duration::from_millis(500),
    });
    let mut told = BTreeMap::from([(run(1), 100), (run(2), 100)]);
    let mut shares = Vec::new();
    for (index, &reading) in readings.iter().enumerate() {
        let now = MonoTime(1_000_000 + index as u64 * 300_000);
        let rows = [row(0, reading), row(1, 1800), row(2, 1800)];
        told.extend(book.adjust(now, &rows, &traits()));
        shares.push((told[&run(1)], told[&run(2)]));
    }
    shares
}

#[test]
fn calm_leaves_fillers() {
    assert!(shares(&[9; 20]).iter().all(|&shares| shares == (100, 100)));
}

/// Only what presses is slowed at first, and at once.
#[test]
fn pressing_slowed_first() {
    let shares = shares(&[9, 9, 40, 40]);
    let (pressing, harmless) = shares[3];
    assert!(pressing <= 50, "{shares:?}");
    assert_eq!(harmless, 100, "{shares:?}");
}

/// A task may be over its target for 4 s; whatever is believed, nothing fills beside it after 3.
#[test]
fn all_halt_in_time() {
    let shares = shares(&[30; 11]);
    assert_eq!(shares[10], (0, 0), "{shares:?}");
}

/// A filler that a halt has shown to matter does not get all back at once: the next overrun would
/// begin a full 4 s anew.
#[test]
fn doubt_fades_slowly() {
    let mut readings = vec![30; 11];
    readings.extend([9; 4]);
    let shares = shares(&readings);
    let (_, harmless) = shares[14];
    assert!((1..100).contains(&harmless), "{shares:?}");
}
