//! Recent latencies of one service, from which the hedging delay is derived.

use std::time::Duration;

/// Number of latencies in the window.
const WINDOW_SAMPLES: usize = 256;

/// New latencies after which the hedging delay is recomputed.
const SAMPLES_PER_UPDATE: usize = 32;

/// Percentile of the latencies that is the hedging delay.
const HEDGE_PERCENTILE: usize = 95;

/// Lower bound of the hedging delay, in medians: an earlier hedge is not worth its load.
const MIN_DELAY_MEDIANS: u32 = 2;

/// Lower bound of the hedging delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Sliding window of latencies.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    new_samples: usize,
    delay: Option<Duration>,
}

impl LatencyWindow {
    pub(crate) fn add(&mut self, sample: Duration) {
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(sample);
        } else if let Some(slot) = self.samples.get_mut(self.next) {
            *slot = sample;
        }
        self.next = (self.next + 1) % WINDOW_SAMPLES;
        self.new_samples += 1;
        if self.new_samples >= SAMPLES_PER_UPDATE {
            self.new_samples = 0;
            self.delay = self.compute_delay();
        }
    }

    /// Returns the delay after which a request is hedged; `None` until there are enough samples.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.delay
    }

    fn compute_delay(&self) -> Option<Duration> {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let slow = sorted.get(sorted.len() * HEDGE_PERCENTILE / 100)?;
        let median = sorted.get(sorted.len() / 2)?;
        let delay = (*slow).max(*median * MIN_DELAY_MEDIANS);
        Some(delay.max(MIN_HEDGE_DELAY))
    }
}
