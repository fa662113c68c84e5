//! Model of run times: how long tasks of a step take at full speed, learned from finished and
//! progressing tasks, since callers' estimates may be far off.
//!
//! All statements are medians and quantiles, so that a few tasks that take many times as long as
//! their siblings leave them as they are. Times count at full speed: a best-effort task that gets
//! half of the processor that it requests has worked for half of the time that has passed.

use crate::ids::{JobId, RunName, StepName};
use crate::job::StepSpec;
use crate::ledger::IndexRanges;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Most run times kept of finished tasks of a step, and of projected ones.
const MAX_SAMPLES: usize = 32;

/// Most kinds of steps kept.
const MAX_KINDS: usize = 256;

/// Most other steps of a job from which the run time of a step is estimated, the latest ones.
const MAX_OTHER_STEPS: usize = 64;

/// Completed occurrences of a job that are kept, as the next ones do the same work.
const KEPT_OCCURRENCES: u32 = 4;

/// Steps of a kind from which its ratio is used.
const MIN_KIND_STEPS: usize = 5;

/// Ratio of the quartiles up to which the ratios of a kind's steps count as stable.
const MAX_QUARTILE_RATIO: f64 = 2.0;

/// Weight of the kind's ratio beside that of one other step of the job.
const PRIOR_WEIGHT: f64 = 1.0;

/// Progress in percent from which the run time of a running attempt is projected.
const MIN_PERCENT: u8 = 10;

/// Progress in percent beyond which the rest is too short to be measured.
const MAX_FIRST_PERCENT: u8 = 80;

/// Longest time between two reports on an attempt for which its speed is taken as known.
const MAX_REPORT_GAP: Duration = Duration::from_millis(1500);

/// Known run times of a step from which one of its tasks may count as a straggler.
const MIN_SIBLINGS: usize = 3;

/// High quantile of the run times, and the multiple of it beyond which a task is a straggler.
const STRAGGLER_QUANTILE: (f64, f64) = (0.8, 1.2);

/// Least and greatest multiple of the median run time beyond which a task is a straggler. Data on
/// another rack makes half as long again; in a small step the quantile may be that of a straggler.
const STRAGGLER_FACTORS: (f64, f64) = (1.75, 3.0);

/// Time beyond the median within which no task is a straggler: reports are that much apart.
const STRAGGLER_MARGIN_MS: f64 = 500.0;

/// Work that an attempt has been seen to do, at full speed.
#[derive(Clone, Copy, Debug)]
pub struct RunWork {
    /// When the attempt was first listed.
    listed_at: MonoTime,
    /// When the attempt was last reported.
    reported_at: MonoTime,
    /// Milliseconds of work at full speed since it was first listed.
    full_ms: f64,
    /// Progress when it was first listed.
    first_percent: u8,
    /// Progress as last reported.
    percent: u8,
    /// Whether the work can be measured; not if a report was missed.
    measured: bool,
}

impl RunWork {
    /// Begins to measure an attempt that is listed for the first time. One that has resumed counts
    /// only if its progress shows what it still had to do.
    #[must_use]
    pub fn new(now: MonoTime, percent: u8, resumed: bool) -> Self {
        Self {
            listed_at: now,
            reported_at: now,
            full_ms: 0.0,
            first_percent: percent,
            percent,
            measured: percent <= MAX_FIRST_PERCENT && (percent > 0 || !resumed),
        }
    }

    /// Adds the time since the last report, in which the attempt ran at a share of its full speed.
    pub fn advance(&mut self, now: MonoTime, rate: f64, percent: u8) {
        let passed = now.since(self.reported_at);
        self.measured &= passed <= MAX_REPORT_GAP;
        self.full_ms += passed.as_secs_f64() * 1000.0 * rate.clamp(0.0, 1.0);
        self.reported_at = now;
        self.percent = percent.max(self.percent);
    }

    /// Returns the run time of the whole task in milliseconds if the given progress is reached now.
    fn whole_ms(&self, percent: u8) -> Option<f64> {
        let done = percent.min(100).saturating_sub(self.first_percent);
        let known = self.measured && done >= MIN_PERCENT && self.full_ms > 0.0;
        known.then(|| self.full_ms * 100.0 / f64::from(done))
    }

    /// Returns the time since the attempt was first listed, in milliseconds.
    pub(super) fn elapsed_ms(&self, now: MonoTime) -> f64 {
        now.since(self.listed_at).as_secs_f64() * 1000.0
    }

