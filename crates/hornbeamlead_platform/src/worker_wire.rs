//! JSON messages between an agent and the worker of its host.
//!
//! Deadlines are sent as the time left, so that the two sides need no common clock.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, JobName, KindName, NameError, TaskId};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{CheckpointToken, TaskOrder, TaskPhase, TaskStatus, WorkerReport};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reason with which a worker refuses to start an attempt that it has already seen.
pub const ALREADY_SEEN_REASON: &str = "already_seen";

/// Header of each answer of a worker: its clock, in microseconds since an arbitrary epoch.
pub const WORKER_CLOCK_HEADER: &str = "worker-clock-us";

/// Header of a call: reading of the worker's clock from which the call's durations are counted.
pub const COUNTED_FROM_HEADER: &str = "counted-from-us";

/// Identity of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptWire {
    /// Job of the task.
    pub job: Box<str>,
    /// Index of the task within the job.
    pub index: u32,
    /// Number of the attempt at the task.
    pub number: u32,
}

/// Amount of each resource: a reservation, a capacity or a usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizeWire {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in mebibytes.
    pub memory_mebibytes: u32,
    /// Number of accelerators.
    pub accelerators: u16,
}

/// Handle of a checkpoint from which any worker can resume the task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWire {
    /// Attempt that wrote the checkpoint.
    pub attempt: AttemptWire,
    /// Work done up to the checkpoint, in milliseconds at full speed.
    pub progress_ms: u64,
}

/// Delivery guarantee: what happens after an attempt is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeliveryWire {
    /// A new attempt resumes from the last checkpoint.
    Resumable,
    /// The task is never started again.
    AtMostOnce,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseWire {
    /// The attempt is running.
    Running,
    /// The attempt completed successfully.
    Finished,
    /// The attempt ended with an error.
    Failed,
    /// The attempt was stopped by a call.
    Stopped,
    /// The lease of the attempt expired.
    Lapsed,
}

/// Body of `POST /tasks/start`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCall {
    /// Attempt to run.
    pub attempt: AttemptWire,
    /// Kind of the task.
    pub kind: Box<str>,
    /// Reserved resources.
    pub size: SizeWire,
    /// Declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// Interval between checkpoints, in milliseconds.
    pub checkpoint_every_ms: u64,
    /// Delivery guarantee.
    pub delivery: DeliveryWire,
    /// Checkpoint to resume from; `None` starts from the beginning.
    pub resume_from: Option<TokenWire>,
    /// Time until the lease expires, in milliseconds.
    pub lease_ms: u64,
    /// Time until the start has to be refused, in milliseconds.
    pub start_within_ms: u64,
}

/// Body of `POST /tasks/renew`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewCall {
    /// Attempts whose leases are renewed.
    pub attempts: Vec<AttemptWire>,
    /// Time until the renewed leases expire, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `POST /tasks/checkpoint` and `POST /tasks/forget`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCall {
    /// Attempt to checkpoint or to forget.
    pub attempt: AttemptWire,
}

/// Body of `POST /tasks/throttle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleCall {
    /// Attempt to throttle.
    pub attempt: AttemptWire,
    /// Maximum speed, in percent of full speed.
    pub speed_percent: u8,
}

/// Body of `POST /tasks/stop`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopCall {
    /// Attempt to stop.
    pub attempt: AttemptWire,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Answer of a worker that refused a call; the call had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAnswer {
    /// Reason of the refusal.
    pub refused: Box<str>,
}

/// Status of an attempt in [`ReportAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusWire {
    /// Attempt that the status is about.
    pub attempt: AttemptWire,
    /// State of the attempt.
    pub phase: PhaseWire,
    /// Reserved resources.
    pub size: SizeWire,
    /// Kind of the task.
    pub kind: Box<str>,
    /// Last checkpoint, or the one that the attempt was resumed from.
    pub checkpoint: Option<TokenWire>,
    /// Maximum speed, in percent of full speed.
    pub speed_percent: u8,
    /// Resource usage [`ReportAnswer::usage_age_ms`] ago; `None` if there was no sample.
    pub usage: Option<SizeWire>,
}

/// Answer to `GET /tasks`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// Status of all attempts that were not forgotten.
    pub tasks: Vec<StatusWire>,
    /// p99 latency of requests to the endpoint [`Self::usage_age_ms`] ago, in microseconds.
    pub service_p99_us: Option<u64>,
    /// Age of the usage and latency readings, in milliseconds.
    pub usage_age_ms: u64,
}

