//! Learns how strongly fillers of an image press on serving tasks of another.
//!
//! The logarithm of latency over target is taken as a level, which swings with the load of the
//! serving task, plus for each filler image a weight times the share of the worker that its tasks
//! use. Only changes within half a second are looked at, in which the level hardly moves. The
//! weights of each pair of images follow by normalized least mean squares.

use super::placement::ImageId;
use crate::ids::RunName;
use crate::ledger::LearnedInterference;
use std::collections::{BTreeMap, BTreeSet};

/// Share of an error that is corrected by one reading.
const LEARNING_RATE: f64 = 0.4;

/// Share of an error that is corrected in the weight of an image beside all others.
const PRIOR_RATE: f64 = 0.15;

/// Weight of an image before anything is known of it: a task of a tenth of the worker lets the
/// latency rise by two fifths. Most images press; one that does not shows it soon.
pub const UNKNOWN_PRESS: f64 = 4.0;

/// Weight from which on a filler is slowed in full.
pub const FULL_PRESS: f64 = 2.0;

/// Largest weight: beyond it one task takes any serving task over its target.
const MAX_PRESS: f64 = 8.0;

/// Keeps the correction small where little has changed.
const DAMPING: f64 = 0.002;

/// Change in use, as a share of the worker, that is worth a look.
const LEAST_CHANGE: f64 = 0.03;

/// Largest change of the logarithm that one reading is believed.
const MAX_RISE: f64 = 1.5;

/// What runs on a worker, with the latencies that were read at the same time.
#[derive(Clone, Debug, Default)]
pub struct ImpactReading {
    /// Logarithm of latency over target and image, by serving attempt.
    pub serving: BTreeMap<RunName, (ImageId, f64)>,
    /// Share of the worker that fillers use, by image.
    pub fillers: BTreeMap<ImageId, f64>,
}

impl ImpactReading {
    /// Returns the mean logarithm of latency over target, by serving image.
    #[must_use]
    pub fn levels(&self) -> BTreeMap<ImageId, f64> {
        let mut sums = BTreeMap::<ImageId, (f64, f64)>::new();
        for &(image, latency) in self.serving.values() {
            let sum = sums.entry(image).or_default();
            *sum = (sum.0 + latency, sum.1 + 1.0);
        }
        let means = sums
            .into_iter()
            .map(|(image, (sum, count))| (image, sum / count));
        means.collect()
    }

    fn use_of(&self, image: ImageId) -> f64 {
        self.fillers.get(&image).copied().unwrap_or(0.0)
    }
}

/// Serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLevel {
    /// How many.
    pub tasks: u32,
    /// Mean logarithm of latency over target, as last reported.
    pub latency: f64,
}

/// Weights by image.
#[derive(Clone, Debug, Default)]
pub struct ImpactModel {
    /// By serving image and filler image.
    pairs: BTreeMap<(ImageId, ImageId), f64>,
    /// By filler image, beside any serving image.
    alone: BTreeMap<ImageId, f64>,
}

impl ImpactModel {
    /// Returns how strongly a filler image presses on a serving image: the rise of the logarithm
    /// for a whole worker.
    #[must_use]
    pub fn coefficient(&self, serving: ImageId, best_effort: ImageId) -> f64 {
        let pair = self.pairs.get(&(serving, best_effort)).copied();
        pair.unwrap_or_else(|| self.press_alone(best_effort))
    }

    fn press_alone(&self, best_effort: ImageId) -> f64 {
        self.alone
            .get(&best_effort)
            .copied()
            .unwrap_or(UNKNOWN_PRESS)
    }

    /// Returns how strongly a filler image presses on the most sensitive of what a worker serves,
    /// which decides how far the worker's fillers are slowed.
    #[must_use]
    pub fn worst_press(
        &self,
        serving: &BTreeMap<ImageId, ServingLevel>,
        best_effort: ImageId,
    ) -> f64 {
        let presses = serving
            .keys()
            .map(|&image| self.coefficient(image, best_effort));
        presses
            .max_by(f64::total_cmp)
            .unwrap_or_else(|| self.press_alone(best_effort))
    }

    /// Makes a model of what an earlier planner has learned.
    #[must_use]
    pub fn recall(rows: &[LearnedInterference]) -> Self {
        let mut model = Self::default();
        for row in rows {
            let (serving, best_effort) = (ImageId(row.serving), ImageId(row.best_effort));
            let coefficient = f64::from(row.coefficient).clamp(0.0, MAX_PRESS);
            model.pairs.insert((serving, best_effort), coefficient);
            model.alone.entry(best_effort).or_insert(coefficient);
        }
        model
    }

    /// Returns what is known, for the next planner.
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

    /// Describes the weights, strongest first.
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

    /// Learns from two readings of a worker that follow one another.
    pub fn learn(&mut self, before: &ImpactReading, after: &ImpactReading) {
        let images: BTreeSet<_> = before.fillers.keys().chain(after.fillers.keys()).collect();
        let changes = images
            .into_iter()
            .map(|&image| (image, after.use_of(image) - before.use_of(image)));
        let changes: Vec<(ImageId, f64)> = changes.collect();
        let norm: f64 = changes.iter().map(|(_, change)| change * change).sum();
        if norm < LEAST_CHANGE * LEAST_CHANGE {
            return;
        }
        for (serving, rise) in rises(before, after) {
            let expected = changes
                .iter()
                .map(|&(best_effort, change)| self.coefficient(serving, best_effort) * change);
            let error = rise - expected.sum::<f64>();
            let step = error / (norm + DAMPING);
            for &(best_effort, change) in &changes {
                let coefficient =
                    self.coefficient(serving, best_effort) + LEARNING_RATE * step * change;
                self.pairs
                    .insert((serving, best_effort), coefficient.clamp(0.0, MAX_PRESS));
                let alone = self.press_alone(best_effort) + PRIOR_RATE * step * change;
                self.alone.insert(best_effort, alone.clamp(0.0, MAX_PRESS));
            }
        }
    }
}

/// Returns the mean rise of the logarithm by serving image, of attempts in both readings.
fn rises(before: &ImpactReading, after: &ImpactReading) -> BTreeMap<ImageId, f64> {
    let mut sums = BTreeMap::<ImageId, (f64, f64)>::new();
    for (run, (image, latency)) in &after.serving {
        if let Some((_, earlier)) = before.serving.get(run) {
            let sum = sums.entry(*image).or_default();
            sum.0 += (latency - earlier).clamp(-MAX_RISE, MAX_RISE);
            sum.1 += 1.0;
        }
    }
    sums.into_iter()
        .map(|(image, (sum, count))| (image, sum / count))
        .collect()
}
