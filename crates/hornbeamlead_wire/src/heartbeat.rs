//! Wire types of heartbeats, of their replies and of the task commands that replies carry.

use crate::announce::WireCellView;
use crate::convert::{from_wire, from_wire_option, parse_name, text, to_wire};
use crate::error::WireError;
use crate::task::{WireAttemptId, WireResourceSize, WireTaskOrder, WireTaskStatus};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{CellId, Epoch, Incarnation, Revision};
use hornbeamlead_core::message::control::{HeartbeatReply, HostHeartbeat, TaskCommand};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Wire type of [`HostHeartbeat`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireHostHeartbeat {
    host: Box<str>,
    incarnation: u64,
    sequence: u64,
    clock: u64,
    epoch: u64,
    data_centre: Box<str>,
    rack: Box<str>,
    link_address: SocketAddr,
    capacity: WireResourceSize,
    admitted: WireResourceSize,
    revision: u64,
    view: u64,
    table_digest: u64,
    tasks: Vec<WireTaskStatus>,
    whole: bool,
    service_p99_us: Option<u64>,
    leaving: bool,
}

impl From<&HostHeartbeat> for WireHostHeartbeat {
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
            tasks: to_wire(&heartbeat.tasks),
            whole: heartbeat.whole,
            service_p99_us: heartbeat.service_p99_us,
            leaving: heartbeat.leaving,
        }
    }
}

impl TryFrom<WireHostHeartbeat> for HostHeartbeat {
    type Error = WireError;

    fn try_from(wire: WireHostHeartbeat) -> Result<Self, WireError> {
        Ok(Self {
            host: parse_name(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            clock: MonoTime(wire.clock),
            epoch: Epoch(wire.epoch),
            data_centre: parse_name(&wire.data_centre)?,
            rack: parse_name(&wire.rack)?,
            link_address: wire.link_address,
            capacity: wire.capacity.into(),
            admitted: wire.admitted.into(),
            revision: Revision(wire.revision),
            view: wire.view,
            table_digest: wire.table_digest,
            tasks: from_wire(wire.tasks)?,
            whole: wire.whole,
            service_p99_us: wire.service_p99_us,
            leaving: wire.leaving,
        })
    }
}

/// Wire type of [`TaskCommand`].
#[derive(Serialize, Deserialize)]
enum WireTaskCommand {
    Start {
        order: WireTaskOrder,
        start_by: u64,
    },
    Throttle {
        attempt: WireAttemptId,
        speed_percent: u8,
    },
    Stop {
        attempt: WireAttemptId,
    },
    Forget {
        attempt: WireAttemptId,
    },
}

impl From<&TaskCommand> for WireTaskCommand {
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

impl TryFrom<WireTaskCommand> for TaskCommand {
    type Error = WireError;

    fn try_from(wire: WireTaskCommand) -> Result<Self, WireError> {
        Ok(match wire {
            WireTaskCommand::Start { order, start_by } => Self::Start {
                order: order.try_into()?,
                start_by: MonoTime(start_by),
            },
            WireTaskCommand::Throttle {
                attempt,
                speed_percent,
            } => Self::Throttle {
                attempt: attempt.try_into()?,
                speed_percent,
            },
            WireTaskCommand::Stop { attempt } => Self::Stop {
                attempt: attempt.try_into()?,
            },
            WireTaskCommand::Forget { attempt } => Self::Forget {
                attempt: attempt.try_into()?,
            },
        })
    }
}

/// Wire type of [`HeartbeatReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireHeartbeatReply {
    cell: u32,
    planner: Box<str>,
    epoch: u64,
    sequence: u64,
    lease_until: Option<u64>,
    revision: u64,
    link_address: SocketAddr,
    view: Option<WireCellView>,
    acknowledged: u64,
    want_whole: bool,
    commands: Vec<WireTaskCommand>,
}

impl From<&HeartbeatReply> for WireHeartbeatReply {
    fn from(reply: &HeartbeatReply) -> Self {
        Self {
            cell: reply.cell.0,
            planner: text(&reply.planner),
            epoch: reply.epoch.0,
            sequence: reply.sequence,
            lease_until: reply.lease_until.map(|until| until.0),
            revision: reply.revision.0,
            link_address: reply.link_address,
            view: reply.view.as_ref().map(WireCellView::from),
            acknowledged: reply.acknowledged,
            want_whole: reply.want_whole,
            commands: to_wire(&reply.commands),
        }
    }
}

impl TryFrom<WireHeartbeatReply> for HeartbeatReply {
    type Error = WireError;

    fn try_from(wire: WireHeartbeatReply) -> Result<Self, WireError> {
        Ok(Self {
            cell: CellId(wire.cell),
            planner: parse_name(&wire.planner)?,
            epoch: Epoch(wire.epoch),
            sequence: wire.sequence,
            lease_until: wire.lease_until.map(MonoTime),
            revision: Revision(wire.revision),
            link_address: wire.link_address,
            view: from_wire_option(wire.view)?,
            acknowledged: wire.acknowledged,
            want_whole: wire.want_whole,
            commands: from_wire(wire.commands)?,
        })
    }
}
