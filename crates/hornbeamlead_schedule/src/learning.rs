//! Estimates sizes and run times of task kinds as quantiles of their delayed usage readings.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, KindName};
use hornbeamlead_core::resource::{CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of samples of each kind.
const MAX_SAMPLES: usize = 64;

/// Number of samples of a kind below which its declared values are used.
const MIN_SAMPLES: usize = 3;

/// Readings of an attempt before its peak becomes a sample.
const MIN_READINGS: u32 = 2;

/// Percentile of the peaks that is reserved.
const SIZE_PERCENTILE: usize = 95;

/// Percentile of the run times that is expected.
const RUN_TIME_PERCENTILE: usize = 75;

/// Headroom over the percentile when all samples agree, in percent.
const BASE_HEADROOM_PERCENT: u64 = 10;

/// Maximum headroom over the percentile, in percent.
const MAX_HEADROOM_PERCENT: u64 = 50;

/// Speed of an attempt that is not throttled, in percent.
const FULL_SPEED: u8 = 100;

/// Observations of a running attempt.
#[derive(Clone, Debug)]
struct AttemptTrace {
    kind: KindName,
    began: MonoTime,
    resumed_ms: u64,
    peak: ResourceSize,
    readings: u32,
    /// Whether the attempt was ever throttled, which makes its run time meaningless.
    throttled: bool,
}

/// Samples of one kind, oldest first.
#[derive(Clone, Debug, Default)]
struct KindSamples {
    peaks: VecDeque<ResourceSize>,
    run_ms: VecDeque<u64>,
}

/// Estimator of sizes and run times by task kind.
#[derive(Clone, Debug, Default)]
pub struct KindLearner {
    traces: BTreeMap<AttemptId, AttemptTrace>,
    kinds: BTreeMap<KindName, KindSamples>,
}

impl KindLearner {
    /// Records one reading of an attempt; readings of throttled attempts are ignored.
    pub fn observe(&mut self, status: &TaskStatus, now: MonoTime) {
        match status.phase {
            TaskPhase::Running => self.observe_running(status, now),
            TaskPhase::Finished => self.observe_end(status, now),
            TaskPhase::Failed | TaskPhase::Stopped | TaskPhase::Lapsed => {
                self.traces.remove(&status.attempt);
            }
        }
    }

    /// Drops the traces of attempts that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&AttemptId) -> bool) {
        self.traces.retain(|attempt, _| keep(attempt));
    }

    fn observe_running(&mut self, status: &TaskStatus, now: MonoTime) {
        let trace = self
            .traces
            .entry(status.attempt.clone())
            .or_insert_with(|| new_trace(status, now));
        if status.speed_percent != FULL_SPEED {
            trace.throttled = true;
            return;
        }
        let Some(usage) = status.usage.filter(|_| !trace.throttled) else {
            return;
        };
        trace.peak = component_max(&trace.peak, &usage);
        trace.readings += 1;
        if trace.readings == MIN_READINGS {
            let (kind, peak) = (trace.kind.clone(), trace.peak);
            push(&mut self.kinds.entry(kind).or_default().peaks, peak);
        }
    }

    fn observe_end(&mut self, status: &TaskStatus, now: MonoTime) {
        let Some(trace) = self.traces.remove(&status.attempt) else {
            return;
        };
        let samples = self.kinds.entry(trace.kind.clone()).or_default();
        if trace.readings > MIN_READINGS {
            push(&mut samples.peaks, trace.peak);
        }
        if !trace.throttled {
            let elapsed = now.since(trace.began).as_millis();
            let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
            push(
                &mut samples.run_ms,
                trace.resumed_ms.saturating_add(elapsed),
            );
        }
    }

    /// Returns the size to reserve for a task of a kind; accelerators are always as declared.
    #[must_use]
    pub fn size(&self, kind: &KindName, declared: &ResourceSize) -> ResourceSize {
        let samples = self.kinds.get(kind);
        let Some(samples) = samples.filter(|samples| samples.peaks.len() >= MIN_SAMPLES) else {
            return *declared;
        };
        let cpu = samples.peaks.iter().map(|peak| u64::from(peak.cpu.0));
        let memory = samples.peaks.iter().map(|peak| u64::from(peak.memory.0));
        ResourceSize {
            cpu: CpuMillis(reserve(cpu.collect())),
            memory: MemoryMebibytes(reserve(memory.collect())),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the expected run time of a task of a kind.
    #[must_use]
    pub fn run_time(&self, kind: &KindName, declared: Duration) -> Duration {
        let samples = self.kinds.get(kind);
        match samples.filter(|samples| samples.run_ms.len() >= MIN_SAMPLES) {
            Some(samples) => {
                let run_ms = samples.run_ms.iter().copied().collect();
                Duration::from_millis(quantile(run_ms, RUN_TIME_PERCENTILE))
            }
            None => declared,
        }
    }
}

fn new_trace(status: &TaskStatus, now: MonoTime) -> AttemptTrace {
    let resumed = status.checkpoint.as_ref();
    AttemptTrace {
        kind: status.kind.clone(),
        began: now,
        resumed_ms: resumed.map_or(0, |token| token.progress_ms),
        peak: ResourceSize::default(),
        readings: 0,
        throttled: false,
    }
}

fn component_max(left: &ResourceSize, right: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cpu: left.cpu.max(right.cpu),
        memory: left.memory.max(right.memory),
        accelerators: left.accelerators.max(right.accelerators),
    }
}

fn push<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns the upper percentile plus a headroom that grows with the spread of the samples.
fn reserve(samples: Vec<u64>) -> u32 {
    let high = quantile(samples.clone(), SIZE_PERCENTILE);
    let middle = quantile(samples, 50).max(1);
    let spread = high.saturating_sub(middle) * 100 / middle;
    let headroom = (BASE_HEADROOM_PERCENT + spread / 2).min(MAX_HEADROOM_PERCENT);
    u32::try_from(high + high * headroom / 100)
        .unwrap_or(u32::MAX)
        .max(1)
}

fn quantile(mut samples: Vec<u64>, percent: usize) -> u64 {
    samples.sort_unstable();
    let index = (samples.len() * percent).div_ceil(100).saturating_sub(1);
    samples.get(index).copied().unwrap_or(0)
}