    /// Returns the time that the attempt still needs at its pace so far, in milliseconds, if it has
    /// made any progress that tells.
    pub(super) fn remaining_ms(&self, now: MonoTime) -> Option<f64> {
        let done = self.percent.min(100).saturating_sub(self.first_percent);
        let left = f64::from(100 - self.percent.min(100));
        (done >= MIN_PERCENT).then(|| self.elapsed_ms(now) * left / f64::from(done))
    }

    /// Returns the run time of the whole task at this pace, in milliseconds, or at least, as long as
    /// its progress tells nothing.
    pub(super) fn least_whole_ms(&self, now: MonoTime) -> f64 {
        let left = f64::from(100 - self.first_percent.min(99)) / 100.0;
        let whole = self.elapsed_ms(now) + self.remaining_ms(now).unwrap_or(0.0);
        whole / left
    }

    /// Returns the run time of the whole task as its progress foretells it, in milliseconds.
    #[must_use]
    pub fn projected_ms(&self) -> Option<f64> {
        self.whole_ms(self.percent)
    }
}

/// Run times of the tasks of a step, in milliseconds.
#[derive(Clone, Debug, Default)]
struct StepTimes {
    /// Of finished tasks, oldest first.
    finished: VecDeque<f64>,
    /// Of running attempts, as their progress foretells.
    projected: BTreeMap<RunName, f64>,
    /// Callers' estimate.
    estimate_ms: f64,
}

impl StepTimes {
    fn sorted(&self) -> Vec<f64> {
        let times = self.finished.iter().chain(self.projected.values());
        let mut times: Vec<f64> = times.copied().collect();
        times.sort_unstable_by(f64::total_cmp);
        times
    }

    fn median(&self) -> Option<f64> {
        quantile(&self.sorted(), 0.5)
    }

    fn ratio(&self) -> Option<f64> {
        let median = self.median()?;
        (self.estimate_ms > 0.0).then(|| median / self.estimate_ms)
    }
}

/// Queue and image, by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StepKind(u64);

impl StepKind {
    fn new(queue: &str, spec: &StepSpec) -> Self {
        let mut hasher = DefaultHasher::new();
        (queue, &spec.image).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Ratios of run time to estimate of the latest steps of a kind.
#[derive(Clone, Debug, Default)]
struct KindRatios {
    ratios: VecDeque<(StepName, f64)>,
    /// Number of the latest observation; the kind with the lowest gives way to a new one.
    latest: u64,
}

impl KindRatios {
    /// Returns the median ratio, if most steps agree on it.
    fn stable(&self) -> Option<f64> {
        let mut ratios: Vec<f64> = self.ratios.iter().map(|row| row.1).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let (low, high) = (quantile(&ratios, 0.25)?, quantile(&ratios, 0.75)?);
        let stable = ratios.len() >= MIN_KIND_STEPS && high <= low * MAX_QUARTILE_RATIO;
        quantile(&ratios, 0.5).filter(|_| stable)
    }
}

/// Run times of steps, and the ratios of run times to estimates by kind of step.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    steps: BTreeMap<StepName, StepTimes>,
    kinds: BTreeMap<StepKind, KindRatios>,
    observations: u64,
}

impl RunTimes {
    /// Returns the expected run time of one task of a step at full speed, in milliseconds: the
    /// median of its siblings, else the caller's estimate, corrected by what other steps of the job
    /// and of the same queue and image took.
    #[must_use]
    pub fn expected_ms(&self, step: StepName, queue: &str, spec: &StepSpec) -> u64 {
        let siblings = self.steps.get(&step).and_then(StepTimes::median);
        let estimate = || f64::from(spec.estimate_ms) * self.ratio(step, queue, spec);
        siblings.unwrap_or_else(estimate).round() as u64
    }

    /// Returns the median run time of the tasks of a step in milliseconds, or `None` if too few are
    /// known.
    pub(super) fn median_ms(&self, step: StepName) -> Option<f64> {
        let times = self.steps.get(&step)?.sorted();
        quantile(&times, 0.5).filter(|_| times.len() >= MIN_SIBLINGS)
    }

    /// Returns the run time in milliseconds beyond which a task of the step is a straggler, or
    /// `None` if too few of its siblings are known.
    #[must_use]
    pub fn straggler_after_ms(&self, step: StepName) -> Option<u64> {
        let times = self.steps.get(&step)?.sorted();
        let median = quantile(&times, 0.5).filter(|_| times.len() >= MIN_SIBLINGS)?;
        let (share, factor) = STRAGGLER_QUANTILE;
        let (least, greatest) = STRAGGLER_FACTORS;
        let high = quantile(&times, share)? * factor;
        let after = high.clamp(median * least, median * greatest);
        Some(after.max(median + STRAGGLER_MARGIN_MS) as u64)
    }

