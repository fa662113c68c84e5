//! Index of the phases of all jobs, which an entry builds from the plan stream.

use crate::ids::JobId;
use crate::job::JobPhase;
use crate::ledger::JobLedger;
use crate::record::PlanRecord;
use std::collections::HashMap;

/// Phase and queue of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexedJob {
    phase: JobPhase,
    queue: Box<str>,
}

/// Phases of all jobs, and the numbers of queued and of recently placed jobs by queue.
#[derive(Clone, Debug, Default)]
pub struct PhaseIndex {
    jobs: HashMap<JobId, IndexedJob>,
    waiting: HashMap<Box<str>, usize>,
    /// Number of jobs placed since the planner's last placed report, by queue.
    placed: HashMap<Box<str>, usize>,
}

impl From<&JobLedger> for PhaseIndex {
    fn from(ledger: &JobLedger) -> Self {
        let mut index = Self::default();
        for (&job, &phase) in &ledger.ended {
            index.insert(job, "".into(), phase);
        }
        for (&job, state) in &ledger.jobs {
            index.insert(job, state.queue.clone(), state.phase);
        }
        index
    }
}

impl PhaseIndex {
    /// Applies a record of the plan stream.
    pub fn apply(&mut self, record: &PlanRecord) {
        match record {
            PlanRecord::Accepted { job, .. } if self.jobs.contains_key(job) => {}
            PlanRecord::Accepted { job, queue } => {
                self.insert(*job, queue.clone(), JobPhase::Queued);
            }
            PlanRecord::Started { run, .. } => self.advance(run.task.step.job, JobPhase::Running),
            PlanRecord::Closed { job, phase } => self.advance(*job, *phase),
            PlanRecord::Forgotten { jobs } => {
                for job in jobs {
                    self.jobs.remove(job);
                }
            }
            _ => {}
        }
    }

    /// Returns the phase of a job, or `None` if the plan does not contain it.
    #[must_use]
    pub fn phase(&self, job: JobId) -> Option<JobPhase> {
        self.jobs.get(&job).map(|indexed| indexed.phase)
    }

    /// Returns the number of jobs of a queue of which no task has been placed.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> usize {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Returns the number of jobs of a queue of which a first task has been placed since the
    /// planner's last placed report, which says nothing of them.
    #[must_use]
    pub fn placed(&self, queue: &str) -> usize {
        self.placed.get(queue).copied().unwrap_or(0)
    }

    /// Forgets which jobs have been placed lately, as a placed report includes them.
    pub fn forget_placed(&mut self) {
        self.placed.clear();
    }

    /// Returns the number of jobs in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether the index contains no job.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn insert(&mut self, job: JobId, queue: Box<str>, phase: JobPhase) {
        if phase == JobPhase::Queued {
            *self.waiting.entry(queue.clone()).or_default() += 1;
        }
        self.jobs.insert(job, IndexedJob { phase, queue });
    }

    fn advance(&mut self, job: JobId, phase: JobPhase) {
        let Some(indexed) = self.jobs.get_mut(&job) else {
            return;
        };
        if indexed.phase.is_final() {
            return;
        }
        let left_queue = indexed.phase == JobPhase::Queued && phase != JobPhase::Queued;
        indexed.phase = phase;
        if left_queue && let Some(count) = self.waiting.get_mut(&indexed.queue) {
            *count = count.saturating_sub(1);
        }
        if left_queue && phase == JobPhase::Running {
            *self.placed.entry(indexed.queue.clone()).or_default() += 1;
        }
    }
}
