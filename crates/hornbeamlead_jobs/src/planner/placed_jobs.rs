//! Keeps the number of jobs by queue that are placed and not known to have begun, for the heartbeat.

use super::PlannerMachine;
use super::load_report::CONNECT_TIME;
use crate::ids::JobId;
use crate::job::{JobPhase, RunEnd};
use crate::ledger::{JobState, StepState, TaskState};
use crate::message::HostReport;
use crate::operators::OperatorFormat;
use crate::placed::{PlacedReport, PlacedRow, QueueHash};
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Placed job of which no worker is known to have begun a task.
#[derive(Clone, Copy, Debug)]
struct PlacedJob {
    queue: QueueHash,
    /// Whether a planner before placed the job and may know that it has begun.
    inherited: bool,
}

/// Placed jobs of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueCount {
    own: u32,
    inherited: u32,
}

impl QueueCount {
    fn of_mut(&mut self, job: PlacedJob) -> &mut u32 {
        match job.inherited {
            true => &mut self.inherited,
            false => &mut self.own,
        }
    }
}

/// Placed jobs that are not known to have begun, counted by queue.
#[derive(Debug, Default)]
pub(super) struct PlacedTracker {
    jobs: BTreeMap<JobId, PlacedJob>,
    counts: BTreeMap<QueueHash, QueueCount>,
    /// Newest report of the planner before. Which jobs it counted is not known, but not more of the
    /// inherited ones.
    earlier: Option<PlacedReport>,
}

impl PlacedTracker {
    /// Forgets all jobs, and starts from the report in the heartbeat of a planner before.
    pub(super) fn restart(&mut self, earlier: Option<PlacedReport>) {
        *self = Self {
            earlier,
            ..Self::default()
        };
    }

    fn add(&mut self, name: JobId, job: PlacedJob) {
        if let Entry::Vacant(entry) = self.jobs.entry(name) {
            entry.insert(job);
            *self.counts.entry(job.queue).or_default().of_mut(job) += 1;
        }
    }

    fn remove(&mut self, name: JobId) {
        let Some(job) = self.jobs.remove(&name) else {
            return;
        };
        let Some(count) = self.counts.get_mut(&job.queue) else {
            return;
        };
        *count.of_mut(job) -= 1;
        if count.own == 0 && count.inherited == 0 {
            self.counts.remove(&job.queue);
        }
    }

    /// Returns the report. Inherited jobs count up to what the planner before stated. If it stated
    /// nothing, they count in full, and there is no report until hosts have had time to report what
    /// runs.
    fn report(&self, connected: bool) -> Option<PlacedReport> {
        let is_bounded = self.earlier.is_some();
        if !connected && !is_bounded && self.counts.values().any(|count| count.inherited > 0) {
            return None;
        }
        let bound = |queue: QueueHash| match &self.earlier {
            Some(earlier) => earlier.jobs(queue).unwrap_or(earlier.rest_jobs),
            None => u32::MAX,
        };
        let row = |(&queue, count): (&QueueHash, &QueueCount)| {
            let inherited = count.inherited.min(bound(queue));
            let jobs = count.own.saturating_add(inherited);
            (jobs > 0).then_some(PlacedRow { queue, jobs })
        };
        let rows = self.counts.iter().filter_map(row).collect();
        Some(PlacedReport::new(rows))
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Notes what a record, which has not been applied yet, means for placed jobs.
    pub(super) fn track_placed(&mut self, record: &PlanRecord) {
        match record {
            PlanRecord::Started { run, .. } => {
                let name = run.task.step.job;
                let state = self.ledger.jobs.get(&name);
                if let Some(state) = state.filter(|state| state.phase == JobPhase::Queued) {
                    let queue = QueueHash::of(&state.queue);
                    let inherited = false;
                    self.placed.add(name, PlacedJob { queue, inherited });
                }
            }
            PlanRecord::Closed { job, .. } => self.placed.remove(*job),
            _ => {}
        }
    }

    /// Adopts the running jobs of earlier planners, of which the ledger shows no work.
    pub(super) fn adopt_placed(&mut self) {
        for (&name, state) in &self.ledger.jobs {
            if state.phase == JobPhase::Running && !shows_work(state) {
                let queue = QueueHash::of(&state.queue);
                let inherited = true;
                self.placed.add(name, PlacedJob { queue, inherited });
            }
        }
    }

    /// Notes the jobs of which a worker lists a task as running or ended.
    pub(super) fn note_begun(&mut self, report: &HostReport) {
        let running = report.running.iter().map(|row| row.run);
        let has_run = |end: RunEnd| !matches!(end, RunEnd::Lost | RunEnd::NotStarted);
        let ended = report.ended.iter().filter(|row| has_run(row.end));
        for run in running.chain(ended.map(|row| row.run)) {
            self.placed.remove(run.task.step.job);
        }
    }

    /// Returns the report for a heartbeat; `None` until the state is recovered and enough is known.
    pub(super) fn placed_report(&self, now: MonoTime) -> Option<PlacedReport> {
        let connected = now.since(self.started_at) >= CONNECT_TIME;
        match self.recovery {
            Some(_) => None,
            None => self.placed.report(connected),
        }
    }
}

/// Returns whether the plan shows that a worker has begun a task of a job.
fn shows_work(state: &JobState) -> bool {
    let has_run = |(_, task): (u32, &TaskState)| task.failures > 0 || task.saved.is_some();
    let has_worked = |step: &StepState| {
        let is_any_done = step.counts().unfinished < step.len();
        is_any_done || step.touched().any(has_run)
    };
    let mut steps = state.occurrences.values().flat_map(|open| &open.steps);
    !state.completed().is_empty() || steps.any(has_worked)
}
