//! Datagrams (UDP) of membership, leases and commands.

use crate::clock::MonoTime;
use crate::ids::{
    AttemptId, CellId, DataCentreName, Epoch, HostId, Incarnation, RackName, Revision, ServiceName,
};
use crate::message::request::LoadSample;
use crate::resource::ResourceSize;
use crate::task::{TaskOrder, TaskStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Agent's announcement to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAnnounce {
    /// Host of the agent and its worker.
    pub host: HostId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Counter within that life; an older announcement that arrives late is dropped.
    pub sequence: u64,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Rack of the host.
    pub rack: RackName,
    /// Cell of the host.
    pub cell: CellId,
    /// Address of the agent's inner TCP listener.
    pub link_address: SocketAddr,
    /// Address of the agent's listener for operators.
    pub operator_address: SocketAddr,
    /// Services that the endpoint announced; empty while no endpoint is there.
    pub services: Vec<ServiceName>,
    /// Load of the worker.
    pub load: LoadSample,
    /// Configuration in force at the agent.
    pub revision: Revision,
    /// View of the cell known to the agent, for the choice of arbiters.
    pub view: Option<CellView>,
}

/// Entry's answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceReply {
    /// Host of the entry.
    pub entry: HostId,
    /// Sequence of the announcement that is answered.
    pub sequence: u64,
    /// Configuration in force at the entry.
    pub revision: Revision,
    /// Address of the entry's inner TCP listener, for passing notes.
    pub link_address: SocketAddr,
    /// Time after which the next announcement is wanted.
    pub next_after: Duration,
}

/// Members of a cell that may arbitrate and run keys, as the planner last set them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellView {
    /// Number of the view; grows with every change, across planners.
    pub number: u64,
    /// Members under a valid lease.
    pub members: Vec<ViewMember>,
}

impl CellView {
    /// Number of the first view of a cell that never had one before.
    pub const FIRST_NUMBER: u64 = 1 << 20;
}

/// Member of a [`CellView`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewMember {
    /// Host.
    pub host: HostId,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Address of the agent's inner TCP listener.
    pub link_address: SocketAddr,
}

/// Agent's heartbeat to the planner of its cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHeartbeat {
    /// Host.
    pub host: HostId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Counter within that life.
    pub sequence: u64,
    /// Agent's clock when it sent this.
    pub clock: MonoTime,
    /// Newest epoch that the agent obeys.
    pub epoch: Epoch,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Rack.
    pub rack: RackName,
    /// Address of the agent's inner TCP listener.
    pub link_address: SocketAddr,
    /// What batch tasks may take on this worker in all.
    pub capacity: ResourceSize,
    /// What the agent has admitted.
    pub admitted: ResourceSize,
    /// Configuration in force at the agent.
    pub revision: Revision,
    /// Number of the newest view known.
    pub view: u64,
    /// Digest of the agent's table of attempts.
    pub table_digest: u64,
    /// All attempts if the planner asked for them, else those that changed since the last answer.
    pub tasks: Vec<TaskStatus>,
    /// Whether `tasks` is the whole table.
    pub whole: bool,
    /// Lagging p99 of the live service on this worker, in microseconds.
    pub service_p99_us: Option<u64>,
    /// True once the agent is stopping.
    pub leaving: bool,
}

/// Planner's answer to a heartbeat: renewed lease and commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Cell.
    pub cell: CellId,
    /// Planner's host.
    pub planner: HostId,
    /// Planner's epoch; an agent obeys no older one than it has seen.
    pub epoch: Epoch,
    /// Sequence of the heartbeat that is answered.
    pub sequence: u64,
    /// End of the lease in the agent's clock; `None` when the planner may not renew.
    pub lease_until: Option<MonoTime>,
    /// Configuration in force at the planner.
    pub revision: Revision,
    /// Address of the planner's inner TCP listener, for passing notes.
    pub link_address: SocketAddr,
    /// View of the cell, if the agent's is older.
    pub view: Option<CellView>,
    /// Digest of the agent's table up to which the planner has taken note.
    pub acknowledged: u64,
    /// Whether the next heartbeat is to carry the whole table.
    pub want_whole: bool,
    /// What to do.
    pub commands: Vec<TaskCommand>,
}

/// Planner's command about one attempt; repeated until the agent's table shows its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    /// Starts an attempt whose start record has been read back.
    Start {
        /// What to run.
        order: TaskOrder,
        /// Last moment for the start, in the agent's clock.
        start_by: MonoTime,
    },
    /// Slows an attempt down, or frees it at 100.
    Throttle {
        /// Attempt.
        attempt: AttemptId,
        /// Speed allowed, in percent.
        speed_percent: u8,
    },
    /// Checkpoints and stops an attempt.
    Stop {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Forgets an ended attempt whose end is on the log.
    Forget {
        /// Attempt.
        attempt: AttemptId,
    },
}

/// Planner's request that its successor promise not to claim the next epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseRequest {
    /// Cell.
    pub cell: CellId,
    /// Planner's host.
    pub planner: HostId,
    /// Planner's epoch.
    pub epoch: Epoch,
    /// Planner's clock when it asked; the promise is counted from here.
    pub clock: MonoTime,
    /// Life of the successor that is asked.
    pub incarnation: Incarnation,
}

/// Successor's promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseGrant {
    /// Cell.
    pub cell: CellId,
    /// Successor's host.
    pub successor: HostId,
    /// Life of the successor.
    pub incarnation: Incarnation,
    /// Epoch that the promise protects.
    pub epoch: Epoch,
    /// Clock reading of the ask.
    pub clock: MonoTime,
    /// Time promised, counted from that reading.
    pub span: Duration,
}

/// Datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// Agent to entry.
    Announce(AgentAnnounce),
    /// Entry to agent.
    AnnounceReply(AnnounceReply),
    /// Agent to planner.
    Heartbeat(HostHeartbeat),
    /// Planner to agent.
    HeartbeatReply(HeartbeatReply),
    /// Planner to successor.
    PromiseRequest(PromiseRequest),
    /// Successor to planner.
    PromiseGrant(PromiseGrant),
}
