//! Throttling of best-effort tasks whose interference takes a serving task over its latency
//! target, which may last for 4 s at most.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::message::RunTraits;
use hornbeamlead_jobs::supervisor::{BestEffortThrottle, ThrottlePolicy};
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

/// Serving task 0, best-effort task 1 with interference, best-effort task 2 without known
/// interference.
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

/// Passes one reading every 300 ms and returns the shares of both best-effort tasks after each.
fn shares(readings: &[u32]) -> Vec<(u8, u8)> {
    let mut throttle = BestEffortThrottle::new(ThrottlePolicy {
        grace_period: Duration::ZERO,
        step: Duration::from_millis(500),
    });
    let mut current = BTreeMap::from([(run(1), 100), (run(2), 100)]);
    let mut shares = Vec::new();
    for (index, &reading) in readings.iter().enumerate() {
        let now = MonoTime(1_000_000 + index as u64 * 300_000);
        let rows = [row(0, reading), row(1, 1800), row(2, 1800)];
        current.extend(throttle.adjust(now, &rows, &traits()));
        shares.push((current[&run(1)], current[&run(2)]));
    }
    shares
}

#[test]
fn low_latency_unthrottled() {
    assert!(shares(&[9; 20]).iter().all(|&shares| shares == (100, 100)));
}

/// A task with interference is throttled immediately, one without known interference is not.
#[test]
fn interfering_throttled_first() {
    let shares = shares(&[9, 9, 40, 40]);
    let (interfering, other) = shares[3];
    assert!(interfering <= 50, "{shares:?}");
    assert_eq!(other, 100, "{shares:?}");
}

/// After 3 s over the target all best-effort tasks are halted, whatever their known interference.
#[test]
fn all_halted_in_time() {
    let shares = shares(&[30; 11]);
    assert_eq!(shares[10], (0, 0), "{shares:?}");
}

/// After a halt, even a task without known interference gets its share back in steps. If it is the
/// cause of the overrun, the full share at once would start another overrun of up to 4 s.
#[test]
fn gradual_release() {
    let mut readings = vec![30; 11];
    readings.extend([9; 4]);
    let shares = shares(&readings);
    let (_, other) = shares[14];
    assert!((1..100).contains(&other), "{shares:?}");
}

/// Serving task 0 at 8 of 18 ms and two best-effort tasks that have just started, each of which
/// requests an eighth of the worker. Returns the shares that the first adjustment sends.
fn first_shares(coefficient_tenths: u8) -> BTreeMap<RunName, u8> {
    let mut throttle = BestEffortThrottle::new(ThrottlePolicy {
        grace_period: Duration::ZERO,
        step: Duration::from_millis(500),
    });
    throttle.set_capacity(16_000);
    let mut traits = traits();
    for index in [1, 2] {
        throttle.note_started(run(index));
        if let Some(traits) = traits.get_mut(&run(index)) {
            traits.cpu = 2000;
            traits.coefficients = Box::new([(0, coefficient_tenths)]);
        }
    }
    let rows = [row(0, 8), row(1, 0), row(2, 0)];
    let changes = throttle.adjust(MonoTime(1_000_000), &rows, &traits);
    changes.into_iter().collect()
}

/// Tasks that are known to interfere start at a share that keeps the serving task below its target;
/// without it, both together would take it to 8 ms * exp(6 * 0.25) = 36 ms.
#[test]
fn known_interference_limited_at_start() {
    let shares = first_shares(60);
    let used: f64 = [1, 2]
        .iter()
        .map(|index| f64::from(shares[&run(*index)]))
        .sum();
    let predicted = 8.0 * (6.0 * 0.125 * used / 100.0).exp();
    assert!(predicted < f64::from(TARGET_MS), "{shares:?}");
    assert!(used > 0.0, "{shares:?}");
}

/// Tasks that are known to be harmless run at full speed from their start.
#[test]
fn harmless_unlimited_at_start() {
    assert_eq!(first_shares(2), BTreeMap::new());
}
