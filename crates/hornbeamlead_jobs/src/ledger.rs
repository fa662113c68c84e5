//! State of all jobs, which results from applying the records of the plan stream.

mod crash_chains;
mod crash_facts;
mod crashes;
mod ended_ages;
mod health;
mod index_ranges;
mod job_state;
mod step;

pub use crash_chains::{ChainEvidence, CrashChain, CrashHistory, MIN_CHAIN};
pub use crash_facts::{CrashAge, CrashMoment, CrashRate, CrashRecurrence, CrashedAttempt};
pub use crashes::{CrashSuspicion, FleetUnrest, TaskCrashes};
pub use ended_ages::EndedAges;
pub use health::WorkerFailures;
pub use index_ranges::IndexRanges;
pub use job_state::{JobState, OccurrenceState};
pub use step::{StepState, StepTasks, TaskCounts};

use crate::ids::{
    HostName, JobId, PlannerEpoch, RunName, RunNumber, StreamOffset, TaskName, TaskSlot,
    WorkerIncarnation,
};
use crate::job::{JobPhase, JobRecord, MAX_STEP_TASKS, MAX_STEPS};
use crate::placed::PlacedReport;
use crate::record::PlanRecord;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Attempt that may be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskPlacement {
    /// Number of the attempt.
    pub run: RunNumber,
    /// Host on which the attempt is placed.
    pub host: HostName,
    /// Incarnation of the worker that may run the attempt.
    pub incarnation: WorkerIncarnation,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Highest recorded number of an attempt.
    pub last_run: RunNumber,
    /// Number of attempts that failed.
    pub failures: u16,
    /// Newest checkpoint, if there is one.
    pub saved: Option<Box<str>>,
    /// Whether the task has completed.
    pub done: bool,
    /// Attempts that may be running.
    pub placements: Vec<TaskPlacement>,
}

impl TaskState {
    /// Returns whether the task needs a new attempt.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.done && self.placements.is_empty()
    }
}

/// State of all jobs. What grows with their number is shared with clones until it changes, so that a
/// snapshot does not copy it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobLedger {
    /// Jobs that have not ended, or of which attempts may still be running.
    pub jobs: OrdMap<JobId, Arc<JobState>>,
    /// Final phases of the jobs that have ended and are not forgotten.
    pub ended: OrdMap<JobId, JobPhase>,
    /// When the jobs ended.
    pub ages: EndedAges,
    /// Addresses of agents by host.
    pub hosts: BTreeMap<HostName, SocketAddr>,
    /// Next offset of the jobs stream that the planner reads.
    pub jobs_read: StreamOffset,
    /// Whether all leases were granted for reports that arrived before an append of their planner.
    /// Planners of earlier versions, which store a `Claim`, granted some for later ones.
    pub confirmed_grants: bool,
    /// Longest time that leases of silent hosts last after the latest record about them.
    pub lease_bounds: BTreeMap<HostName, Duration>,
    /// Interference between images as learned by planners, for the next planner. Only snapshots
    /// contain it, no record.
    pub learned: Vec<LearnedInterference>,
    /// Failures and stalls of workers since their last success, by host.
    pub worker_failures: BTreeMap<HostName, WorkerFailures>,
    /// Hosts on which an unfinished task has failed, stalled or was slow. Of the latter only
    /// snapshots tell, no record.
    pub failed_hosts: BTreeMap<TaskName, Vec<HostName>>,
    /// Crashes of workers under tasks.
    pub crashes: BTreeMap<TaskSlot, TaskCrashes>,
    /// Moments at which workers crashed, and the crashes in a row under tasks.
    pub crash_history: CrashHistory,
    /// Epoch of the planner that wrote the snapshot, if it writes a journal. Only snapshots contain
    /// it, no record.
    pub journaled: Option<PlannerEpoch>,
    /// Jobs that were placed and not known to have begun. Only snapshots contain it, no record.
    pub placed: Option<PlacedReport>,
}

/// Learned interference of best-effort tasks of one image with serving tasks of another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// Hash of the serving image.
    pub serving: u64,
    /// Hash of the best-effort image.
    pub best_effort: u64,
    /// Increase of the logarithm of the latency if best-effort tasks use the whole worker.
    pub coefficient: f32,
}

