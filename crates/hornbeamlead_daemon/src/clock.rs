//! Clocks of the host, read by the threads and passed to the state machines.

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::ids::Incarnation;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall clock and monotonic clock.
///
/// The monotonic clock counts from the start of the process and is `CLOCK_MONOTONIC`: it does not
/// advance while the host is suspended. After a suspension a host therefore treats its leases as
/// valid for longer than the rest of the fleet does; its worker shares the clock and the error.
/// Take a host out of service before it is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Starts the monotonic clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn read(&self) -> ClockReading {
        ClockReading {
            mono: self.mono(),
            wall: WallTime(millis(since_epoch())),
        }
    }

    pub(crate) fn mono(&self) -> MonoTime {
        MonoTime(micros(self.start.elapsed()))
    }

    /// Returns the duration until `time`, zero if it has passed.
    pub(crate) fn until(&self, time: MonoTime) -> Duration {
        time.since(self.mono())
    }
}

/// Wall clock and boot-time clock, for a process whose host may be suspended.
///
/// `CLOCK_BOOTTIME`, unlike the monotonic clock, advances while the host is suspended, so no lease
/// or worker call outlives a suspension.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BootClock;

impl BootClock {
    pub(crate) fn read(self) -> ClockReading {
        ClockReading {
            mono: self.mono(),
            wall: WallTime(millis(since_epoch())),
        }
    }

    /// Reads the boot-time clock.
    pub(crate) fn mono(self) -> MonoTime {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        MonoTime(seconds * 1_000_000 + nanos / 1000)
    }
}

/// Returns the incarnation of a process that starts now: the wall-clock time in microseconds.
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
