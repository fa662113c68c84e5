//! Tasks as workers run them, and calls to a worker about them.

use crate::clock::MonoTime;
use crate::ids::{AttemptId, KindName, TaskId};
use crate::note::DeliveryMode;
use crate::resource::ResourceSize;
use std::time::Duration;

/// Handle of a checkpoint that the platform keeps; any worker can resume from it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckpointToken {
    /// Attempt that wrote the checkpoint.
    pub attempt: AttemptId,
    /// Work done up to it, in milliseconds of run time at full speed.
    pub progress_ms: u64,
}

/// All that a worker needs to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskOrder {
    /// Attempt to run.
    pub attempt: AttemptId,
    /// Kind of the task.
    pub kind: KindName,
    /// Reservation on the worker.
    pub size: ResourceSize,
    /// Declared run time.
    pub run_time: Duration,
    /// Time between checkpoints.
    pub checkpoint_every: Duration,
    /// Treatment of a lost attempt.
    pub delivery: DeliveryMode,
    /// Checkpoint to resume from, if there is one.
    pub resume_from: Option<CheckpointToken>,
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// It runs, perhaps throttled.
    Running,
    /// It ended well.
    Finished,
    /// It ended with an error.
    Failed,
    /// It was stopped by command, after a checkpoint where there was time for one.
    Stopped,
    /// Its lease lapsed at the worker, which stopped it.
    Lapsed,
}

/// One attempt as the worker reports it; usage lags behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// Attempt reported on.
    pub attempt: AttemptId,
    /// State.
    pub phase: TaskPhase,
    /// Reservation held while running.
    pub size: ResourceSize,
    /// Kind of the task.
    pub kind: KindName,
    /// Last checkpoint, if there is one.
    pub checkpoint: Option<CheckpointToken>,
    /// Speed allowed, in percent; 100 is unthrottled.
    pub speed_percent: u8,
    /// Lagging measured usage.
    pub usage: Option<ResourceSize>,
}

/// Call from the agent to its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts an attempt, unless the worker's clock is past `start_by` of this host.
    Start {
        /// What to run.
        order: TaskOrder,
        /// Lease that the worker enforces, in this host's monotonic clock.
        lease_until: MonoTime,
        /// Last moment for the start, in this host's monotonic clock.
        start_by: MonoTime,
    },
    /// Extends the lease of all listed attempts; one that has lapsed is not revived.
    Renew {
        /// Attempts to renew.
        attempts: Vec<AttemptId>,
        /// New end of the lease.
        lease_until: MonoTime,
    },
    /// Writes a checkpoint now.
    Checkpoint {
        /// Attempt to checkpoint.
        attempt: AttemptId,
    },
    /// Slows an attempt down, or lets it run free at 100.
    Throttle {
        /// Attempt to throttle.
        attempt: AttemptId,
        /// Speed allowed, in percent.
        speed_percent: u8,
    },
    /// Stops an attempt, with a checkpoint first if asked.
    Stop {
        /// Attempt to stop.
        attempt: AttemptId,
        /// Whether to write a checkpoint first.
        checkpoint: bool,
    },
    /// Forgets an ended attempt once its end is recorded on the log.
    Forget {
        /// Attempt to forget.
        attempt: AttemptId,
    },
    /// Asks for all attempts and the usage of the worker.
    Report,
}

/// Why a worker did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused; the call had no effect.
    Refused {
        /// Reason as the worker gave it.
        reason: Box<str>,
    },
    /// No answer; the call may have had its effect.
    NoAnswer,
}

/// Answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The call was done.
    Done,
    /// Reply to [`WorkerCall::Report`].
    Report(WorkerReport),
}

/// What a worker holds, at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// All attempts that have not been forgotten.
    pub tasks: Vec<TaskStatus>,
    /// Lagging p99 latency of live requests on this worker, in microseconds.
    pub service_p99_us: Option<u64>,
    /// Age of the lagging readings.
    pub usage_age: Duration,
}

/// Standing of a task in the eyes of the scheduler, for status and explanations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSummary {
    /// Task.
    pub task: TaskId,
    /// Number of the newest attempt; 0 for none.
    pub attempts: u32,
    /// Words for the state.
    pub state: Box<str>,
}
