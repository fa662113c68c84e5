//! When refused callers may return: four returns outlast an outage, and do not come as one wave.

use hornbeamlead_jobs::entry::return_time::{ReturnFacts, return_after_s};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns of a caller after its first attempt.
const RETURNS: usize = 4;

fn after(outage_ms: u64, wait_ms: u64, priority: u8, random: f64) -> u32 {
    return_after_s(ReturnFacts {
        outage: Duration::from_millis(outage_ms),
        wait: Duration::from_millis(wait_ms),
        priority,
        random,
    })
}

/// Returns when a caller comes that is refused from `start_ms` of an outage on until its end, if it
/// comes after the end at all.
fn return_ms(start_ms: u64, outage_ms: u64, random: &mut SmallRng) -> Option<u64> {
    let mut at = start_ms;
    for _ in 0..RETURNS {
        at += u64::from(after(at, 0, 0, random.random())) * 1000;
        if at >= outage_ms {
            return Some(at);
        }
    }
    None
}

/// Every caller of an outage of 10 s is served after it, and no second sees more than a third of
/// them; constant returns after 1 s lose those of the first 6 s.
#[test]
fn outage_outlasted() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut seconds = BTreeMap::<u64, u64>::new();
    for start_ms in (0..10_000).step_by(5) {
        let at = return_ms(start_ms, 10_000, &mut random);
        let at = at.expect("the caller outlasts the outage");
        *seconds.entry(at / 1000).or_default() += 1;
    }
    let most = seconds.values().max().copied().unwrap_or(0);
    assert!(most <= 2000 / 3, "{seconds:?}");
}

/// Callers that were all refused at one moment return spread over some seconds.
#[test]
fn no_wave() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut seconds = BTreeMap::<u32, u32>::new();
    for _ in 0..1000 {
        let second = after(5000, 0, 0, random.random());
        *seconds.entry(second).or_default() += 1;
    }
    let most = seconds.values().max().copied().unwrap_or(0);
    assert!(seconds.len() >= 3 && most <= 500, "{seconds:?}");
}

#[test]
fn urgent_earlier() {
    for outage_ms in [0, 1000, 4000] {
        for random in [0.0, 0.5, 1.0] {
            let times: Vec<_> = (0..4).map(|it| after(outage_ms, 0, it, random)).collect();
            assert!(times.is_sorted() && times[0] <= times[3], "{times:?}");
        }
    }
    assert!(after(4000, 0, 0, 0.5) < after(4000, 0, 3, 0.5));
}

/// A short failure costs a second, and nobody is sent away for long.
#[test]
fn bounded() {
    assert_eq!(after(0, 0, 0, 0.0), 1);
    assert_eq!(after(600_000, 600_000, 9, 1.0), 8);
    assert!(after(0, 3000, 0, 0.0) > after(0, 0, 0, 0.0));
}
