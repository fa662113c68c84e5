//! Adaptive concurrency limit, driven by the latency of the endpoint.

use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Answers after which the limit is adjusted.
const ANSWERS_PER_ADJUSTMENT: u32 = 32;

/// Latency above which the limit is lowered, in percent of the baseline.
const MAX_LATENCY_PERCENT: u64 = 300;

/// The limit is lowered to this percentage of its last value.
const LOWERED_TO_PERCENT: u32 = 90;

/// A new sample has a weight of one in this many in the moving average.
const SMOOTHING: u64 = 8;

/// The baseline may rise by one part in this many per adjustment, so that a lasting change is
/// accepted.
const BASELINE_DRIFT: u64 = 16;

/// Idle time after which the average is halved, so that a slow endpoint is tried again.
const IDLE_DECAY_INTERVAL: Duration = Duration::from_secs(2);

/// Thousandths of a slot, the unit of the limit's fraction.
const MILLI_SLOT: u32 = 1000;

/// Average latency of the endpoint and the fraction of its slots that may be used.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    average_us: u64,
    baseline_us: u64,
    fraction_milli: u32,
    answers: u32,
    decay_at: MonoTime,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    pub(super) fn new() -> Self {
        Self {
            average_us: 0,
            baseline_us: 0,
            fraction_milli: MILLI_SLOT,
            answers: 0,
            decay_at: MonoTime::MAX,
        }
    }

    /// Returns how many of `slots` may be used now; at least half of them.
    pub(super) fn allowed(&self, slots: u16) -> u16 {
        let floor = slots.div_ceil(2);
        let limited = u32::from(slots) * self.fraction_milli / MILLI_SLOT;
        u16::try_from(limited).unwrap_or(slots).clamp(floor, slots)
    }

    /// Returns the average latency in microseconds; 0 until there is a sample.
    pub(super) fn service_time_us(&self) -> u32 {
        u32::try_from(self.average_us).unwrap_or(u32::MAX)
    }

    /// Returns the average latency.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_micros(self.average_us)
    }

    /// Records the latency of an answer.
    pub(super) fn record_answer(&mut self, now: MonoTime, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        self.average_us = match self.average_us {
            0 => latency_us,
            average => (average * (SMOOTHING - 1) + latency_us) / SMOOTHING,
        };
        self.decay_at = now.plus(IDLE_DECAY_INTERVAL);
        self.answers += 1;
        if self.answers >= ANSWERS_PER_ADJUSTMENT {
            self.answers = 0;
            self.adjust();
        }
    }

    /// Halves the average of an endpoint that has answered nothing for a while.
    pub(super) fn decay_idle(&mut self, now: MonoTime) {
        if now < self.decay_at {
            return;
        }
        self.average_us = (self.average_us / 2).max(self.baseline_us);
        self.decay_at = now.plus(IDLE_DECAY_INTERVAL);
    }

    fn adjust(&mut self) {
        self.baseline_us = match self.baseline_us {
            0 => self.average_us,
            baseline => (baseline + baseline / BASELINE_DRIFT).min(self.average_us),
        };
        let slow = self.average_us > self.baseline_us * MAX_LATENCY_PERCENT / 100;
        self.fraction_milli = match slow {
            true => self.fraction_milli * LOWERED_TO_PERCENT / 100,
            false => (self.fraction_milli + MILLI_SLOT / 8).min(MILLI_SLOT),
        };
        self.fraction_milli = self.fraction_milli.max(MILLI_SLOT / 2);
    }
}
