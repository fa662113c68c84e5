//! Decides whether a job is worth accepting, given the work that waits before it.
//!
//! Each entry decides alone, from the planner's newest load report and the work that entries have
//! accepted since, of which it knows its own part. A job that would end after [`MAX_OBJECTIVES`]
//! times its objective even if it started in its turn is rejected. Around that limit a random share is admitted, so that several
//! entries with one report neither admit nor reject everything.

use crate::job::{JobBody, QueueTerms};
use crate::load::{JobWork, LoadReport};
use std::cmp::Ordering;
use std::time::Duration;

/// Multiple of its objective after which a job's completion has no value to its caller.
const MAX_OBJECTIVES: f64 = 3.0;

/// Highest factor on the critical path that is taken from a configuration. A number without bounds
/// would exceed the range of a duration.
const MAX_TARGET_FACTOR: f64 = 1000.0;

/// Age of a load report beyond which it decides nothing.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Expected end as a multiple of the limit at which no job is admitted any more; from the limit on,
/// the admitted share falls evenly.
const NO_ADMISSION: f64 = 1.5;

/// Share of the waiting work that counts as before a job that is small against the jobs that wait:
/// it gains much worth for little room, so it is served before most of them.
const SMALL_JOB_SHARE: f64 = 0.25;

/// Least admitted share of a queue's large jobs, as a part of that of all its jobs lately. Without
/// it, large jobs would not be served at all while small ones are.
const LARGE_JOB_SHARE: f64 = 0.6;

/// Work of a large job, as a multiple of the median of its queue.
const LARGE_JOB_WORK: f64 = 1.1;

/// Weight of one decision in the admitted share, and share by which one job moves the median.
const HISTORY_WEIGHT: f64 = 0.05;

/// Last decisions on the jobs of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueHistory {
    /// Admitted share.
    share: f64,
    /// Approximate median of the work, in thousandths of a core-second.
    median: f64,
}

impl QueueHistory {
    /// Creates the history of a queue whose first job has the given work.
    #[must_use]
    pub fn new(work: JobWork) -> Self {
        Self {
            share: 1.0,
            median: work.total().0.max(1) as f64,
        }
    }

    /// Adds a decision on a job.
    pub fn add(&mut self, work: JobWork, share: f64) {
        self.share += (share - self.share) * HISTORY_WEIGHT;
        self.median *= match (work.total().0 as f64).total_cmp(&self.median) {
            Ordering::Less => 1.0 - HISTORY_WEIGHT,
            Ordering::Equal => 1.0,
            Ordering::Greater => 1.0 + HISTORY_WEIGHT,
        };
        self.median = self.median.max(1.0);
    }

    /// Returns the least share that is admitted of jobs of the given work.
    fn least_share(&self, work: JobWork) -> f64 {
        match work.total().0 as f64 > LARGE_JOB_WORK * self.median {
            true => LARGE_JOB_SHARE * self.share,
            false => 0.0,
        }
    }
}

/// Load report with what else an entry knows of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadFacts<'a> {
    /// Newest report.
    pub report: &'a LoadReport,
    /// Upper bound of its age.
    pub age: Duration,
    /// Work of at least the job's priority that entries have accepted and the report leaves out.
    pub accepted: JobWork,
    /// Last decisions on the job's queue, if there were any.
    pub history: Option<QueueHistory>,
}

/// Job that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobFacts {
    /// Work of its tasks.
    pub work: JobWork,
    /// Duration of its critical path.
    pub path: Duration,
    /// Whether it runs at once and to its end, so that it has a completion objective.
    pub has_objective: bool,
}

impl From<&JobBody> for JobFacts {
    fn from(body: &JobBody) -> Self {
        let long_running = body.steps.iter().any(|step| step.long_running);
        Self {
            work: JobWork::of_job(body),
            path: Duration::from_millis(body.critical_path_ms()),
            has_objective: !long_running && body.schedule.times == 0,
        }
    }
}