impl JobLedger {
    /// Applies a record of the plan stream, unless it names a task that no job can have.
    pub fn apply(&mut self, record: &PlanRecord) {
        let is_possible =
            |task: TaskName| usize::from(task.step.step) < MAX_STEPS && task.index < MAX_STEP_TASKS;
        match record {
            record if !record.task().is_none_or(is_possible) => {}
            PlanRecord::Claim(_) => {
                self.lease_bounds.clear();
                self.confirmed_grants = false;
            }
            PlanRecord::Takeover(_) => {}
            PlanRecord::GrantsConfirmed => self.confirmed_grants = true,
            PlanRecord::Tick { jobs_read } => {
                self.jobs_read = self.jobs_read.max(*jobs_read);
                self.ages.count_heartbeat();
                self.count_heartbeat();
            }
            PlanRecord::Accepted { job, .. } if self.ended.contains_key(job) => {}
            PlanRecord::Accepted { job, queue } => {
                let make = || Arc::new(JobState::new(queue.clone()));
                self.jobs.entry(*job).or_insert_with(make);
            }
            PlanRecord::Started {
                run,
                host,
                incarnation,
            } => self.begin_run(*run, host, incarnation),
            PlanRecord::Ended { run, end, saved } => {
                self.note_end(*run, *end);
                self.clear_crashes(*run, *end);
                if let Some(job) = self.job_mut(run.task.step.job) {
                    job.end_run(*run, *end, saved.clone());
                }
                self.remove_if_idle(run.task.step.job);
            }
            PlanRecord::Stalled { run } => self.note_stall(*run),
            PlanRecord::Crashed { run, suspicion } => self.note_crash(*run, *suspicion),
            PlanRecord::Sound { run } => self.note_sound(*run),
            PlanRecord::WorkerCrashed {
                moment,
                host,
                attempts,
            } => self.note_worker_crash(*moment, host, attempts),
            PlanRecord::Outlived { run } => self.note_outlived(*run),
            PlanRecord::Closed { job, phase } => {
                if let Some(state) = self.job_mut(*job) {
                    state.phase = *phase;
                }
                if *phase == JobPhase::Failed {
                    self.explain_crashes(*job);
                }
                if self.ended.insert(*job, *phase).is_none() {
                    self.ages.add(*job);
                }
                self.remove_if_idle(*job);
            }
            PlanRecord::Forgotten { jobs } => {
                for job in jobs {
                    self.ended.remove(job);
                    self.ages.remove(*job);
                }
            }
            PlanRecord::Host { host, address } => {
                self.hosts.insert(host.clone(), *address);
            }
            PlanRecord::LeaseBound { host, remaining_ms } => match remaining_ms {
                Some(remaining_ms) => {
                    let remaining = Duration::from_millis((*remaining_ms).into());
                    self.lease_bounds.insert(host.clone(), remaining);
                }
                None => {
                    self.lease_bounds.remove(host);
                }
            },
        }
    }

    fn begin_run(&mut self, run: RunName, host: &HostName, incarnation: &WorkerIncarnation) {
        let Some(job) = self.job_mut(run.task.step.job) else {
            return;
        };
        if !job.phase.is_final() {
            job.phase = JobPhase::Running;
        }
        job.change_task(run.task, |task| {
            task.last_run = task.last_run.max(run.run);
            task.placements.push(TaskPlacement {
                run: run.run,
                host: host.clone(),
                incarnation: incarnation.clone(),
            });
        });
    }

    /// Returns a job to change. A snapshot that is being written keeps its state.
    fn job_mut(&mut self, job: JobId) -> Option<&mut JobState> {
        self.jobs.get_mut(&job).map(Arc::make_mut)
    }

    /// Opens an occurrence of a job whose record is known, unless it is open or over.
    pub fn open_occurrence(&mut self, job: JobId, occurrence: u32) {
        if let Some(state) = self.job_mut(job) {
            state.open_occurrence(occurrence);
        }
    }

    /// Removes the tasks of a job that has ended, once none of its attempts may be running.
    fn remove_if_idle(&mut self, job: JobId) {
        let idle = |state: &Arc<JobState>| state.phase.is_final() && state.is_idle();
        if self.jobs.get(&job).is_some_and(idle) {
            self.jobs.remove(&job);
            self.forget_tasks(job);
            self.forget_crashes(job);
        }
    }

    /// Sets the record of a job, which is read from the jobs stream.
    pub fn set_record(&mut self, job: JobId, record: Arc<JobRecord>) {
        if let Some(state) = self.job_mut(job) {
            state.set_record(record);
        }
        self.remove_if_idle(job);
    }

    /// Counts the jobs whose end is in no record as ended now, since snapshots of earlier versions do not
    /// tell when they ended.
    pub fn complete_ages(&mut self) {
        for &job in self.ended.keys() {
            self.ages.add(job);
        }
    }

    /// Returns the phase of a job, or `None` if the job is unknown.
    #[must_use]
    pub fn phase(&self, job: JobId) -> Option<JobPhase> {
        let live = self.jobs.get(&job).map(|state| state.phase);
        live.or_else(|| self.ended.get(&job).copied())
    }

    /// Returns the state of a task and of its job.
    #[must_use]
    pub fn task(&self, name: TaskName) -> Option<(&JobState, &TaskState)> {
        let job = self.jobs.get(&name.step.job)?;
        Some((job, job.task(name)?))
    }

    /// Returns the placement of an attempt, or `None` if it cannot be running.
    #[must_use]
    pub fn placement(&self, run: RunName) -> Option<&TaskPlacement> {
        let (_, task) = self.task(run.task)?;
        task.placements
            .iter()
            .find(|placement| placement.run == run.run)
    }

    /// Sets the newest checkpoint of a running attempt; it is recorded with the attempt's end.
    pub fn record_checkpoint(&mut self, run: RunName, saved: &str) {
        if self.placement(run).is_none() {
            return;
        }
        let known = self.newest_checkpoint(run.task);
        if known != Some(saved)
            && let Some(job) = self.job_mut(run.task.step.job)
        {
            job.change_task(run.task, |task| task.saved = Some(saved.into()));
        }
    }

    fn newest_checkpoint(&self, task: TaskName) -> Option<&str> {
        self.task(task)?.1.saved.as_deref()
    }
}
