//! Resource usage of tasks and latency of requests, reported with a lag.

use super::{SharedState, lock};
use hornbeamlead_platform::worker_wire::SizeWire;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of samples kept, which is one minute of them.
const MAX_SAMPLES: usize = 600;

/// Maximum number of latencies kept.
const MAX_LATENCIES: usize = 20_000;

/// Window over which the p99 latency is computed, in microseconds.
const LATENCY_WINDOW_US: u64 = 2_000_000;

/// Resource usage by attempt.
pub(crate) type UsageTable = BTreeMap<(Box<str>, u32, u32), SizeWire>;

/// Usage and latency as known at some earlier time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaggingReading {
    /// Time of the reading, in microseconds since the Unix epoch.
    pub(crate) at_us: u64,
    /// Resource usage by attempt.
    pub(crate) usage: UsageTable,
    /// p99 latency of the requests that ended within the window before `at_us`.
    pub(crate) service_p99_us: Option<u64>,
}

/// Ring buffers of usage samples and latencies.
#[derive(Debug, Default)]
pub(crate) struct UsageRing {
    samples: VecDeque<(u64, UsageTable)>,
    latencies: VecDeque<(u64, u64)>,
}

impl UsageRing {
    /// Adds a usage sample.
    pub(crate) fn push(&mut self, at_us: u64, usage: UsageTable) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((at_us, usage));
    }

    /// Adds the latency of a request that ended at `ended_us`.
    pub(crate) fn push_latency(&mut self, ended_us: u64, latency_us: u64) {
        if self.latencies.len() == MAX_LATENCIES {
            self.latencies.pop_front();
        }
        self.latencies.push_back((ended_us, latency_us));
    }

    /// Returns the newest usage sample and the p99 latency as of `at_us`.
    pub(crate) fn read(&self, at_us: u64) -> LaggingReading {
        let newest = self.samples.iter().rev().find(|(time, _)| *time <= at_us);
        LaggingReading {
            at_us,
            usage: newest.map(|(_, usage)| usage.clone()).unwrap_or_default(),
            service_p99_us: self.p99_before(at_us),
        }
    }

    fn p99_before(&self, at_us: u64) -> Option<u64> {
        let window = at_us.saturating_sub(LATENCY_WINDOW_US)..=at_us;
        let within = self
            .latencies
            .iter()
            .filter(|(end, _)| window.contains(end));
        let mut latencies: Vec<u64> = within.map(|(_, latency)| *latency).collect();
        latencies.sort_unstable();
        let rank = (latencies.len() * 99).div_ceil(100);
        latencies.get(rank.checked_sub(1)?).copied()
    }
}

/// Samples usage forever.
pub(crate) async fn run(state: SharedState) {
    loop {
        lock(&state).sample_usage();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
