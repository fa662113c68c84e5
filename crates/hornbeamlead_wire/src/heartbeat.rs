//! Forms of heartbeats, their replies and the commands in them.

use crate::announce::ViewForm;
use crate::convert::{forms, name, optional, text, values};
use crate::error::WireError;
use crate::task::{AttemptForm, OrderForm, SizeForm, StatusForm};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation, Revision};
use hornbeamlead_core::message::control::{HeartbeatReply, HostHeartbeat, TaskCommand};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Form of [`HostHeartbeat`].
#[derive(Serialize, Deserialize)]
pub(crate) struct HeartbeatForm {
    host: Box<str>,
    incarnation: u64,
    sequence: u64,
    clock: u64,
    epoch: u64,
    data_centre: Box<str>,
    rack: Box<str>,
    link_address: SocketAddr,
    capacity: SizeForm,
    admitted: SizeForm,
    revision: u64,
    view: u64,
    table_digest: u64,
    tasks: Vec<StatusForm>,
    whole: bool,
    service_p99_us: Option<u64>,
    leaving: bool,
}

impl From<&HostHeartbeat> for HeartbeatForm {
    fn from(heartbeat: &HostHeartbeat) -> Self {
        Self {
            host: text(&heartbeat.host),
            incarnation: heartbeat.incarnation.0,
            sequence: heartbeat.sequence,
            clock: heartbeat.clock.0,
            epoch: heartbeat.epoch.0,
            data_centre: text(&heartbeat.data_centre),
            rack: text(&heartbeat.rack),
            link_address: heartbeat.link_address,
            capacity: (&heartbeat.capacity).into(),
            admitted: (&heartbeat.admitted).into(),
            revision: heartbeat.revision.0,
            view: heartbeat.view,
            table_digest: heartbeat.table_digest,
            tasks: forms(&heartbeat.tasks),
            whole: heartbeat.whole,
            service_p99_us: heartbeat.service_p99_us,
            leaving: heartbeat.leaving,
        }
    }
}

impl TryFrom<HeartbeatForm> for HostHeartbeat {
    type Error = WireError;

    fn try_from(form: HeartbeatForm) -> Result<Self, WireError> {
        Ok(Self {
            host: name(&form.host)?,
            incarnation: Incarnation(form.incarnation),
            sequence: form.sequence,
            clock: MonoTime(form.clock),
            epoch: Epoch(form.epoch),
            data_centre: name(&form.data_centre)?,
            rack: name(&form.rack)?,
            link_address: form.link_address,
            capacity: form.capacity.into(),
            admitted: form.admitted.into(),
            revision: Revision(form.revision),
            view: form.view,
            table_digest: form.table_digest,
            tasks: values(form.tasks)?,
            whole: form.whole,
            service_p99_us: form.service_p99_us,
            leaving: form.leaving,
        })
    }
}

/// Form of [`TaskCommand`].
#[derive(Serialize, Deserialize)]
enum CommandForm {
    Start {
        order: OrderForm,
        start_by: u64,
    },
    Throttle {
        attempt: AttemptForm,
        speed_percent: u8,
    },
    Stop {
        attempt: AttemptForm,
    },
    Forget {
        attempt: AttemptForm,
    },
}

impl From<&TaskCommand> for CommandForm {
    fn from(command: &TaskCommand) -> Self {
        match command {
            TaskCommand::Start { order, start_by } => Self::Start {
                order: order.into(),
                start_by: start_by.0,
            },
            TaskCommand::Throttle {
                attempt,
                speed_percent,
            } => Self::Throttle {
                attempt: attempt.into(),
                speed_percent: *speed_percent,
            },
            TaskCommand::Stop { attempt } => Self::Stop {
                attempt: attempt.into(),
            },
            TaskCommand::Forget { attempt } => Self::Forget {
                attempt: attempt.into(),
            },
        }
    }
}

impl TryFrom<CommandForm> for TaskCommand {
    type Error = WireError;

    fn try_from(form: CommandForm) -> Result<Self, WireError> {
        Ok(match form {
            CommandForm::Start { order, start_by } => Self::Start {
                order: order.try_into()?,
                start_by: MonoTime(start_by),
            },
            CommandForm::Throttle {
                attempt,
                speed_percent,
            } => Self::Throttle {
                attempt: attempt.try_into()?,
                speed_percent,
            },
            CommandForm::Stop { attempt } => Self::Stop {
                attempt: attempt.try_into()?,
            },
            CommandForm::Forget { attempt } => Self::Forget {
                attempt: attempt.try_into()?,
            },
        })
    }
}

/// Form of [`HeartbeatReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct HeartbeatReplyForm {
    cell: u32,
    planner: Box<str>,
    epoch: u64,
    sequence: u64,
    lease_until: Option<u64>,
    revision: u64,
    link_address: SocketAddr,
    view: Option<ViewForm>,
    acknowledged: u64,
    want_whole: bool,
    commands: Vec<CommandForm>,
}

impl From<&HeartbeatReply> for HeartbeatReplyForm {
    fn from(reply: &HeartbeatReply) -> Self {
        Self {
            cell: reply.cell.0,
            planner: text(&reply.planner),
            epoch: reply.epoch.0,
            sequence: reply.sequence,
            lease_until: reply.lease_until.map(|until| until.0),
            revision: reply.revision.0,
            link_address: reply.link_address,
            view: reply.view.as_ref().map(ViewForm::from),
            acknowledged: reply.acknowledged,
            want_whole: reply.want_whole,
            commands: forms(&reply.commands),
        }
    }
}

impl TryFrom<HeartbeatReplyForm> for HeartbeatReply {
    type Error = WireError;

    fn try_from(form: HeartbeatReplyForm) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(form.cell),
            planner: name(&form.planner)?,
            epoch: Epoch(form.epoch),
            sequence: form.sequence,
            lease_until: form.lease_until.map(MonoTime),
            revision: Revision(form.revision),
            link_address: form.link_address,
            view: optional(form.view)?,
            acknowledged: form.acknowledged,
            want_whole: form.want_whole,
            commands: values(form.commands)?,
        })
    }
}
