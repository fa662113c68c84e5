//! Task attempts on workers, and the agent's calls to its worker.

use crate::clock::MonoTime;
use crate::ids::{AttemptId, KindName, TaskId};
use crate::note::DeliveryMode;
use crate::resource::ResourceSize;
use std::time::Duration;

/// Handle of a checkpoint stored by the platform; any worker can resume from it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckpointToken {
    /// Attempt that wrote the checkpoint.
    pub attempt: AttemptId,
    /// Completed work, in milliseconds of run time at full speed.
    pub progress_ms: u64,
}

/// Parameters for running an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// Attempt to run.
    pub attempt: AttemptId,
    /// Kind of the task.
    pub kind: KindName,
    /// Resources reserved on the worker.
    pub size: ResourceSize,
    /// Declared run time.
    pub run_time: Duration,
    /// Interval between checkpoints.
    pub checkpoint_every: Duration,
    /// Delivery guarantee if the attempt is lost.
    pub delivery: DeliveryMode,
    /// Checkpoint to resume from, if any.
    pub resume_from: Option<CheckpointToken>,
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// The attempt is running, possibly throttled.
    Running,
    /// The attempt ended successfully.
    Finished,
    /// The attempt ended with an error.
    Failed,
    /// The attempt was stopped by command, after a checkpoint if there was time for one.
    Stopped,
    /// The worker stopped the attempt because its lease expired.
    Lapsed,
}

/// Status of an attempt as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The attempt.
    pub attempt: AttemptId,
    /// State.
    pub phase: TaskPhase,
    /// Resources reserved while running.
    pub size: ResourceSize,
    /// Kind of the task.
    pub kind: KindName,
    /// Last checkpoint, if any.
    pub checkpoint: Option<CheckpointToken>,
    /// Maximum speed, in percent; 100 means unthrottled.
    pub speed_percent: u8,
    /// Measured usage; lags behind.
    pub usage: Option<ResourceSize>,
}

/// Call from the agent to its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts an attempt unless `start_by` has passed when the call reaches the worker.
    Start {
        /// Attempt to run.
        order: TaskOrder,
        /// End of the lease enforced by the worker, in this host's monotonic clock.
        lease_until: MonoTime,
        /// Start deadline, in this host's monotonic clock.
        start_by: MonoTime,
    },
    /// Extends the lease of the listed attempts; an expired lease stays expired.
    Renew {
        /// Attempts whose lease is extended.
        attempts: Vec<AttemptId>,
        /// New end of the lease, in this host's monotonic clock.
        lease_until: MonoTime,
    },
    /// Writes a checkpoint immediately.
    Checkpoint {
        /// Attempt to checkpoint.
        attempt: AttemptId,
    },
    /// Limits the speed of an attempt; 100 removes the limit.
    Throttle {
        /// Attempt to throttle.
        attempt: AttemptId,
        /// Maximum speed, in percent.
        speed_percent: u8,
    },
    /// Stops an attempt.
    Stop {
        /// Attempt to stop.
        attempt: AttemptId,
        /// Whether to write a checkpoint first.
        checkpoint: bool,
    },
    /// Removes an ended attempt once its end is recorded on the log.
    Forget {
        /// Attempt to remove.
        attempt: AttemptId,
    },
    /// Requests the status of all attempts and the usage of the worker.
    Report {
        /// Number by which the caller knows the answer to its latest request.
        number: u64,
    },
}

/// Error of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused the call, which had no effect.
    Refused {
        /// Reason given by the worker.
        reason: Box<str>,
    },
    /// No reply was received; the call may have taken effect.
    NoAnswer,
}

/// Successful answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The call was carried out.
    Done,
    /// Reply to [`WorkerCall::Report`].
    Report(WorkerReport),
}

/// State of a worker at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// All attempts that have not been removed by [`WorkerCall::Forget`].
    pub tasks: Vec<TaskStatus>,
    /// p99 latency of live requests on this worker, in microseconds; lags behind.
    pub service_p99_us: Option<u64>,
    /// Age of the usage and latency readings.
    pub usage_age: Duration,
}

/// State of a task in the scheduler, for status and explanations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSummary {
    /// The task.
    pub task: TaskId,
    /// Number of the newest attempt; 0 for none.
    pub attempts: u32,
    /// Description of the state.
    pub state: Box<str>,
}
