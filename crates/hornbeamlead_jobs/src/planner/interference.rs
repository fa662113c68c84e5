//! Online model of how much best-effort tasks of one image slow down serving tasks of another.
//!
//! The logarithm of a serving task's latency over its target is modelled as a base level, which
//! varies with the load of the serving task, plus, for each best-effort image, a coefficient times
//! the share of the worker's CPU that its tasks use. Learning uses the differences between samples
//! half a second apart, over which the base level hardly moves. The coefficients of a serving image
//! are the ridge regression of all differences so far, solved by coordinate descent.
//!
//! Interference comes from shared resources of the worker. Serving images that the same best-effort
//! images slow down depend on the same resource, so what is known of one of them stands in for what
//! is not known yet of the other.

use super::placement::ImageId;
use crate::ids::RunName;
use crate::ledger::LearnedInterference;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Weight of the assumed coefficient in the regression, in squared shares of a worker: equal to
/// two changes by a tenth of the worker.
const PRIOR_WEIGHT: f64 = 0.02;

/// Squared shares of a worker from which the coefficient of a pair counts as known.
const KNOWN_WEIGHT: f64 = 0.02;

/// Weight of a coefficient that an earlier planner learned, in squared shares of a worker.
const RESTORED_WEIGHT: f64 = 0.2;

/// Coefficient from which two images interfere.
const INTERFERING_COEFFICIENT: f64 = 1.5;

/// Assumed coefficient of a best-effort image that does not interfere with any of the serving
/// images it was seen with, none of which resembles the one in question.
const HARMLESS_ELSEWHERE_COEFFICIENT: f64 = 1.5;

/// Similarity added by a best-effort image that interferes with both of two serving images.
const BOTH_INTERFERE: f64 = 1.0;

/// Similarity added by a best-effort image that interferes with neither.
const NEITHER_INTERFERES: f64 = 0.1;

/// Similarity removed by a best-effort image that interferes with one of them only.
const ONE_INTERFERES: f64 = 1.5;

/// Similarity from which two serving images are taken to depend on the same resource.
pub(super) const SIMILAR: f64 = 1.0;

/// Coefficient of an unknown image: a task that uses a tenth of the worker raises the logarithm of
/// the latency by 0.4. Most images interfere, and the coefficient of one that does not drops after
/// a few samples.
pub const UNKNOWN_COEFFICIENT: f64 = 4.0;

/// Coefficient from which a best-effort task is fully throttled.
pub const FULL_THROTTLE_COEFFICIENT: f64 = 2.0;

/// Largest coefficient. Beyond it, a single task pushes any serving task over its target.
const MAX_COEFFICIENT: f64 = 8.0;

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

/// Differences between samples of one serving image, summed up for the regression.
#[derive(Clone, Debug, Default)]
struct RegressionSums {
    /// Sums of the products of two best-effort images' changes in usage.
    products: BTreeMap<ImageId, BTreeMap<ImageId, f64>>,
    /// Sums of the products of a best-effort image's change in usage and the rise of the latency.
    rises: BTreeMap<ImageId, f64>,
}

impl RegressionSums {
    fn add(&mut self, changes: &[(ImageId, f64)], rise: f64) {
        for &(image, change) in changes {
            *self.rises.entry(image).or_default() += change * rise;
            let row = self.products.entry(image).or_default();
            for &(other, other_change) in changes {
                *row.entry(other).or_default() += change * other_change;
            }
        }
    }

    /// Returns the weight of what is known of a best-effort image, in squared shares of a worker.
    fn weight(&self, image: ImageId) -> f64 {
        let row = self.products.get(&image);
        row.and_then(|row| row.get(&image)).copied().unwrap_or(0.0)
    }
}

/// Interference coefficients of images, learned from samples.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    /// Sums of the regression by serving image.
    sums: BTreeMap<ImageId, RegressionSums>,
    /// Coefficients by serving image and best-effort image, of all pairs that have been seen.
    pairs: BTreeMap<(ImageId, ImageId), f64>,
    /// Coefficients that are assumed of pairs that are not known yet.
    assumed: BTreeMap<(ImageId, ImageId), f64>,
    /// Pairs of serving images that depend on the same resource, lower one first.
    similar: BTreeSet<(ImageId, ImageId)>,
}

impl InterferenceModel {
    /// Returns the rise of a serving image's log latency if tasks of the best-effort image used the
    /// whole worker.
    #[must_use]
    pub fn coefficient(&self, serving: ImageId, best_effort: ImageId) -> f64 {
        let pair = (serving, best_effort);
        let known = self.pairs.get(&pair).or_else(|| self.assumed.get(&pair));
        known.copied().unwrap_or(UNKNOWN_COEFFICIENT)
    }

    /// Returns whether two serving images are slowed down by the same best-effort images.
    #[must_use]
    pub fn is_similar(&self, left: ImageId, right: ImageId) -> bool {
        left == right || self.similar.contains(&(left.min(right), left.max(right)))
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
            .unwrap_or(UNKNOWN_COEFFICIENT)
    }

    /// Restores a model from the coefficients that an earlier planner learned.
    #[must_use]
    pub fn from_learned(rows: &[LearnedInterference]) -> Self {
        let mut model = Self::default();
        for row in rows {
            let (serving, best_effort) = (ImageId(row.serving), ImageId(row.best_effort));
            let coefficient = f64::from(row.coefficient).clamp(0.0, MAX_COEFFICIENT);
            model.pairs.insert((serving, best_effort), coefficient);
            let sums = model.sums.entry(serving).or_default();
            let products = sums.products.entry(best_effort).or_default();
            products.insert(best_effort, RESTORED_WEIGHT);
            sums.rises
                .insert(best_effort, RESTORED_WEIGHT * coefficient);
        }
        model
    }

