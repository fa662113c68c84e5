//! Latency of long-running steps as it would be without best-effort tasks.
//!
//! All tasks of a step serve the same users, so that their latencies follow one curve. The curve is
//! tracked as the running median over the hosts of the step. A host whose latency lies above it is
//! slowed down by its best-effort tasks, also while nothing changes on the host.

use crate::ids::{HostName, JobId, StepName};
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet};

/// Change of the median estimate with each observation, divided by the number of hosts.
const MEDIAN_STEP: f64 = 0.6;

/// Limits of the change of the median estimate with one observation.
const MEDIAN_STEP_RANGE: (f64, f64) = (0.03, 0.12);

/// Decrease of the remembered peak per second.
const PEAK_DECAY: f64 = 0.02;

/// Assumed distance of the peak from the first observation.
const FIRST_PEAK_DISTANCE: f64 = 0.3;

/// Lowest level. Latencies are whole milliseconds, so that very low ones mean little.
const MIN_LEVEL: f64 = -2.0;

/// Level of one step, as the logarithm of latency over target.
#[derive(Clone, Debug)]
struct ServingLevel {
    level: f64,
    peak: f64,
    observed_at: MonoTime,
    hosts: BTreeSet<HostName>,
}

/// Levels of all long-running steps with a latency target.
#[derive(Clone, Debug, Default)]
pub(super) struct ServingLevels {
    levels: BTreeMap<StepName, ServingLevel>,
}

impl ServingLevels {
    /// Takes a task's logarithm of latency over target, less the expected interference.
    pub(super) fn observe(&mut self, now: MonoTime, step: StepName, host: &HostName, value: f64) {
        let value = value.max(MIN_LEVEL);
        let first = || ServingLevel {
            level: value,
            peak: value + FIRST_PEAK_DISTANCE,
            observed_at: now,
            hosts: BTreeSet::new(),
        };
        let level = self.levels.entry(step).or_insert_with(first);
        if !level.hosts.contains(host) {
            level.hosts.insert(host.clone());
        }
        let (least, most) = MEDIAN_STEP_RANGE;
        let change = (MEDIAN_STEP / level.hosts.len() as f64).clamp(least, most);
        level.level += (value - level.level).clamp(-change, change);
        let decay = PEAK_DECAY * now.since(level.observed_at).as_secs_f64();
        level.peak = (level.peak - decay).max(level.level);
        level.observed_at = now;
    }

    /// Returns the level to expect while a best-effort task runs: halfway to the recent peak.
    pub(super) fn expected(&self, step: StepName) -> Option<f64> {
        let level = self.levels.get(&step)?;
        Some((level.level + level.peak) / 2.0)
    }

    /// Forgets the steps of a job.
    pub(super) fn forget_job(&mut self, job: JobId) {
        let steps = self.levels.range(StepName::all_of(job));
        let steps: Vec<_> = steps.map(|(step, _)| *step).collect();
        for step in steps {
            self.levels.remove(&step);
        }
    }
}
