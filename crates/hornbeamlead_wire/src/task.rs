//! Forms of tasks, attempts and sizes.

use crate::convert::{micros, name, optional, text};
use crate::error::WireError;
use hornbeamlead_core::ids::{AttemptId, TaskId};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{CheckpointToken, TaskOrder, TaskPhase, TaskStatus};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Form of [`AttemptId`].
#[derive(Serialize, Deserialize)]
pub(crate) struct AttemptForm {
    job: Box<str>,
    index: u32,
    number: u32,
}

impl From<&AttemptId> for AttemptForm {
    fn from(id: &AttemptId) -> Self {
        Self {
            job: text(&id.task.job),
            index: id.task.index,
            number: id.number,
        }
    }
}

impl TryFrom<AttemptForm> for AttemptId {
    type Error = WireError;

    fn try_from(form: AttemptForm) -> Result<Self, WireError> {
        let task = TaskId {
            job: name(&form.job)?,
            index: form.index,
        };
        Ok(Self {
            task,
            number: form.number,
        })
    }
}

/// Form of [`ResourceSize`].
#[derive(Serialize, Deserialize)]
pub(crate) struct SizeForm {
    cpu: u32,
    memory: u32,
    accelerators: u16,
}

impl From<&ResourceSize> for SizeForm {
    fn from(size: &ResourceSize) -> Self {
        Self {
            cpu: size.cpu.0,
            memory: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<SizeForm> for ResourceSize {
    fn from(form: SizeForm) -> Self {
        Self {
            cpu: CpuMillis(form.cpu),
            memory: MemoryMebibytes(form.memory),
            accelerators: AcceleratorCount(form.accelerators),
        }
    }
}

/// Form of [`CheckpointToken`].
#[derive(Serialize, Deserialize)]
pub(crate) struct TokenForm {
    attempt: AttemptForm,
    progress_ms: u64,
}

impl From<&CheckpointToken> for TokenForm {
    fn from(token: &CheckpointToken) -> Self {
        Self {
            attempt: (&token.attempt).into(),
            progress_ms: token.progress_ms,
        }
    }
}

impl TryFrom<TokenForm> for CheckpointToken {
    type Error = WireError;

    fn try_from(form: TokenForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            progress_ms: form.progress_ms,
        })
    }
}

/// Form of [`DeliveryMode`].
#[derive(Serialize, Deserialize)]
enum DeliveryForm {
    Resumable,
    AtMostOnce,
}

impl From<DeliveryMode> for DeliveryForm {
    fn from(mode: DeliveryMode) -> Self {
        match mode {
            DeliveryMode::Resumable => Self::Resumable,
            DeliveryMode::AtMostOnce => Self::AtMostOnce,
        }
    }
}

impl From<DeliveryForm> for DeliveryMode {
    fn from(form: DeliveryForm) -> Self {
        match form {
            DeliveryForm::Resumable => Self::Resumable,
            DeliveryForm::AtMostOnce => Self::AtMostOnce,
        }
    }
}

/// Form of [`TaskOrder`].
#[derive(Serialize, Deserialize)]
pub(crate) struct OrderForm {
    attempt: AttemptForm,
    kind: Box<str>,
    size: SizeForm,
    run_time_us: u64,
    checkpoint_every_us: u64,
    delivery: DeliveryForm,
    resume_from: Option<TokenForm>,
}

impl From<&TaskOrder> for OrderForm {
    fn from(order: &TaskOrder) -> Self {
        Self {
            attempt: (&order.attempt).into(),
            kind: text(&order.kind),
            size: (&order.size).into(),
            run_time_us: micros(order.run_time),
            checkpoint_every_us: micros(order.checkpoint_every),
            delivery: order.delivery.into(),
            resume_from: order.resume_from.as_ref().map(TokenForm::from),
        }
    }
}

impl TryFrom<OrderForm> for TaskOrder {
    type Error = WireError;

    fn try_from(form: OrderForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            kind: name(&form.kind)?,
            size: form.size.into(),
            run_time: Duration::from_micros(form.run_time_us),
            checkpoint_every: Duration::from_micros(form.checkpoint_every_us),
            delivery: form.delivery.into(),
            resume_from: optional(form.resume_from)?,
        })
    }
}

/// Form of [`TaskPhase`].
#[derive(Serialize, Deserialize)]
pub(crate) enum PhaseForm {
    Running,
    Finished,
    Failed,
    Stopped,
    Lapsed,
}

impl From<TaskPhase> for PhaseForm {
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

impl From<PhaseForm> for TaskPhase {
    fn from(form: PhaseForm) -> Self {
        match form {
            PhaseForm::Running => Self::Running,
            PhaseForm::Finished => Self::Finished,
            PhaseForm::Failed => Self::Failed,
            PhaseForm::Stopped => Self::Stopped,
            PhaseForm::Lapsed => Self::Lapsed,
        }
    }
}

/// Form of [`TaskStatus`].
#[derive(Serialize, Deserialize)]
pub(crate) struct StatusForm {
    attempt: AttemptForm,
    phase: PhaseForm,
    size: SizeForm,
    kind: Box<str>,
    checkpoint: Option<TokenForm>,
    speed_percent: u8,
    usage: Option<SizeForm>,
}

impl From<&TaskStatus> for StatusForm {
    fn from(status: &TaskStatus) -> Self {
        Self {
            attempt: (&status.attempt).into(),
            phase: status.phase.into(),
            size: (&status.size).into(),
            kind: text(&status.kind),
            checkpoint: status.checkpoint.as_ref().map(TokenForm::from),
            speed_percent: status.speed_percent,
            usage: status.usage.as_ref().map(SizeForm::from),
        }
    }
}

impl TryFrom<StatusForm> for TaskStatus {
    type Error = WireError;

    fn try_from(form: StatusForm) -> Result<Self, WireError> {
        Ok(Self {
            attempt: form.attempt.try_into()?,
            phase: form.phase.into(),
            size: form.size.into(),
            kind: name(&form.kind)?,
            checkpoint: optional(form.checkpoint)?,
            speed_percent: form.speed_percent,
            usage: form.usage.map(ResourceSize::from),
        })
    }
}
