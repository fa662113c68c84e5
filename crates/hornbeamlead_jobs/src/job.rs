//! Jobs as submitted by callers, and the states of jobs and attempts.

use crate::ids::StepName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of tasks of one step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;

/// Maximum length of a job's specification text, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;

/// Specification of a step, that is, of a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor demand of a task, in thousandths of a core.
    pub cpu: u32,
    /// Memory demand of a task, in mebibytes.
    pub memory: u32,
    /// Number of accelerators that a task needs.
    pub accelerators: u32,
    /// Estimated duration of a task, in milliseconds.
    pub estimate_ms: u32,
    /// Indices of earlier steps that must be complete first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether tasks are gang-scheduled: all of them run at once or none does.
    pub gang: bool,
    /// Whether tasks are slower when spread over several racks.
    pub rack_local: bool,
    /// Label that a worker must have.
    pub label: Option<Box<str>>,
    /// Rack that holds the data.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of tasks of the step on one worker; no limit if absent.
    pub spread_limit: Option<u32>,
    /// Whether several attempts of a task may run at the same time.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image are assumed to behave alike.
    pub image: Box<str>,
    /// Upper limit for the tail latency of a serving task, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Whether tasks are best-effort: they use processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Maximum number of tasks that the system may have unavailable at a time through its own
    /// actions; no limit if absent.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns the estimated work of a task, in core-milliseconds.
    #[must_use]
    pub fn task_work(&self) -> f64 {
        f64::from(self.cpu) / 1000.0 * f64::from(self.estimate_ms)
    }
}

/// Due times of the occurrences of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences; 0 for a job that runs once and immediately.
    pub times: u32,
}

impl JobSchedule {
    /// Returns the number of occurrences, which is at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns the due time of an occurrence, in milliseconds since the Unix epoch; 0 for a job
    /// that runs immediately.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match self.times {
            0 => 0,
            _ => {
                let elapsed_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
                self.first_ms.saturating_add(elapsed_ms)
            }
        }
    }
}

/// Job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBody {
    /// Text that is passed to each task unchanged.
    pub spec: Box<str>,
    /// Steps; each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Schedule of the occurrences.
    pub schedule: JobSchedule,
}

impl JobBody {
    /// Returns why the job is invalid, or `None` if it is valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        let depends_on_earlier = |(index, step): (usize, &StepSpec)| {
            step.after
                .iter()
                .all(|&earlier| usize::from(earlier) < index)
        };
        match self {
            _ if self.spec.len() > MAX_SPEC_BYTES => Some("spec is too long"),
            _ if self.steps.is_empty() => Some("no steps"),
            _ if self.steps.len() > MAX_STEPS => Some("too many steps"),
            _ if self.steps.iter().any(|step| step.tasks == 0) => Some("a step without tasks"),
            _ if self.steps.iter().any(|step| step.tasks > MAX_STEP_TASKS) => {
                Some("a step with too many tasks")
            }
            _ if !self.steps.iter().enumerate().all(depends_on_earlier) => {
                Some("a step depends on itself or a later one")
            }
            _ => None,
        }
    }

    /// Returns the estimated work of one occurrence, in core-milliseconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        let work = |step: &StepSpec| f64::from(step.tasks) * step.task_work();
        self.steps.iter().map(work).sum()
    }

    /// Returns the memory that the job takes, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let step_bytes = |step: &StepSpec| {
            let texts = [&step.label, &step.data_rack].into_iter().flatten();
            let texts: usize = texts.map(|text| text.len()).sum();
            texts + step.image.len() + size_of_val(&*step.after) + size_of::<StepSpec>()
        };
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        size_of::<Self>() + self.spec.len() + steps
    }

    /// Returns whether most of the work is that of best-effort tasks.
    #[must_use]
    pub fn is_best_effort(&self) -> bool {
        let work = |step: &StepSpec| f64::from(step.tasks) * step.task_work();
        let best_effort = self.steps.iter().filter(|step| step.best_effort);
        best_effort.map(work).sum::<f64>() > self.work() / 2.0
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.tasks as usize).sum()
    }

    /// Returns the estimated duration of the longest path from the start of each step to the end of
    /// the job, in milliseconds.
    #[must_use]
    pub fn remaining_paths_ms(&self) -> Vec<u64> {
        let mut remaining = vec![0_u64; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            let longest = remaining[index] + u64::from(step.estimate_ms);
            remaining[index] = longest;
            for &earlier in &step.after {
                if let Some(before) = remaining.get_mut(usize::from(earlier)) {
                    *before = longest.max(*before);
                }
            }
        }
        remaining
    }

    /// Returns the estimated duration of the job's critical path, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends = Vec::<u64>::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|&earlier| ends.get(usize::from(earlier)));
            let begin = begin.copied().max().unwrap_or(0);
            ends.push(begin + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// Settings of a queue that apply to a job from its acceptance on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Queue, as host and path prefix.
    pub queue: Box<str>,
    /// Service whose workers run the tasks.
    pub service: Box<str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failed attempts of one task after which the job fails.
    pub max_attempts: u16,
    /// Completion objective as a multiple of the critical path.
    pub target_factor: f32,
    /// Constant part of the completion objective, in milliseconds.
    pub target_latency_ms: u32,
}

/// Accepted job as written to the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Settings of the queue at the time of acceptance.
    pub terms: QueueTerms,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Job as submitted.
    pub body: JobBody,
}

impl JobRecord {
    /// Returns the time from which an occurrence counts, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let due = self.body.schedule.due_ms(occurrence);
        due.max(self.accepted_ms)
    }

    /// Returns the time after its due time within which an occurrence ends on time, in milliseconds.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let path = self.body.critical_path_ms() as f64;
        let scaled_path = f64::from(self.terms.target_factor) * path;
        (scaled_path as u64).saturating_add(self.terms.target_latency_ms.into())
    }

    /// Returns the time at which an occurrence is late, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn deadline_ms(&self, occurrence: u32) -> u64 {
        self.due_ms(occurrence).saturating_add(self.objective_ms())
    }

    /// Returns the specification of a step, or `None` if the job has no such step.
    #[must_use]
    pub fn step(&self, name: StepName) -> Option<&StepSpec> {
        self.body.steps.get(usize::from(name.step))
    }
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the job has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl fmt::Display for JobPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Reason for the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The planner ordered a stop.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The worker's incarnation ended.
    Lost,
    /// The worker did not start the attempt and will not start it later.
    NotStarted,
}

impl fmt::Display for RunEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Lost => "lost",
            Self::NotStarted => "not_started",
        })
    }
}
