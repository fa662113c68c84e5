//! Identifiers of jobs, tasks, attempts, planner epochs and worker incarnations.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Error for a text that is no valid job or task identifier.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct IdError {
    text: Box<str>,
    expected: &'static str,
}

impl IdError {
    fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.into(),
            expected,
        }
    }
}

/// Number of hexadecimal digits of a job id in text form.
const JOB_DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller and written as 16 lower-case hexadecimal digits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let error = || IdError::new(text, "16 lower-case hexadecimal digits");
        if text.len() != JOB_DIGITS || !text.chars().all(digits) {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

/// Identifier of a step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct StepName {
    /// Job to which the step belongs.
    pub job: JobId,
    /// Occurrence of a recurring job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl StepName {
    /// Returns the range of all steps that a job can have.
    #[must_use]
    pub fn all_of(job: JobId) -> RangeInclusive<Self> {
        Self::all_between(job, 0, u32::MAX)
    }

    /// Returns the range of all steps that some occurrences of a job can have.
    #[must_use]
    pub fn all_between(job: JobId, first: u32, last: u32) -> RangeInclusive<Self> {
        let name = |occurrence, step| Self {
            job,
            occurrence,
            step,
        };
        name(first, 0)..=name(last, u16::MAX)
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct TaskName {
    /// Step to which the task belongs.
    pub step: StepName,
    /// Index within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || IdError::new(text, "JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| error())?;
        let step = next()?.parse().map_err(|_| error())?;
        let index = next()?.parse().map_err(|_| error())?;
        let step = StepName {
            job,
            occurrence,
            step,
        };
        match parts.next() {
            None => Ok(Self { step, index }),
            Some(_) => Err(error()),
        }
    }
}

/// Task of a job in whichever occurrence: all occurrences of a job run the same tasks.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct TaskSlot {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the step in the job, from 0.
    pub step: u16,
    /// Index within the step, from 0.
    pub index: u32,
}

impl From<TaskName> for TaskSlot {
    fn from(task: TaskName) -> Self {
        Self {
            job: task.step.job,
            step: task.step.step,
            index: task.index,
        }
    }
}

/// Number of an attempt of a task; starts at 1 and increases with each attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct RunNumber(pub u32);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl RunNumber {
    /// Returns the number that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Identifier of one attempt of a task, written as `TASK#RUN`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct RunName {
    /// Task that is attempted.
    pub task: TaskName,
    /// Number of the attempt.
    pub run: RunNumber,
}

impl fmt::Display for RunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Epoch of a planner; a later planner has a greater one. Serves as the fencing token at workers.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct PlannerEpoch(pub u64);

impl fmt::Display for PlannerEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a call to the store, which distinguishes it from other calls of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallNumber(pub u64);

/// Number of a reader of a stream, which distinguishes it from earlier ones of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReaderNumber(pub u64);

/// Incarnation of a worker, which lasts from the start to the end of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default)]
pub struct WorkerIncarnation {
    /// Id under which the worker announces itself; a restarted worker may use the same one.
    pub id: Box<str>,
    /// Start of the worker process, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

/// Name of a host.
pub type HostName = Box<str>;

/// Position in a stream of the store.
pub type StreamOffset = u64;
