//! Status of the processes, as operators see it.

use crate::clock::MonoTime;
use crate::ids::{CellId, DataCentreName, Epoch, HostId, Incarnation, JobName, Revision};
use crate::message::control::CellView;
use crate::message::request::LoadSample;
use crate::resource::ResourceSize;
use crate::task::{TaskStatus, TaskSummary};
use std::net::SocketAddr;

/// What an agent's other parts need to know of the host's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostMembership {
    /// End of the host's lease in its own clock; `None` before the first.
    pub lease_until: Option<MonoTime>,
    /// Newest view of the cell.
    pub view: Option<CellView>,
}

/// State of an agent in the eyes of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Takes requests.
    Serving,
    /// Was silent for a while; is asked before it is dropped.
    Suspect,
    /// Takes no new requests.
    Leaving,
    /// Fails all it is given; is probed now and then.
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

/// Agent as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Host.
    pub host: HostId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// State.
    pub state: MemberState,
    /// Configuration in force there.
    pub revision: Revision,
    /// Last load heard of.
    pub load: LoadSample,
    /// Address of its listener for operators.
    pub operator_address: SocketAddr,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Configuration in force.
    pub revision: Revision,
    /// Whether the last read of the log was answered.
    pub log_up: bool,
    /// Agents known.
    pub members: Vec<MemberStatus>,
    /// Requests in progress.
    pub in_progress: usize,
    /// Whether the process is stopping.
    pub stopping: bool,
}

/// Progress of a job within one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSummary {
    /// Job.
    pub job: JobName,
    /// Tasks owned by the cell and waiting.
    pub waiting: u32,
    /// Tasks running.
    pub running: u32,
    /// Tasks finished.
    pub finished: u32,
    /// Tasks ended otherwise.
    pub failed: u32,
    /// Why the job can never run here, if so.
    pub infeasible: Option<Box<str>>,
}

/// Status of a cell, known to its planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellStatus {
    /// Hosts under a valid lease.
    pub hosts: Vec<HostId>,
    /// Hosts that fail all they start.
    pub quarantined: Vec<HostId>,
    /// Jobs with tasks in the cell.
    pub jobs: Vec<JobSummary>,
    /// Tasks owned.
    pub tasks: Vec<TaskSummary>,
    /// Evictions since this planner took over.
    pub evictions: u64,
}

/// Status of the batch side of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScheduleStatus {
    /// Cell.
    pub cell: CellId,
    /// Planner obeyed.
    pub planner: Option<HostId>,
    /// Its epoch.
    pub epoch: Epoch,
    /// End of the lease in the host's clock.
    pub lease_until: Option<MonoTime>,
    /// Whether the last read of the log was answered.
    pub log_up: bool,
    /// What batch tasks may take.
    pub capacity: ResourceSize,
    /// What is admitted.
    pub admitted: ResourceSize,
    /// Attempts on the worker.
    pub tasks: Vec<TaskStatus>,
    /// Status of the cell, if this agent is its planner.
    pub planning: Option<CellStatus>,
}

/// Status of the request side of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateStatus {
    /// Load.
    pub load: LoadSample,
    /// Services of the endpoint.
    pub services: Vec<crate::ids::ServiceName>,
    /// Keys remembered.
    pub keys: usize,
    /// Ids fenced.
    pub fenced: usize,
}

/// Status of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// Configuration in force.
    pub revision: Revision,
    /// Request side.
    pub gate: GateStatus,
    /// Batch side.
    pub schedule: ScheduleStatus,
    /// Whether the process is stopping.
    pub stopping: bool,
}
