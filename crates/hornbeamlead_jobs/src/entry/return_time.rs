//! When a caller whose job was refused may return.

use std::time::Duration;

/// Share of an outage's age by which the time to return grows. Four returns of a caller that was
/// refused when an outage began cover 10 s.
const AGE_SHARE: f64 = 0.75;

/// Most that the random part adds, as a share of the time.
const RANDOM_SHARE: f64 = 0.5;

/// What each step of priority adds, as a share of the time.
const PRIORITY_SHARE: f64 = 0.25;

/// Priority from which on jobs return equally late.
const LOWEST_PRIORITY: u8 = 4;

/// Bounds of the time to return, in seconds.
const MIN_RETURN_S: f64 = 1.0;
const MAX_RETURN_S: f64 = 8.0;

/// What is known when a job is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReturnFacts {
    /// Time for which the store has been unavailable.
    pub outage: Duration,
    /// Time until the queue has room for the job, if the load report tells that it has none.
    pub wait: Duration,
    /// Priority of the job; 0 is the highest.
    pub priority: u8,
    /// Random number from 0 to 1.
    pub random: f64,
}

/// Returns the seconds after which a refused caller may return. Urgent callers return earlier; the
/// random part keeps those that were refused together from returning together.
#[must_use]
pub fn return_after_s(facts: ReturnFacts) -> u32 {
    let priority = f64::from(facts.priority.min(LOWEST_PRIORITY));
    let base = MIN_RETURN_S + AGE_SHARE * facts.outage.as_secs_f64() + facts.wait.as_secs_f64();
    let spread = 1.0 + RANDOM_SHARE * facts.random.clamp(0.0, 1.0);
    let seconds = base * spread * (1.0 + PRIORITY_SHARE * priority);
    seconds.round().clamp(MIN_RETURN_S, MAX_RETURN_S) as u32
}
