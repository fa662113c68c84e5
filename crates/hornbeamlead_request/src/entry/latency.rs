//! Recent answer times of one service, to tell when a second copy of a request pays.

use std::time::Duration;

/// Answer times kept.
const KEPT_SAMPLES: usize = 256;

/// New answer times after which the delay is worked out again.
const SAMPLES_PER_UPDATE: usize = 32;

/// Percentile of answer times after which a request counts as slow.
const SLOW_PERCENT: usize = 95;

/// A second copy pays only if the first has taken this many times the median.
const MEDIANS_TO_HEDGE: u32 = 2;

/// Shortest delay before a second copy.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Window of recent answer times.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    fresh: usize,
    delay: Option<Duration>,
}

impl LatencyWindow {
    /// Adds an answer time.
    pub(crate) fn add(&mut self, sample: Duration) {
        if self.samples.len() < KEPT_SAMPLES {
            self.samples.push(sample);
        } else if let Some(slot) = self.samples.get_mut(self.next) {
            *slot = sample;
        }
        self.next = (self.next + 1) % KEPT_SAMPLES;
        self.fresh += 1;
        if self.fresh >= SAMPLES_PER_UPDATE {
            self.fresh = 0;
            self.delay = self.work_out_delay();
        }
    }

    /// Returns the time after which a second copy pays; `None` while too little is known.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.delay
    }

    fn work_out_delay(&self) -> Option<Duration> {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let slow = sorted.get(sorted.len() * SLOW_PERCENT / 100)?;
        let median = sorted.get(sorted.len() / 2)?;
        let delay = (*slow).max(*median * MEDIANS_TO_HEDGE);
        Some(delay.max(MIN_HEDGE_DELAY))
    }
}