/// Why a job was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectionFacts {
    /// Age of the report that decided.
    pub age: Duration,
    /// Expected wait before the job starts.
    pub wait: Duration,
    /// Time after which its completion has no value.
    pub limit: Duration,
    /// Share of such jobs that is admitted.
    pub share: f64,
    /// Random number that decided.
    pub random: f64,
}

impl RejectionFacts {
    /// Returns the time after which the present work before the job would let it end in time.
    #[must_use]
    pub fn excess(&self, path: Duration) -> Duration {
        self.wait.saturating_add(path).saturating_sub(self.limit)
    }
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Share of such jobs that is admitted.
    pub share: f64,
    /// Why this one is rejected, unless it is admitted.
    pub rejection: Option<RejectionFacts>,
}

impl AdmissionDecision {
    const ADMITTED: Self = Self {
        share: 1.0,
        rejection: None,
    };
}

/// Decides on a job. Without a recent report, and for jobs without an objective, nothing is
/// rejected.
#[must_use]
pub fn decide(
    load: Option<LoadFacts<'_>>,
    terms: &QueueTerms,
    job: JobFacts,
    random: f64,
) -> AdmissionDecision {
    let factor = f64::from(terms.target_factor).clamp(0.0, MAX_TARGET_FACTOR);
    let scaled_path = job.path.mul_f64(factor);
    let objective = scaled_path + Duration::from_millis(terms.target_latency_ms.into());
    let has_objective = job.has_objective && !objective.is_zero();
    let Some(load) = load.filter(|load| has_objective && load.age <= MAX_REPORT_AGE) else {
        return AdmissionDecision::ADMITTED;
    };
    let limit = objective.mul_f64(MAX_OBJECTIVES);
    let wait = expected_wait(&load, terms, job.work);
    let ratio = wait.saturating_add(job.path).as_secs_f64() / limit.as_secs_f64();
    let share = ((NO_ADMISSION - ratio) / (NO_ADMISSION - 1.0)).clamp(0.0, 1.0);
    let least_share = load.history.map(|history| history.least_share(job.work));
    let share = share.max(least_share.unwrap_or(0.0));
    let rejection = (random >= share).then_some(RejectionFacts {
        age: load.age,
        wait,
        limit,
        share,
        random,
    });
    AdmissionDecision { share, rejection }
}

/// Returns the share of the waiting work that counts as before a job, by its size against the mean
/// of the jobs that wait.
fn size_share(load: &LoadFacts<'_>, terms: &QueueTerms, work: JobWork) -> f64 {
    let rows = || {
        let of_service = |row: &&crate::load::LoadRow| row.service == terms.service;
        load.report.rows.iter().filter(of_service)
    };
    let jobs = rows().map(|row| f64::from(row.jobs)).sum::<f64>();
    let waiting = rows().map(|row| row.work.0 as f64).sum::<f64>();
    let mean = waiting / jobs.max(1.0);
    (work.total().0 as f64 / mean.max(1.0)).clamp(SMALL_JOB_SHARE, 1.0)
}

/// Returns the time until the work before a job is complete. A service or class without a row has
/// no work that waits.
fn expected_wait(load: &LoadFacts<'_>, terms: &QueueTerms, work: JobWork) -> Duration {
    let share = size_share(load, terms, work);
    let class_wait = |best_effort: bool| {
        let rows = load.report.rows.iter().filter(|row| {
            row.service == terms.service
                && row.best_effort == best_effort
                && row.priority <= terms.priority
        });
        let sums = rows.fold((0.0, 0), |(waiting, _), row| {
            (waiting + row.work.0 as f64, row.speed)
        });
        match sums {
            (_, 0) => Duration::ZERO,
            (waiting, speed) => {
                let before = waiting * share + load.accepted.class(best_effort).0 as f64;
                Duration::try_from_secs_f64(before / f64::from(speed)).unwrap_or(Duration::MAX)
            }
        }
    };
    let classes = [false, true].into_iter();
    let classes = classes.filter(|&class| work.class(class).0 > 0);
    classes.map(class_wait).max().unwrap_or_default()
}
