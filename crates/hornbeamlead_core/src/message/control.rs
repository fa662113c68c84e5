//! UDP datagrams for membership, leases and task commands.

use crate::clock::MonoTime;
use crate::ids::{
    AttemptId, CellId, DataCentreName, Epoch, HostId, Incarnation, RackName, Revision, ServiceName,
};
use crate::message::request::LoadSample;
use crate::resource::ResourceSize;
use crate::task::{TaskOrder, TaskStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Announcement of an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAnnounce {
    /// Host of the agent and its worker.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Counter within the incarnation; reordered older announcements are dropped.
    pub sequence: u64,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Rack of the host.
    pub rack: RackName,
    /// Cell of the host.
    pub cell: CellId,
    /// Address of the agent's internal TCP listener.
    pub link_address: SocketAddr,
    /// Address of the agent's operator listener.
    pub operator_address: SocketAddr,
    /// Services that the endpoint announced; empty without an endpoint.
    pub services: Vec<ServiceName>,
    /// Load of the worker.
    pub load: LoadSample,
    /// Configuration revision of the agent.
    pub revision: Revision,
    /// Newest view of the cell known to the agent, used to select arbiters.
    pub view: Option<CellView>,
}

/// Reply of an entry to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceReply {
    /// Host of the entry.
    pub entry: HostId,
    /// Sequence of the announcement replied to.
    pub sequence: u64,
    /// Configuration revision of the entry.
    pub revision: Revision,
    /// Address of the entry's internal TCP listener, for forwarding notes.
    pub link_address: SocketAddr,
    /// Delay until the next announcement.
    pub next_after: Duration,
}

/// Members of a cell that may arbitrate and run keyed requests, as last set by the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellView {
    /// Number of the view; increases with every change, also across planners.
    pub number: u64,
    /// Members with a valid lease.
    pub members: Vec<ViewMember>,
}

impl CellView {
    /// Number of the first view of a cell that never had a view before.
    ///
    /// The low 20 bits of a view's number count within one epoch, and the high bits hold the epoch;
    /// this is the first number of epoch 1.
    pub const FIRST_NUMBER: u64 = 1 << 20;
}

/// Member of a [`CellView`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewMember {
    /// Host of the member.
    pub host: HostId,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Address of the agent's internal TCP listener.
    pub link_address: SocketAddr,
}

/// Heartbeat of an agent to the planner of its cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHeartbeat {
    /// Host.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Counter within the incarnation.
    pub sequence: u64,
    /// Reading of the agent's clock when the heartbeat was sent.
    pub clock: MonoTime,
    /// Newest epoch seen by the agent, which accepts no commands of an older one.
    pub epoch: Epoch,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Rack.
    pub rack: RackName,
    /// Address of the agent's internal TCP listener.
    pub link_address: SocketAddr,
    /// Total resources for batch tasks on this worker.
    pub capacity: ResourceSize,
    /// Resources reserved by admitted attempts.
    pub admitted: ResourceSize,
    /// Configuration revision of the agent.
    pub revision: Revision,
    /// Number of the newest view known to the agent.
    pub view: u64,
    /// Digest of the agent's table of attempts.
    pub table_digest: u64,
    /// All attempts if the planner requested them, else those changed since its last reply.
    pub tasks: Vec<TaskStatus>,
    /// Whether `tasks` is the complete table.
    pub whole: bool,
    /// p99 latency of the live service on this worker, in microseconds; lags behind.
    pub service_p99_us: Option<u64>,
    /// Whether the agent is shutting down.
    pub leaving: bool,
}

/// Reply of the planner to a heartbeat, with the renewed lease and commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Cell.
    pub cell: CellId,
    /// Host of the planner.
    pub planner: HostId,
    /// Epoch of the planner; an agent ignores epochs older than the newest it has seen.
    pub epoch: Epoch,
    /// Sequence of the heartbeat replied to.
    pub sequence: u64,
    /// Lease expiry in the agent's clock; `None` if the planner may not renew the lease.
    pub lease_until: Option<MonoTime>,
    /// Configuration revision of the planner.
    pub revision: Revision,
    /// Address of the planner's internal TCP listener, for forwarding notes.
    pub link_address: SocketAddr,
    /// View of the cell, if the agent's is older.
    pub view: Option<CellView>,
    /// Digest of the agent's table as last processed by the planner.
    pub acknowledged: u64,
    /// Whether the next heartbeat has to carry the complete table.
    pub want_whole: bool,
    /// Commands to carry out.
    pub commands: Vec<TaskCommand>,
}

/// Planner command for one attempt; repeated until the agent's table shows its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    /// Starts an attempt whose start record has been read back from the log.
    Start {
        /// The attempt to run.
        order: TaskOrder,
        /// Start deadline, in the agent's clock.
        start_by: MonoTime,
    },
    /// Limits the speed of an attempt; 100 removes the limit.
    Throttle {
        /// Attempt to throttle.
        attempt: AttemptId,
        /// Maximum speed, in percent.
        speed_percent: u8,
    },
    /// Checkpoints and stops an attempt.
    Stop {
        /// Attempt to stop.
        attempt: AttemptId,
    },
    /// Removes an ended attempt from the table once its end is on the log.
    Forget {
        /// Attempt to remove.
        attempt: AttemptId,
    },
}

/// Request of a planner that its successor promise not to claim the next epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseRequest {
    /// Cell.
    pub cell: CellId,
    /// Host of the planner.
    pub planner: HostId,
    /// Epoch of the planner.
    pub epoch: Epoch,
    /// Planner's clock at the request; the promise starts at this reading.
    pub clock: MonoTime,
    /// Incarnation of the successor that is to promise.
    pub incarnation: Incarnation,
}

/// Promise of a successor not to claim the next epoch for some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseGrant {
    /// Cell.
    pub cell: CellId,
    /// Host of the successor.
    pub successor: HostId,
    /// Incarnation of the successor.
    pub incarnation: Incarnation,
    /// Epoch protected by the promise.
    pub epoch: Epoch,
    /// Planner's clock reading, copied from the request.
    pub clock: MonoTime,
    /// Duration of the promise, starting at that reading.
    pub span: Duration,
}

/// Content of a control datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// Sent by an agent to an entry.
    Announce(AgentAnnounce),
    /// Sent by an entry to an agent.
    AnnounceReply(AnnounceReply),
    /// Sent by an agent to the planner.
    Heartbeat(HostHeartbeat),
    /// Sent by the planner to an agent.
    HeartbeatReply(HeartbeatReply),
    /// Sent by the planner to its successor.
    PromiseRequest(PromiseRequest),
    /// Sent by the successor to the planner.
    PromiseGrant(PromiseGrant),
}
