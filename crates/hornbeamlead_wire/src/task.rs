//! Wire types of tasks, attempts and resource sizes.

use crate::convert::{from_wire_option, micros, parse_name, text};
use crate::error::WireError;
use hornbeamlead_core::ids::{AttemptId, TaskId};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{CheckpointToken, TaskOrder, TaskPhase, TaskStatus};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Wire type of [`AttemptId`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireAttemptId {
    job: Box<str>,
    index: u32,
    number: u32,
}

impl From<&AttemptId> for WireAttemptId {
    fn from(id: &AttemptId) -> Self {
        Self {
            job: text(&id.task.job),
            index: id.task.index,
            number: id.number,
        }
    }
}

impl TryFrom<WireAttemptId> for AttemptId {
    type Error = WireError;

    fn try_from(wire: WireAttemptId) -> Result<Self, WireError> {
        let task = TaskId {
            job: parse_name(&wire.job)?,
            index: wire.index,
        };
        Ok(Self {
            task,
            number: wire.number,
        })
    }
}

/// Wire type of [`ResourceSize`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireResourceSize {
    cpu: u32,
    memory: u32,
    accelerators: u16,
}

impl From<&ResourceSize> for WireResourceSize {
    fn from(size: &ResourceSize) -> Self {
        Self {
            cpu: size.cpu.0,
            memory: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<WireResourceSize> for ResourceSize {
    fn from(wire: WireResourceSize) -> Self {
        Self {
            cpu: CpuMillis(wire.cpu),
            memory: MemoryMebibytes(wire.memory),
            accelerators: AcceleratorCount(wire.accelerators),
        }
    }
}

/// Wire type of [`CheckpointToken`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireCheckpointToken {
    attempt: WireAttemptId,
    progress_ms: u64,
}

impl From<&CheckpointToken> for WireCheckpointToken {
    fn from(token: &CheckpointToken) -> Self {
        Self {
            attempt: (&token.attempt).into(),
            progress_ms: token.progress_ms,
        }
    }
}

impl TryFrom<WireCheckpointToken> for CheckpointToken {
    type Error = WireError;

    fn try_from(wire: WireCheckpointToken) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            progress_ms: wire.progress_ms,
        })
    }
}

/// Wire type of [`DeliveryMode`].
#[derive(Serialize, Deserialize)]
enum WireDeliveryMode {
    Resumable,
    AtMostOnce,
}

impl From<DeliveryMode> for WireDeliveryMode {
    fn from(mode: DeliveryMode) -> Self {
        match mode {
            DeliveryMode::Resumable => Self::Resumable,
            DeliveryMode::AtMostOnce => Self::AtMostOnce,
        }
    }
}

impl From<WireDeliveryMode> for DeliveryMode {
    fn from(wire: WireDeliveryMode) -> Self {
        match wire {
            WireDeliveryMode::Resumable => Self::Resumable,
            WireDeliveryMode::AtMostOnce => Self::AtMostOnce,
        }
    }
}

/// Wire type of [`TaskOrder`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireTaskOrder {
    attempt: WireAttemptId,
    kind: Box<str>,
    size: WireResourceSize,
    run_time_us: u64,
    checkpoint_every_us: u64,
    delivery: WireDeliveryMode,
    resume_from: Option<WireCheckpointToken>,
}

impl From<&TaskOrder> for WireTaskOrder {
    fn from(order: &TaskOrder) -> Self {
        Self {
            attempt: (&order.attempt).into(),
            kind: text(&order.kind),
            size: (&order.size).into(),
            run_time_us: micros(order.run_time),
            checkpoint_every_us: micros(order.checkpoint_every),
            delivery: order.delivery.into(),
            resume_from: order.resume_from.as_ref().map(WireCheckpointToken::from),
        }
    }
}

impl TryFrom<WireTaskOrder> for TaskOrder {
    type Error = WireError;

    fn try_from(wire: WireTaskOrder) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            kind: parse_name(&wire.kind)?,
            size: wire.size.into(),
            run_time: Duration::from_micros(wire.run_time_us),
            checkpoint_every: Duration::from_micros(wire.checkpoint_every_us),
            delivery: wire.delivery.into(),
            resume_from: from_wire_option(wire.resume_from)?,
        })
    }
}

/// Wire type of [`TaskPhase`].
#[derive(Serialize, Deserialize)]
pub(crate) enum WireTaskPhase {
    Running,
    Finished,
    Failed,
    Stopped,
    Lapsed,
}

impl From<TaskPhase> for WireTaskPhase {
    fn from(phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Running => Self::Running,
            TaskPhase::Finished => Self::Finished,
            TaskPhase::Failed => Self::Failed,
            TaskPhase::Stopped => Self::Stopped,
            TaskPhase::Lapsed => Self::Lapsed,
        }
    }
}

impl From<WireTaskPhase> for TaskPhase {
    fn from(wire: WireTaskPhase) -> Self {
        match wire {
            WireTaskPhase::Running => Self::Running,
            WireTaskPhase::Finished => Self::Finished,
            WireTaskPhase::Failed => Self::Failed,
            WireTaskPhase::Stopped => Self::Stopped,
            WireTaskPhase::Lapsed => Self::Lapsed,
        }
    }
}

/// Wire type of [`TaskStatus`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireTaskStatus {
    attempt: WireAttemptId,
    phase: WireTaskPhase,
    size: WireResourceSize,
    kind: Box<str>,
    checkpoint: Option<WireCheckpointToken>,
    speed_percent: u8,
    usage: Option<WireResourceSize>,
}

impl From<&TaskStatus> for WireTaskStatus {
    fn from(status: &TaskStatus) -> Self {
        Self {
            attempt: (&status.attempt).into(),
            phase: status.phase.into(),
            size: (&status.size).into(),
            kind: text(&status.kind),
            checkpoint: status.checkpoint.as_ref().map(WireCheckpointToken::from),
            speed_percent: status.speed_percent,
            usage: status.usage.as_ref().map(WireResourceSize::from),
        }
    }
}

impl TryFrom<WireTaskStatus> for TaskStatus {
    type Error = WireError;

    fn try_from(wire: WireTaskStatus) -> Result<Self, WireError> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            phase: wire.phase.into(),
            size: wire.size.into(),
            kind: parse_name(&wire.kind)?,
            checkpoint: from_wire_option(wire.checkpoint)?,
            speed_percent: wire.speed_percent,
            usage: wire.usage.map(ResourceSize::from),
        })
    }
}