    /// Learns from a task that has completed: `work` is what the attempt was seen to do.
    pub(super) fn finish(&mut self, run: RunName, queue: &str, spec: &StepSpec, work: &RunWork) {
        if let Some(whole_ms) = work.whole_ms(100) {
            self.observe_finished(run.task.step, queue, spec, whole_ms as u64);
        }
    }

    /// Learns the run time of a finished task at full speed, in milliseconds.
    pub fn observe_finished(&mut self, step: StepName, queue: &str, spec: &StepSpec, ms: u64) {
        let times = self.steps.entry(step).or_default();
        times.estimate_ms = f64::from(spec.estimate_ms);
        push_bounded(&mut times.finished, ms.max(1) as f64);
        if let Some(ratio) = times.ratio() {
            self.observe_ratio(step, StepKind::new(queue, spec), ratio);
        }
    }

    /// Learns the run time of a running attempt as its progress foretells it, in milliseconds.
    pub fn observe_progress(&mut self, run: RunName, spec: &StepSpec, whole_ms: f64) {
        let times = self.steps.entry(run.task.step).or_default();
        times.estimate_ms = f64::from(spec.estimate_ms);
        if times.projected.len() < MAX_SAMPLES || times.projected.contains_key(&run) {
            times.projected.insert(run, whole_ms.max(1.0));
        }
    }

    /// Forgets what the progress of an attempt foretells.
    pub(super) fn remove_run(&mut self, run: RunName) {
        if let Some(times) = self.steps.get_mut(&run.task.step) {
            times.projected.remove(&run);
        }
    }

    /// Forgets the steps of a job.
    pub(super) fn forget_job(&mut self, job: JobId) {
        self.forget_steps(StepName::all_of(job), |_| true);
    }

    /// Forgets the steps of completed occurrences of a job, but for the latest.
    pub(super) fn forget_completed(&mut self, job: JobId, completed: &IndexRanges) {
        let Some(last) = completed
            .last()
            .and_then(|last| last.checked_sub(KEPT_OCCURRENCES))
        else {
            return;
        };
        let steps = StepName::all_between(job, 0, last);
        self.forget_steps(steps, |step| completed.contains(step.occurrence));
    }

    fn forget_steps(
        &mut self,
        steps: RangeInclusive<StepName>,
        is_over: impl Fn(&StepName) -> bool,
    ) {
        let known = self.steps.range(steps).map(|(step, _)| *step);
        let over: Vec<_> = known.filter(is_over).collect();
        for step in over {
            self.steps.remove(&step);
        }
    }

    fn observe_ratio(&mut self, step: StepName, kind: StepKind, ratio: f64) {
        self.observations += 1;
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            let oldest = self.kinds.iter().min_by_key(|(_, ratios)| ratios.latest);
            let oldest = oldest.map(|(&oldest, _)| oldest);
            oldest.map(|oldest| self.kinds.remove(&oldest));
        }
        let kind_ratios = self.kinds.entry(kind).or_default();
        kind_ratios.latest = self.observations;
        let mut known = kind_ratios.ratios.iter_mut();
        match known.find(|(known, _)| *known == step) {
            Some(row) => row.1 = ratio,
            None => push_bounded(&mut kind_ratios.ratios, (step, ratio)),
        }
    }

    /// Returns the expected ratio of run time to estimate of a step of which nothing is known.
    fn ratio(&self, step: StepName, queue: &str, spec: &StepSpec) -> f64 {
        let kind = self.kinds.get(&StepKind::new(queue, spec));
        let prior = kind.and_then(KindRatios::stable).unwrap_or(1.0);
        let known = self.steps.range(StepName::all_of(step.job)).rev();
        let known = known.filter_map(|(&other, times)| Some((other, times.ratio()?)));
        let others: Vec<(StepName, f64)> = known.take(MAX_OTHER_STEPS).collect();
        // The same step of another occurrence does the same work.
        let same = others.iter().find(|(other, _)| other.step == step.step);
        match same {
            Some(&(_, ratio)) => ratio,
            None => {
                let logs: f64 = others.iter().map(|(_, ratio)| ratio.ln()).sum();
                let weight = others.len() as f64 + PRIOR_WEIGHT;
                ((logs + PRIOR_WEIGHT * prior.ln()) / weight).exp()
            }
        }
    }
}

fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() >= MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns a quantile of sorted values, the lower one of two neighbours.
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * share) as usize).copied()
}
