//! Clock readings passed to the state machines, which read no clock themselves.

use std::time::Duration;

/// Reading of one host's monotonic clock, in microseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Latest reading; means "no deadline".
    pub const MAX: Self = Self(u64::MAX);

    /// Adds a duration, saturating at [`Self::MAX`].
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Subtracts a duration, saturating at zero.
    #[must_use]
    pub fn minus(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::fmt::Display for MonoTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Wall-clock reading, in milliseconds since the Unix epoch.
///
/// Used only for job deadlines and for the times of logged decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the duration until `later`, or zero if `later` has passed.
    #[must_use]
    pub fn until(self, later: Self) -> Duration {
        Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl std::fmt::Display for WallTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Readings of both clocks, taken together by the driver of a state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock of the host.
    pub mono: MonoTime,
    /// Wall clock of the host.
    pub wall: WallTime,
}