    /// Returns the learned coefficients, to be stored for later planners.
    #[must_use]
    pub fn learned(&self) -> Vec<LearnedInterference> {
        let known = self.pairs.iter().filter(|(pair, _)| self.is_known(**pair));
        let row = |(&(serving, best_effort), &coefficient): (&(ImageId, ImageId), &f64)| {
            LearnedInterference {
                serving: serving.0,
                best_effort: best_effort.0,
                coefficient: coefficient as f32,
            }
        };
        known.map(row).collect()
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

    /// Returns the expected rise of a serving image's log latency.
    #[must_use]
    pub fn rise(&self, serving: ImageId, usage: &BTreeMap<ImageId, f64>) -> f64 {
        let rises = usage
            .iter()
            .map(|(&best_effort, share)| self.coefficient(serving, best_effort) * share);
        rises.sum()
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
            let sums = self.sums.entry(serving).or_default();
            sums.add(&changes, rise);
            for &(best_effort, _) in &changes {
                self.fit(serving, best_effort);
            }
        }
    }

    /// Solves the regression for one coefficient while the others stay as they are.
    fn fit(&mut self, serving: ImageId, best_effort: ImageId) {
        let Some(sums) = self.sums.get(&serving) else {
            return;
        };
        let row = sums.products.get(&best_effort).into_iter().flatten();
        let others = row.filter(|(other, _)| **other != best_effort);
        let explained = others.map(|(&other, product)| self.coefficient(serving, other) * product);
        let explained: f64 = explained.sum();
        let rise = sums.rises.get(&best_effort).copied().unwrap_or(0.0);
        let pair = (serving, best_effort);
        let assumed = self.assumed.get(&pair).copied();
        let assumed = assumed.unwrap_or(UNKNOWN_COEFFICIENT);
        let weight = sums.weight(best_effort) + PRIOR_WEIGHT;
        let coefficient = (rise - explained + PRIOR_WEIGHT * assumed) / weight;
        self.pairs
            .insert(pair, coefficient.clamp(0.0, MAX_COEFFICIENT));
    }

    fn is_known(&self, (serving, best_effort): (ImageId, ImageId)) -> bool {
        let sums = self.sums.get(&serving);
        sums.is_some_and(|sums| sums.weight(best_effort) >= KNOWN_WEIGHT)
    }

    /// Infers what is not known of a pair from serving images that depend on the same resource.
    pub fn refresh(&mut self) {
        let known: BTreeMap<(ImageId, ImageId), f64> = self
            .pairs
            .iter()
            .filter(|(pair, _)| self.is_known(**pair))
            .map(|(&pair, &coefficient)| (pair, coefficient))
            .collect();
        let serving: BTreeSet<ImageId> = self.sums.keys().copied().collect();
        let best_effort: BTreeSet<ImageId> = self.pairs.keys().map(|pair| pair.1).collect();
        self.similar.clear();
        for &left in &serving {
            for &right in serving.range((Bound::Excluded(left), Bound::Unbounded)) {
                if similarity(&known, &best_effort, left, right) >= SIMILAR {
                    self.similar.insert((left, right));
                }
            }
        }
        self.assumed.clear();
        for &image in &serving {
            for &other in &best_effort {
                let assumed = self.infer(&known, &serving, image, other);
                self.assumed.insert((image, other), assumed);
            }
        }
        let pairs: Vec<_> = self.pairs.keys().copied().collect();
        for (image, other) in pairs {
            self.fit(image, other);
        }
    }

    fn infer(
        &self,
        known: &BTreeMap<(ImageId, ImageId), f64>,
        serving: &BTreeSet<ImageId>,
        image: ImageId,
        best_effort: ImageId,
    ) -> f64 {
        let others = serving.iter().filter(|&&other| other != image);
        let rows = others.filter_map(|&other| {
            let coefficient = known.get(&(other, best_effort))?;
            Some((self.is_similar(image, other), *coefficient))
        });
        let rows: Vec<(bool, f64)> = rows.collect();
        let similar: Vec<f64> = rows.iter().filter(|row| row.0).map(|row| row.1).collect();
        let highest = rows.iter().map(|row| row.1).fold(0.0, f64::max);
        match rows.is_empty() {
            _ if !similar.is_empty() => similar.iter().sum::<f64>() / similar.len() as f64,
            true => UNKNOWN_COEFFICIENT,
            false => highest.max(HARMLESS_ELSEWHERE_COEFFICIENT),
        }
    }
}

/// Returns how far two serving images agree on which best-effort images interfere with them.
fn similarity(
    known: &BTreeMap<(ImageId, ImageId), f64>,
    best_effort: &BTreeSet<ImageId>,
    left: ImageId,
    right: ImageId,
) -> f64 {
    let interferes = |serving: ImageId, image: ImageId| {
        let coefficient = known.get(&(serving, image))?;
        Some(*coefficient >= INTERFERING_COEFFICIENT)
    };
    let rows = best_effort.iter().filter_map(|&image| {
        Some(
            match (interferes(left, image)?, interferes(right, image)?) {
                (true, true) => BOTH_INTERFERE,
                (false, false) => NEITHER_INTERFERES,
                _ => -ONE_INTERFERES,
            },
        )
    });
    let (mut total, mut both) = (0.0, false);
    for row in rows {
        total += row;
        both |= row == BOTH_INTERFERE;
    }
    // Images that nothing is known to interfere with have nothing in common.
    if both { total } else { 0.0 }
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
