//! Throttles best-effort tasks on a worker whose serving tasks approach their latency targets.
//!
//! The model of the latency is a baseline plus an excess that is proportional to the processor use
//! of interfering best-effort tasks. The controller scales this use so that the latency stays
//! below the target, and raises it in steps while the latency is low. Best-effort tasks without
//! interference keep their full share, unless throttling the others does not suffice.

use crate::ids::RunName;
use crate::message::RunTraits;
use crate::worker::RunningRow;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of the throttling.
#[derive(Clone, Debug)]
pub struct ThrottlePolicy {
    /// Time near the target after which best-effort tasks are throttled.
    pub grace_period: Duration,
    /// Interval between two changes; a reading covers the last half second.
    pub step: Duration,
}

/// Latency that the controller aims for, as a fraction of the target. Above it, a serving task
/// counts as near its target.
const LATENCY_SETPOINT: f64 = 0.92;

/// Latency below which the throttling is relaxed, as a fraction of the target.
const RELAX_THRESHOLD: f64 = 0.85;

/// Typical latency of a serving task without best-effort tasks, as a fraction of the target.
const BASELINE_LATENCY: f64 = 0.45;

/// Logarithm of latency over target up to which best-effort tasks may take a serving task by the
/// learned interference.
const PREDICTED_LIMIT: f64 = -0.12;

/// Lowest logarithm of latency over target that is assumed of a serving task without best-effort
/// tasks. Lower estimates come from coefficients that are too high.
const MIN_BASELINE: f64 = -1.4;

/// Weight of the newest estimate of the baseline while it decreases; increases count at once.
const BASELINE_DECREASE_WEIGHT: f64 = 0.3;

/// Interference coefficient from which a task takes part in a predicted reduction in full.
const FULL_COEFFICIENT: f64 = 2.0;

/// Increase of the share in one step.
const SHARE_STEP: f64 = 0.25;

/// Lower limit for the factor of one reduction, because readings are noisy.
const MIN_FACTOR: f64 = 0.3;

/// Smallest change of a share that is sent to the worker, in percentage points.
const MIN_CHANGE_PERCENT: u8 = 5;

/// Time near a target after which the learned interference is no longer relied on.
const DISTRUST_DELAY: Duration = Duration::from_millis(900);

/// Time near a target after which all best-effort tasks are halted. Readings are noisy and half a
/// second old, and a serving task may exceed its target for 4 s at most.
const HALT_DELAY: Duration = Duration::from_millis(2000);

/// Decrease of the assumed minimum interference in one step.
const FLOOR_STEP: f64 = 0.1;

/// Full share, in percent.
const FULL_SHARE: u8 = 100;

/// Throttling controller of one worker.
#[derive(Clone, Debug)]
pub struct BestEffortThrottle {
    policy: ThrottlePolicy,
    /// Time since which a serving task has been near or over its target.
    near_since: Option<MonoTime>,
    /// Time since which a serving task has been over its target.
    over_since: Option<MonoTime>,
    last_step: MonoTime,
    /// Minimum interference that is assumed of every best-effort task, 0 to 1.
    interference_floor: f64,
    /// Share of their processor use that fully interfering tasks may have, 0 to 1.
    use_share: f64,
    /// CPU of the worker, in thousandths of a core.
    capacity: u32,
    /// Logarithm of latency over target without best-effort tasks, by short image hash.
    baselines: BTreeMap<u32, f64>,
    /// Share of each listed best-effort task on the worker, in percent. `None` if unknown: an earlier
    /// process may have set it, or a call has failed.
    shares: BTreeMap<RunName, Option<u8>>,
    /// Detail text of a change that has not been logged yet.
    log_detail: Option<String>,
}

impl BestEffortThrottle {
    /// Creates a controller that knows no shares and throttles no task.
    #[must_use]
    pub fn new(policy: ThrottlePolicy) -> Self {
        Self {
            policy,
            near_since: None,
            over_since: None,
            last_step: MonoTime(0),
            interference_floor: 0.0,
            use_share: 1.0,
            capacity: 0,
            baselines: BTreeMap::new(),
            shares: BTreeMap::new(),
            log_detail: None,
        }
    }

