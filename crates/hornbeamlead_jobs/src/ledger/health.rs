//! Failures of workers and of tasks, which follow from the plan's records, so that the next planner
//! knows them.

use super::JobLedger;
use crate::ids::{HostName, JobId, RunName, StepName, TaskName, WorkerIncarnation};
use crate::job::RunEnd;
use serde::{Deserialize, Serialize};

/// Most hosts kept per task in the list of hosts on which it failed.
const MAX_FAILED_HOSTS: usize = 4;

/// Heartbeats after a worker's latest failure after which its failures are no longer known, so that
/// it is tried again: 30 s at least.
const FAILURE_HEARTBEATS: u32 = 120;

/// Failures of a worker since its last success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFailures {
    /// Incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// Number of attempts that failed or stalled.
    pub count: u32,
    /// Heartbeats of planners since the latest failure.
    pub heartbeats: u32,
}

impl JobLedger {
    /// Returns the failures of a worker.
    #[must_use]
    pub fn failures_of(
        &self,
        host: &HostName,
        incarnation: &WorkerIncarnation,
    ) -> Option<&WorkerFailures> {
        let failures = self.worker_failures.get(host);
        failures.filter(|failures| failures.incarnation == *incarnation)
    }

    /// Has the next attempts of a task avoid a host.
    pub fn avoid_host(&mut self, task: TaskName, host: HostName) {
        if !self.jobs.contains_key(&task.step.job) {
            return;
        }
        let hosts = self.failed_hosts.entry(task).or_default();
        hosts.push(host);
        if hosts.len() > MAX_FAILED_HOSTS {
            hosts.remove(0);
        }
    }

    /// Counts a failure of a worker.
    fn count_failure(&mut self, host: &HostName, incarnation: &WorkerIncarnation) {
        let earlier = self.failures_of(host, incarnation);
        let failures = WorkerFailures {
            incarnation: incarnation.clone(),
            count: earlier.map_or(0, |failures| failures.count) + 1,
            heartbeats: 0,
        };
        self.worker_failures.insert(host.clone(), failures);
    }

    /// Notes the end of an attempt, which is still placed unless its end was recorded before.
    pub(super) fn note_end(&mut self, run: RunName, end: RunEnd) {
        let placement = self.placement(run).cloned();
        match (end, placement) {
            (RunEnd::Failed, Some(placement)) => {
                self.count_failure(&placement.host, &placement.incarnation);
                self.avoid_host(run.task, placement.host);
            }
            (RunEnd::Done, placement) => {
                self.failed_hosts.remove(&run.task);
                if let Some(placement) = placement {
                    self.worker_failures.remove(&placement.host);
                }
            }
            _ => {}
        }
    }

    /// Notes that an attempt makes no progress.
    pub(super) fn note_stall(&mut self, run: RunName) {
        if let Some(placement) = self.placement(run).cloned() {
            self.count_failure(&placement.host, &placement.incarnation);
            self.avoid_host(run.task, placement.host);
        }
    }

    /// Counts a heartbeat, and forgets failures that are too old.
    pub(super) fn count_heartbeat(&mut self) {
        self.worker_failures.retain(|_, failures| {
            failures.heartbeats += 1;
            failures.heartbeats < FAILURE_HEARTBEATS
        });
    }

    /// Forgets the failures of the tasks of a job.
    pub(super) fn forget_tasks(&mut self, job: JobId) {
        let steps = StepName::all_of(job);
        let task = |step: &StepName, index| TaskName { step: *step, index };
        let names = task(steps.start(), 0)..=task(steps.end(), u32::MAX);
        let tasks = self.failed_hosts.range(names).map(|(task, _)| *task);
        let tasks: Vec<_> = tasks.collect();
        for task in tasks {
            self.failed_hosts.remove(&task);
        }
    }
}
