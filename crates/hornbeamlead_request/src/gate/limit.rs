//! Concurrency limit that follows the endpoint's answer times.

use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Answers after which the limit is set anew.
const ANSWERS_PER_STEP: u32 = 32;

/// Answer time, in percent of the best, above which the limit is lowered.
const SLOW_PERCENT: u64 = 300;

/// Part by which the limit is lowered, in percent.
const LOWERED_TO_PERCENT: u32 = 90;

/// Weight of the newest answer in the typical time: one part in this many.
const SMOOTHING: u64 = 8;

/// Part by which the best time is raised a step, so that a lasting change is accepted.
const BEST_DRIFT: u64 = 16;

/// Idle time after which the typical time is halved, so that a slow worker is tried again.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// Limit scale: thousandths of a slot.
const MILLI_SLOT: u32 = 1000;

/// Typical answer time of the endpoint and the slots that may be used.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    typical_us: u64,
    best_us: u64,
    lowered_milli: u32,
    answers: u32,
    forget_at: MonoTime,
}

impl ConcurrencyLimit {
    /// Makes a limit that allows all slots.
    pub(super) fn new() -> Self {
        Self {
            typical_us: 0,
            best_us: 0,
            lowered_milli: MILLI_SLOT,
            answers: 0,
            forget_at: MonoTime::MAX,
        }
    }

    /// Returns the slots out of `slots` that may be used now; at least half of them.
    pub(super) fn allowed(&self, slots: u16) -> u16 {
        let floor = slots.div_ceil(2);
        let lowered = u32::from(slots) * self.lowered_milli / MILLI_SLOT;
        u16::try_from(lowered).unwrap_or(slots).clamp(floor, slots)
    }

    /// Returns the typical answer time, in microseconds; 0 while unknown.
    pub(super) fn service_time_us(&self) -> u32 {
        u32::try_from(self.typical_us).unwrap_or(u32::MAX)
    }

    /// Returns the typical answer time.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_micros(self.typical_us)
    }

    /// Takes note of an answer and how long the endpoint took for it.
    pub(super) fn note_answer(&mut self, now: MonoTime, taken: Duration) {
        let taken_us = u64::try_from(taken.as_micros()).unwrap_or(u64::MAX).max(1);
        self.typical_us = match self.typical_us {
            0 => taken_us,
            typical => (typical * (SMOOTHING - 1) + taken_us) / SMOOTHING,
        };
        self.forget_at = now.plus(FORGET_AFTER);
        self.answers += 1;
        if self.answers >= ANSWERS_PER_STEP {
            self.answers = 0;
            self.step();
        }
    }

    /// Halves the typical time of an endpoint that has answered nothing for a while.
    pub(super) fn forget(&mut self, now: MonoTime) {
        if now < self.forget_at {
            return;
        }
        self.typical_us = (self.typical_us / 2).max(self.best_us);
        self.forget_at = now.plus(FORGET_AFTER);
    }

    fn step(&mut self) {
        self.best_us = match self.best_us {
            0 => self.typical_us,
            best => (best + best / BEST_DRIFT).min(self.typical_us),
        };
        let slow = self.typical_us > self.best_us * SLOW_PERCENT / 100;
        self.lowered_milli = match slow {
            true => self.lowered_milli * LOWERED_TO_PERCENT / 100,
            false => (self.lowered_milli + MILLI_SLOT / 8).min(MILLI_SLOT),
        };
        self.lowered_milli = self.lowered_milli.max(MILLI_SLOT / 2);
    }
}
