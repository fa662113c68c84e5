//! Jobs as callers hand them in.

use crate::ids::StepName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most tasks of one step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Most steps of a job.
pub const MAX_STEPS: usize = 256;

/// Longest specification text of a job, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;

/// A number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor share of a task, in thousandths of a core.
    pub cpu: u32,
    /// Memory of a task, in mebibytes.
    pub memory: u32,
    /// Accelerators of a task.
    pub accelerators: u32,
    /// Rough duration of a task, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether tasks run all together or not at all.
    pub gang: bool,
    /// Whether tasks are slower when spread over racks.
    pub rack_local: bool,
    /// Label that a worker must have.
    pub label: Option<Box<str>>,
    /// Rack that holds the data.
    pub data_rack: Option<Box<str>>,
    /// Most tasks of the step on one worker; no limit when absent.
    pub spread_limit: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Box<str>,
    /// Tail latency that a serving task must stay below, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Whether tasks live on processor time that others leave unused.
    pub best_effort: bool,
    /// Tasks that may be away at a time through the system's own actions; none is promised if absent.
    pub may_miss: Option<u32>,
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Span between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences; 0 for a job that runs once and at once.
    pub times: u32,
}

impl JobSchedule {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match self.times {
            0 => 0,
            _ => self.first_ms + u64::from(occurrence) * self.interval_ms,
        }
    }
}

/// What a caller handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBody {
    /// Text that goes to each task unchanged.
    pub spec: Box<str>,
    /// Steps, in order.
    pub steps: Vec<StepSpec>,
    /// Occurrences.
    pub schedule: JobSchedule,
}

impl JobBody {
    /// Says what makes the body unfit to be accepted, if anything.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        let orderly = |(index, step): (usize, &StepSpec)| {
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
            _ if !self.steps.iter().enumerate().all(orderly) => {
                Some("a step depends on itself or a later one")
            }
            _ => None,
        }
    }

    /// Returns the longest chain of estimates from a step to the end, in milliseconds.
    #[must_use]
    pub fn remaining_path_ms(&self, first: usize) -> u64 {
        let mut rests = vec![0_u64; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            let rest = rests[index] + u64::from(step.estimate_ms);
            rests[index] = rest;
            for &earlier in &step.after {
                if let Some(before) = rests.get_mut(usize::from(earlier)) {
                    *before = rest.max(*before);
                }
            }
        }
        rests.get(first).copied().unwrap_or(0)
    }

    /// Returns the longest chain of estimates, in milliseconds.
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

/// Terms of the queue under which a job was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Queue, as host and path prefix.
    pub queue: Box<str>,
    /// Service whose workers run the tasks.
    pub service: Box<str>,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Failed attempts of one task after which the job has failed.
    pub max_attempts: u16,
    /// Objective: this many times the longest chain of work.
    pub target_factor: f32,
    /// Objective: this many milliseconds more.
    pub target_latency_ms: u32,
}

/// Accepted job, as it lies in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Terms at acceptance.
    pub terms: QueueTerms,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// What the caller handed in.
    pub body: JobBody,
}

impl JobRecord {
    /// Returns a step of the job.
    #[must_use]
    pub fn step(&self, name: StepName) -> Option<&StepSpec> {
        self.body.steps.get(usize::from(name.step))
    }
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// All work is done.
    Done,
    /// Failed, by its own fault or the worker's.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
    /// The life of the worker that ran it has ended.
    Lost,
    /// The worker never began it and never will.
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
