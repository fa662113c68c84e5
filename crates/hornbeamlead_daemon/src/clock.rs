//! Reads the clocks of the host for the decisions.

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::ids::Incarnation;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clocks of the process.
///
/// The monotonic clock counts from the start of the process and is `CLOCK_MONOTONIC`: it stands
/// still while the host is suspended. A suspended host therefore believes in its leases for longer
/// than the rest of the fleet does; its worker shares the clock and errs alike. Hosts that may be
/// suspended are to be taken out of service first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Starts the monotonic clock.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Reads both clocks.
    pub(crate) fn read(&self) -> ClockReading {
        ClockReading {
            mono: self.mono(),
            wall: WallTime(millis(since_epoch())),
        }
    }

    /// Reads the monotonic clock.
    pub(crate) fn mono(&self) -> MonoTime {
        MonoTime(micros(self.start.elapsed()))
    }

    /// Returns the span until a reading, zero if that is past.
    pub(crate) fn until(&self, time: MonoTime) -> Duration {
        time.since(self.mono())
    }
}

/// Clocks of a process whose host may be suspended.
///
/// Counts `CLOCK_BOOTTIME`: unlike the monotonic clock it goes on while the host is suspended, so
/// a lease or an order does not outlive a suspension.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BootClock;

impl BootClock {
    /// Reads both clocks.
    pub(crate) fn read(self) -> ClockReading {
        ClockReading {
            mono: self.mono(),
            wall: WallTime(millis(since_epoch())),
        }
    }

    /// Reads the clock that counts suspensions.
    pub(crate) fn mono(self) -> MonoTime {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        MonoTime(seconds * 1_000_000 + nanos / 1000)
    }
}

/// Returns the life of a process that starts now: wall-clock microseconds.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(micros(since_epoch()))
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
