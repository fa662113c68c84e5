//! Online model of how much best-effort tasks of one image slow down serving tasks of another.
//!
//! The logarithm of a serving task's latency over its target is modelled as a base level, which
//! varies with the load of the serving task, plus, for each best-effort image, a coefficient times
//! the share of the worker's CPU that its tasks use. Learning uses the differences between samples
//! half a second apart, over which the base level hardly moves. The coefficients of image pairs are
//! fitted by normalized least mean squares (NLMS).

use super::placement::ImageId;
use crate::ids::RunName;
use crate::ledger::LearnedInterference;
use std::collections::{BTreeMap, BTreeSet};

/// NLMS step size for the coefficient of a pair of images.
const LEARNING_RATE: f64 = 0.4;

/// NLMS step size for the default coefficient of an image, which stands in for unseen pairs.
const PRIOR_RATE: f64 = 0.15;

/// Coefficient of an unknown image: a task that uses a tenth of the worker raises the logarithm of
/// the latency by 0.4. Most images interfere, and the coefficient of one that does not drops after
/// a few samples.
pub const UNKNOWN_COEFFICIENT: f64 = 4.0;

/// Coefficient from which a best-effort task is fully throttled.
pub const FULL_THROTTLE_COEFFICIENT: f64 = 2.0;

/// Largest coefficient. Beyond it, a single task pushes any serving task over its target.
const MAX_COEFFICIENT: f64 = 8.0;

/// Regularization term of NLMS: keeps the correction small when usage has changed little.
const DAMPING: f64 = 0.002;

/// Smallest change in usage, as a share of the worker, from which the model learns.
const MIN_USAGE_CHANGE: f64 = 0.03;

/// Bound on the change of the logarithm between two samples; larger changes are clamped.
const MAX_LOG_RISE: f64 = 1.5;

/// Best-effort usage of a worker and the serving latencies measured at the same time.
#[derive(Clone, Debug, Default)]
pub struct InterferenceSample {
    /// Image and logarithm of latency over target, by serving attempt.
    pub serving: BTreeMap<RunName, (ImageId, f64)>,
    /// Share of the worker's CPU that best-effort tasks use, by image.
    pub usage: BTreeMap<ImageId, f64>,
}

impl InterferenceSample {
    /// Returns the mean logarithm of latency over target, by serving image.
    #[must_use]
    pub fn log_latencies(&self) -> BTreeMap<ImageId, f64> {
        let mut sums = BTreeMap::<ImageId, (f64, f64)>::new();
        for &(image, log_latency) in self.serving.values() {
            let sum = sums.entry(image).or_default();
            *sum = (sum.0 + log_latency, sum.1 + 1.0);
        }
        let means = sums
            .into_iter()
            .map(|(image, (sum, count))| (image, sum / count));
        means.collect()
    }

    fn usage_of(&self, image: ImageId) -> f64 {
        self.usage.get(&image).copied().unwrap_or(0.0)
    }
}

/// Serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingGroup {
    /// Number of tasks.
    pub tasks: u32,
    /// Mean logarithm of latency over target, as last reported.
    pub log_latency: f64,
}

/// Interference coefficients of images, learned from samples.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    /// Coefficients by serving image and best-effort image.
    pairs: BTreeMap<(ImageId, ImageId), f64>,
    /// Coefficients by best-effort image, for serving images it has not been seen with.
    defaults: BTreeMap<ImageId, f64>,
}

impl InterferenceModel {
    /// Returns the rise of a serving image's log latency if tasks of the best-effort image used the
    /// whole worker.
    #[must_use]
    pub fn coefficient(&self, serving: ImageId, best_effort: ImageId) -> f64 {
        let pair = self.pairs.get(&(serving, best_effort)).copied();
        pair.unwrap_or_else(|| self.default_coefficient(best_effort))
    }

    fn default_coefficient(&self, best_effort: ImageId) -> f64 {
        self.defaults
            .get(&best_effort)
            .copied()
            .unwrap_or(UNKNOWN_COEFFICIENT)
    }