    /// Sets the worker's CPU in thousandths of a core. Without it, nothing is predicted.
    pub fn set_capacity(&mut self, cpu: u32) {
        self.capacity = cpu;
    }

    /// Resets the controller for a new incarnation of the worker.
    pub fn clear(&mut self) {
        *self = Self::new(self.policy.clone());
    }

    /// Returns the detail text for the log if serving tasks began or ceased to exceed their
    /// targets since the last call.
    pub fn take_log_detail(&mut self) -> Option<String> {
        self.log_detail.take()
    }

    /// Notes that this process has started a task, which therefore has its full share unless another
    /// was sent since.
    pub fn note_started(&mut self, run: RunName) {
        self.shares.entry(run).or_insert(Some(FULL_SHARE));
    }

    /// Notes that a task's share is unknown, so that the wanted share is sent again.
    pub fn forget(&mut self, run: RunName) {
        self.shares.insert(run, None);
    }

    /// Updates the controller from the list of running attempts and returns the shares to send, in
    /// percent: those that change, and those of tasks whose share is unknown.
    pub fn adjust(
        &mut self,
        now: MonoTime,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> Vec<(RunName, u8)> {
        let ratios = rows.iter().filter_map(|row| {
            let target = traits.get(&row.run)?.target_ms;
            (target > 0).then(|| f64::from(row.reading) / f64::from(target))
        });
        let worst = ratios.fold(0.0, f64::max);
        self.track_overrun(now, worst);
        let near = worst > LATENCY_SETPOINT;
        self.near_since = near.then(|| self.near_since.unwrap_or(now));
        if now.since(self.last_step) >= self.policy.step {
            self.last_step = now;
            self.update_floor(now);
            self.update_share(now, worst);
        }
        let limits = self.predicted_limits(rows, traits);
        self.share_changes(rows, traits, &limits)
    }

    /// Returns the shares at which best-effort tasks keep each serving image below its target by
    /// the learned coefficients, for tasks that have to be limited. Readings cover the last half
    /// second, in which a task that has just started shows in neither the latency nor its use.
    fn predicted_limits(
        &mut self,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
    ) -> BTreeMap<RunName, f64> {
        let mut latencies = BTreeMap::<u32, f64>::new();
        let mut best_effort = Vec::new();
        let capacity = f64::from(self.capacity);
        for row in rows {
            match traits.get(&row.run) {
                Some(traits) if traits.target_ms > 0 && row.reading > 0 => {
                    let ratio = (f64::from(row.reading) / f64::from(traits.target_ms)).ln();
                    let latency = latencies.entry(traits.image).or_insert(ratio);
                    *latency = latency.max(ratio);
                }
                Some(traits) if traits.best_effort && self.capacity > 0 => {
                    let usage = f64::from(row.reading) / capacity;
                    let full = f64::from(traits.cpu) / capacity;
                    best_effort.push((row.run, traits, usage, full));
                }
                _ => {}
            }
        }
        self.baselines
            .retain(|image, _| latencies.contains_key(image));
        let mut limits = BTreeMap::new();
        for (image, latency) in latencies {
            let rows = best_effort.iter().map(|(run, traits, usage, full)| {
                let coefficient = coefficient_on(traits, image);
                (*run, coefficient, coefficient * usage, coefficient * full)
            });
            let rows: Vec<_> = rows.collect();
            let present: f64 = rows.iter().map(|row| row.2).sum();
            let wanted: f64 = rows.iter().map(|row| row.3).sum();
            let room = PREDICTED_LIMIT - self.update_baseline(image, latency - present);
            if wanted <= room {
                continue;
            }
            let factor = (room / wanted).max(0.0);
            for (run, coefficient, ..) in rows {
                let weight = (coefficient / FULL_COEFFICIENT).min(1.0);
                let limit = limits.entry(run).or_insert(1.0_f64);
                *limit = limit.min(1.0 - (1.0 - factor) * weight);
            }
        }
        limits
    }

    fn update_baseline(&mut self, image: u32, estimate: f64) -> f64 {
        let estimate = estimate.max(MIN_BASELINE);
        let baseline = self.baselines.entry(image).or_insert(estimate);
        let weight = match estimate {
            _ if estimate > *baseline => 1.0,
            _ => BASELINE_DECREASE_WEIGHT,
        };
        *baseline += weight * (estimate - *baseline);
        *baseline
    }

    fn track_overrun(&mut self, now: MonoTime, worst: f64) {
        let over = worst > 1.0;
        if over != self.over_since.is_some() {
            let share = self.use_share;
            self.log_detail = Some(format!("over={over} of_target={worst:.2} share={share:.2}"));
        }
        self.over_since = over.then(|| self.over_since.unwrap_or(now));
    }

    /// Raises the assumed minimum interference if throttling by the learned interference does not
    /// suffice, and lowers it step by step afterwards.
    fn update_floor(&mut self, now: MonoTime) {
        let near_for = self
            .near_since
            .map_or(Duration::ZERO, |since| now.since(since));
        self.interference_floor = match near_for {
            _ if near_for >= HALT_DELAY => 1.0,
            _ if near_for >= DISTRUST_DELAY => self.interference_floor.max(0.5),
            _ => (self.interference_floor - FLOOR_STEP).max(0.0),
        };
    }

    fn update_share(&mut self, now: MonoTime, worst: f64) {
        let in_grace_period = self
            .near_since
            .is_some_and(|since| now.since(since) < self.policy.grace_period);
        let halted = self
            .near_since
            .is_some_and(|since| now.since(since) >= HALT_DELAY);
        let share = match worst {
            _ if halted => 0.0,
            _ if in_grace_period => self.use_share,
            _ if worst > LATENCY_SETPOINT => {
                let factor = (LATENCY_SETPOINT - BASELINE_LATENCY) / (worst - BASELINE_LATENCY);
                self.use_share * factor.max(MIN_FACTOR)
            }
            _ if worst < RELAX_THRESHOLD => self.use_share + SHARE_STEP,
            _ => self.use_share,
        };
        self.use_share = share.clamp(0.0, 1.0);
    }

    fn share_changes(
        &mut self,
        rows: &[RunningRow],
        traits: &BTreeMap<RunName, RunTraits>,
        limits: &BTreeMap<RunName, f64>,
    ) -> Vec<(RunName, u8)> {
        let best_effort = |row: &RunningRow| {
            let traits = traits.get(&row.run).filter(|traits| traits.best_effort)?;
            Some((row.run, traits.interference_percent))
        };
        let tasks: BTreeMap<RunName, u8> = rows.iter().filter_map(best_effort).collect();
        self.shares.retain(|run, _| tasks.contains_key(run));
        let mut changes = Vec::new();
        for (run, interference) in tasks {
            let interference = f64::from(interference.min(FULL_SHARE)) / f64::from(FULL_SHARE);
            let interference = interference.max(self.interference_floor);
            let share = 1.0 - (1.0 - self.use_share) * interference;
            let share = share.min(limits.get(&run).copied().unwrap_or(1.0));
            let share = (share * f64::from(FULL_SHARE)).round() as u8;
            let current = self.shares.entry(run).or_insert(None);
            let due = |current: u8| {
                let full = share == FULL_SHARE && current != FULL_SHARE;
                current.abs_diff(share) >= MIN_CHANGE_PERCENT || full
            };
            if current.is_none_or(due) {
                *current = Some(share);
                changes.push((run, share));
            }
        }
        changes
    }
}

/// Returns the interference coefficient of a best-effort task on a serving image.
fn coefficient_on(traits: &RunTraits, image: u32) -> f64 {
    let rows = traits.coefficients.iter();
    let mut tenths = rows.filter(|row| row.0 == image).map(|row| row.1);
    tenths.next().map_or(0.0, |tenths| f64::from(tenths) / 10.0)
}
