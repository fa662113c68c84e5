//! Status of the processes, as reported to operators.

use crate::clock::MonoTime;
use crate::ids::{CellId, DataCentreName, Epoch, HostId, Incarnation, JobName, Revision};
use crate::message::control::CellView;
use crate::message::request::LoadSample;
use crate::resource::ResourceSize;
use crate::task::{TaskStatus, TaskSummary};
use std::net::SocketAddr;

/// Lease and cell view of a host, as needed by the other components of its agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostMembership {
    /// Lease expiry in the host's own clock; `None` before the first lease.
    pub lease_until: Option<MonoTime>,
    /// Newest view of the cell.
    pub view: Option<CellView>,
}

/// State of an agent as tracked by an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The agent accepts requests.
    Serving,
    /// Announcements are overdue; the agent is probed before it is dropped.
    Suspect,
    /// The agent accepts no new requests.
    Leaving,
    /// Consecutive requests to the agent failed; it only gets occasional probe requests.
    Ejected,
}

impl std::fmt::Display for MemberState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
        })
    }
}

/// Status of an agent as known to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Host of the agent.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// State as tracked by the entry.
    pub state: MemberState,
    /// Configuration revision of the agent.
    pub revision: Revision,
    /// Last reported load.
    pub load: LoadSample,
    /// Address of the agent's operator listener.
    pub operator_address: SocketAddr,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Configuration revision of the entry.
    pub revision: Revision,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Known agents.
    pub members: Vec<MemberStatus>,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Whether the process is shutting down.
    pub stopping: bool,
}

/// Progress of a job within one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job: JobName,
    /// Number of tasks owned by the cell that are waiting.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of finished tasks.
    pub finished: u32,
    /// Number of tasks that ended in another state than finished.
    pub failed: u32,
    /// Why no host of the cell can hold a task of the job, if that is so.
    pub infeasible: Option<Box<str>>,
}

/// Status of a cell as known to its planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellStatus {
    /// Hosts with a valid lease.
    pub hosts: Vec<HostId>,
    /// Hosts quarantined after consecutive failures, on which no task has succeeded since.
    pub quarantined: Vec<HostId>,
    /// Jobs with tasks in the cell.
    pub jobs: Vec<JobSummary>,
    /// Tasks owned by the cell.
    pub tasks: Vec<TaskSummary>,
    /// Number of evictions since this planner took over.
    pub evictions: u64,
}

/// Status of an agent's batch scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScheduleStatus {
    /// Cell of the agent.
    pub cell: CellId,
    /// Current planner.
    pub planner: Option<HostId>,
    /// Epoch of the planner.
    pub epoch: Epoch,
    /// Lease expiry in the host's clock.
    pub lease_until: Option<MonoTime>,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Total resources for batch tasks.
    pub capacity: ResourceSize,
    /// Resources reserved by admitted attempts.
    pub admitted: ResourceSize,
    /// Attempts on the worker.
    pub tasks: Vec<TaskStatus>,
    /// Status of the cell, if this agent is its planner.
    pub planning: Option<CellStatus>,
}

/// Status of an agent's request path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateStatus {
    /// Load of the worker.
    pub load: LoadSample,
    /// Services of the endpoint.
    pub services: Vec<crate::ids::ServiceName>,
    /// Number of remembered idempotency keys.
    pub keys: usize,
    /// Number of fenced request ids.
    pub fenced: usize,
}

/// Status of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// Configuration revision of the agent.
    pub revision: Revision,
    /// Status of the request path.
    pub gate: GateStatus,
    /// Status of batch scheduling.
    pub schedule: ScheduleStatus,
    /// Whether the process is shutting down.
    pub stopping: bool,
}