    /// Returns the coefficient on the most sensitive image that a worker serves, which determines
    /// how far best-effort tasks on the worker are throttled.
    #[must_use]
    pub fn max_coefficient(
        &self,
        serving: &BTreeMap<ImageId, ServingGroup>,
        best_effort: ImageId,
    ) -> f64 {
        let coefficients = serving
            .keys()
            .map(|&image| self.coefficient(image, best_effort));
        coefficients
            .max_by(f64::total_cmp)
            .unwrap_or_else(|| self.default_coefficient(best_effort))
    }

    /// Restores a model from the coefficients that an earlier planner learned.
    #[must_use]
    pub fn from_learned(rows: &[LearnedInterference]) -> Self {
        let mut model = Self::default();
        for row in rows {
            let (serving, best_effort) = (ImageId(row.serving), ImageId(row.best_effort));
            let coefficient = f64::from(row.coefficient).clamp(0.0, MAX_COEFFICIENT);
            model.pairs.insert((serving, best_effort), coefficient);
            model.defaults.entry(best_effort).or_insert(coefficient);
        }
        model
    }

    /// Returns the learned coefficients, to be stored for later planners.
    #[must_use]
    pub fn learned(&self) -> Vec<LearnedInterference> {
        let row = |(&(serving, best_effort), &coefficient): (&(ImageId, ImageId), &f64)| {
            LearnedInterference {
                serving: serving.0,
                best_effort: best_effort.0,
                coefficient: coefficient as f32,
            }
        };
        self.pairs.iter().map(row).collect()
    }

    /// Formats the coefficients of all pairs in tenths, largest first, for a log line.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut rows: Vec<_> = self
            .pairs
            .values()
            .map(|coefficient| (coefficient * 10.0) as i64)
            .collect();
        rows.sort_unstable_by(|left, right| right.cmp(left));
        format!("press_tenths={rows:?}")
    }

    /// Updates the model from two consecutive samples of a worker.
    pub fn learn(&mut self, before: &InterferenceSample, after: &InterferenceSample) {
        let images: BTreeSet<_> = before.usage.keys().chain(after.usage.keys()).collect();
        let changes = images
            .into_iter()
            .map(|&image| (image, after.usage_of(image) - before.usage_of(image)));
        let changes: Vec<(ImageId, f64)> = changes.collect();
        let norm: f64 = changes.iter().map(|(_, change)| change * change).sum();
        if norm < MIN_USAGE_CHANGE * MIN_USAGE_CHANGE {
            return;
        }
        for (serving, rise) in log_latency_rises(before, after) {
            let expected = changes
                .iter()
                .map(|&(best_effort, change)| self.coefficient(serving, best_effort) * change);
            let error = rise - expected.sum::<f64>();
            let step = error / (norm + DAMPING);
            for &(best_effort, change) in &changes {
                let coefficient =
                    self.coefficient(serving, best_effort) + LEARNING_RATE * step * change;
                self.pairs.insert(
                    (serving, best_effort),
                    coefficient.clamp(0.0, MAX_COEFFICIENT),
                );
                let default = self.default_coefficient(best_effort) + PRIOR_RATE * step * change;
                self.defaults
                    .insert(best_effort, default.clamp(0.0, MAX_COEFFICIENT));
            }
        }
    }
}

/// Returns the mean rise of the log latency by serving image, over attempts in both samples.
fn log_latency_rises(
    before: &InterferenceSample,
    after: &InterferenceSample,
) -> BTreeMap<ImageId, f64> {
    let mut sums = BTreeMap::<ImageId, (f64, f64)>::new();
    for (run, (image, log_latency)) in &after.serving {
        if let Some((_, earlier)) = before.serving.get(run) {
            let sum = sums.entry(*image).or_default();
            sum.0 += (log_latency - earlier).clamp(-MAX_LOG_RISE, MAX_LOG_RISE);
            sum.1 += 1.0;
        }
    }
    sums.into_iter()
        .map(|(image, (sum, count))| (image, sum / count))
        .collect()
}
