//! What is known of the crash of a worker, as the plan's records tell it.

use crate::ids::RunName;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Moment at which workers crashed: those that crash together share one. Moments are numbered in order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CrashMoment(pub u32);

impl CrashMoment {
    /// Returns the moment that follows.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for CrashMoment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Bounds of the time for which an attempt had run when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAge {
    /// Time in milliseconds for which the attempt was seen running.
    pub least_ms: u32,
    /// Time in milliseconds from its order to the report of the crash; absent if the order was sent
    /// by an earlier planner and the worker's agent does not know when either.
    pub most_ms: Option<u32>,
}

/// Rate at which a worker crashes, in crashes per million seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRate(u32);

impl CrashRate {
    const SCALE: f64 = 1e6;

    /// Returns the rate for a number of crashes per second.
    #[must_use]
    pub fn per_second(crashes: f64) -> Self {
        Self((crashes * Self::SCALE).round() as u32)
    }

    /// Returns the chance that a worker crashes within a time.
    #[must_use]
    pub fn chance_within(self, span: Duration) -> f64 {
        1.0 - (-f64::from(self.0) / Self::SCALE * span.as_secs_f64()).exp()
    }
}

impl fmt::Display for CrashRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6}/s", f64::from(self.0) / Self::SCALE)
    }
}

/// Share of the moments at which workers crashed without a task after which others crashed as long after
/// as under the task, in millionths. It is high if workers crash at regular intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRecurrence(u32);

impl CrashRecurrence {
    const SCALE: f64 = 1e6;

    /// Returns the share for a number of moments, of which `repeated` were followed by others. One more of
    /// both is counted, so that nothing is concluded from few moments.
    #[must_use]
    pub fn new(moments: usize, repeated: usize) -> Self {
        let share = (repeated.min(moments) + 1) as f64 / (moments + 1) as f64;
        Self((share * Self::SCALE).round() as u32)
    }

    pub(super) fn share(self) -> f64 {
        f64::from(self.0) / Self::SCALE
    }
}

impl fmt::Display for CrashRecurrence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.share())
    }
}

/// Attempt that was on a worker when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedAttempt {
    /// Attempt that was lost.
    pub run: RunName,
    /// Time for which it had run.
    pub age: CrashAge,
    /// Rate at which its worker crashed without the task.
    pub rate: CrashRate,
    /// Whether workers crashed without the task at such intervals.
    pub recurrence: CrashRecurrence,
    /// Number of hosts whose workers were as likely to crash by themselves.
    pub peers: u16,
}
