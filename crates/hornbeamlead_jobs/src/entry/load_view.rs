//! What an entry knows of the load: the planner's newest report, and the work that this entry has
//! accepted and the report leaves out.

use super::admission::{LoadFacts, QueueHistory};
use crate::ids::JobId;
use crate::job::QueueTerms;
use crate::load::{JobWork, LoadReport};
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Most jobs that are kept while no report says which of them it includes.
const MAX_ACCEPTED: usize = 20_000;

/// Time after which accepted work no longer counts, if no report shows that the plan contains it.
const MAX_ACCEPTED_AGE: Duration = Duration::from_secs(3);

/// Factor by which counts of jobs fade with each report.
const FADE_FACTOR: f64 = 0.95;

/// Greatest number of entries that are assumed to accept jobs at the rate of this one.
const MAX_ENTRIES: f64 = 8.0;

/// Least faded number of own jobs that tells how many entries there are.
const MIN_OWN_PLANNED: f64 = 0.5;

/// Most queues of which decisions are kept.
const MAX_QUEUES: usize = 1000;

/// Work of a job that this entry has accepted, or is about to.
#[derive(Clone, Debug)]
struct AcceptedWork {
    service: Box<str>,
    priority: u8,
    work: JobWork,
    at: MonoTime,
}

/// Newest load report and accepted work.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadView {
    /// Report, and a time before which it was not stored.
    report: Option<(MonoTime, LoadReport)>,
    accepted: HashMap<JobId, AcceptedWork>,
    /// Number of jobs that the plan has accepted lately, and how many of them this entry accepted.
    planned: f64,
    own_planned: f64,
    /// Last decisions by queue.
    histories: BTreeMap<Box<str>, QueueHistory>,
}

impl LoadView {
    /// Takes a report that was stored after `stored_after`. Accepted jobs that the plan contained
    /// before are part of it.
    pub(super) fn take(
        &mut self,
        stored_after: MonoTime,
        report: LoadReport,
        is_planned: impl Fn(JobId) -> bool,
    ) {
        self.accepted.retain(|&job, accepted| {
            !is_planned(job) && stored_after.since(accepted.at) <= MAX_ACCEPTED_AGE
        });
        self.report = Some((stored_after, report));
        self.planned *= FADE_FACTOR;
        self.own_planned *= FADE_FACTOR;
    }

    /// Counts a job that the plan has accepted.
    pub(super) fn count_planned(&mut self, job: JobId) {
        self.planned += 1.0;
        if self.accepted.contains_key(&job) {
            self.own_planned += 1.0;
        }
    }

    /// Counts the decision on a job of a queue.
    pub(super) fn count_decision(&mut self, queue: &str, work: JobWork, share: f64) {
        match self.histories.get_mut(queue) {
            Some(history) => history.add(work, share),
            None => {
                if self.histories.len() >= MAX_QUEUES {
                    self.histories.clear();
                }
                let mut history = QueueHistory::new(work);
                history.add(work, share);
                self.histories.insert(queue.into(), history);
            }
        }
    }

    /// Returns the number of entries that would accept what the plan shows, each as much as this one.
    fn entries(&self) -> f64 {
        match self.own_planned {
            own if own < MIN_OWN_PLANNED => 1.0,
            own => (self.planned / own).clamp(1.0, MAX_ENTRIES),
        }
    }

    /// Adds a job whose append has been sent.
    pub(super) fn add(&mut self, now: MonoTime, job: JobId, terms: &QueueTerms, work: JobWork) {
        // Reports remove old work; without any, nothing is decided by it.
        if self.accepted.len() >= MAX_ACCEPTED {
            self.accepted.clear();
        }
        let accepted = AcceptedWork {
            service: terms.service.clone(),
            priority: terms.priority,
            work,
            at: now,
        };
        self.accepted.insert(job, accepted);
    }

    /// Removes a job that was not stored.
    pub(super) fn remove(&mut self, job: JobId) {
        self.accepted.remove(&job);
    }

    /// Returns what is known of the load for a job; `None` without a report.
    pub(super) fn facts(&self, now: MonoTime, terms: &QueueTerms) -> Option<LoadFacts<'_>> {
        let (stored_after, report) = self.report.as_ref()?;
        let mut accepted = JobWork::default();
        let earlier = self.accepted.values().filter(|earlier| {
            earlier.service == terms.service && earlier.priority <= terms.priority
        });
        for earlier in earlier {
            accepted.add(earlier.work);
        }
        Some(LoadFacts {
            report,
            age: now.since(*stored_after),
            accepted: accepted.times(self.entries()),
            history: self.histories.get(&terms.queue).copied(),
        })
    }

    /// Returns the newest report and its age.
    pub(super) fn newest(&self, now: MonoTime) -> Option<(&LoadReport, Duration)> {
        let (stored_after, report) = self.report.as_ref()?;
        Some((report, now.since(*stored_after)))
    }
}