impl From<&AttemptId> for AttemptWire {
    fn from(attempt: &AttemptId) -> Self {
        Self {
            job: attempt.task.job.as_str().into(),
            index: attempt.task.index,
            number: attempt.number,
        }
    }
}

impl TryFrom<AttemptWire> for AttemptId {
    type Error = NameError;

    fn try_from(wire: AttemptWire) -> Result<Self, Self::Error> {
        let task = TaskId {
            job: JobName::new(&wire.job)?,
            index: wire.index,
        };
        Ok(Self {
            task,
            number: wire.number,
        })
    }
}

impl From<ResourceSize> for SizeWire {
    fn from(size: ResourceSize) -> Self {
        Self {
            cpu_millis: size.cpu.0,
            memory_mebibytes: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<SizeWire> for ResourceSize {
    fn from(wire: SizeWire) -> Self {
        Self {
            cpu: CpuMillis(wire.cpu_millis),
            memory: MemoryMebibytes(wire.memory_mebibytes),
            accelerators: AcceleratorCount(wire.accelerators),
        }
    }
}

impl From<&CheckpointToken> for TokenWire {
    fn from(token: &CheckpointToken) -> Self {
        Self {
            attempt: AttemptWire::from(&token.attempt),
            progress_ms: token.progress_ms,
        }
    }
}

impl TryFrom<TokenWire> for CheckpointToken {
    type Error = NameError;

    fn try_from(wire: TokenWire) -> Result<Self, Self::Error> {
        Ok(Self {
            attempt: AttemptId::try_from(wire.attempt)?,
            progress_ms: wire.progress_ms,
        })
    }
}

impl From<DeliveryMode> for DeliveryWire {
    fn from(mode: DeliveryMode) -> Self {
        match mode {
            DeliveryMode::Resumable => Self::Resumable,
            DeliveryMode::AtMostOnce => Self::AtMostOnce,
        }
    }
}

impl From<PhaseWire> for TaskPhase {
    fn from(wire: PhaseWire) -> Self {
        match wire {
            PhaseWire::Running => Self::Running,
            PhaseWire::Finished => Self::Finished,
            PhaseWire::Failed => Self::Failed,
            PhaseWire::Stopped => Self::Stopped,
            PhaseWire::Lapsed => Self::Lapsed,
        }
    }
}

impl TryFrom<StatusWire> for TaskStatus {
    type Error = NameError;

    fn try_from(wire: StatusWire) -> Result<Self, Self::Error> {
        let checkpoint = wire.checkpoint.map(CheckpointToken::try_from);
        Ok(Self {
            attempt: AttemptId::try_from(wire.attempt)?,
            phase: wire.phase.into(),
            size: wire.size.into(),
            kind: KindName::new(&wire.kind)?,
            checkpoint: checkpoint.transpose()?,
            speed_percent: wire.speed_percent,
            usage: wire.usage.map(ResourceSize::from),
        })
    }
}

impl TryFrom<ReportAnswer> for WorkerReport {
    type Error = NameError;

    fn try_from(wire: ReportAnswer) -> Result<Self, Self::Error> {
        let tasks: Result<Vec<_>, _> = wire.tasks.into_iter().map(TaskStatus::try_from).collect();
        Ok(Self {
            tasks: tasks?,
            service_p99_us: wire.service_p99_us,
            usage_age: Duration::from_millis(wire.usage_age_ms),
        })
    }
}

impl StartCall {
    /// Creates a start call whose deadlines are the time left at `now`.
    #[must_use]
    pub fn new(
        order: &TaskOrder,
        lease_until: MonoTime,
        start_by: MonoTime,
        now: MonoTime,
    ) -> Self {
        Self {
            attempt: AttemptWire::from(&order.attempt),
            kind: order.kind.as_str().into(),
            size: order.size.into(),
            run_time_ms: whole_millis(order.run_time),
            checkpoint_every_ms: whole_millis(order.checkpoint_every),
            delivery: order.delivery.into(),
            resume_from: order.resume_from.as_ref().map(TokenWire::from),
            lease_ms: whole_millis(lease_until.since(now)),
            start_within_ms: whole_millis(start_by.since(now)),
        }
    }
}

impl RenewCall {
    /// Creates a renewal whose deadline is the time left at `now`.
    #[must_use]
    pub fn new(attempts: &[AttemptId], lease_until: MonoTime, now: MonoTime) -> Self {
        Self {
            attempts: attempts.iter().map(AttemptWire::from).collect(),
            lease_ms: whole_millis(lease_until.since(now)),
        }
    }
}

/// Rounds down to whole milliseconds, so that rounding never extends a deadline.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
