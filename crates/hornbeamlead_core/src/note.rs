//! Release notes: items that operators add, change and withdraw.

use crate::clock::WallTime;
use crate::ids::{DataCentreName, JobName, KindName, NoteId, Revision, ServiceName, TeamName};
use crate::resource::ResourceSize;
use std::time::Duration;

/// Declaration of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Whether the data centre is in service; false once operators have drained it.
    pub in_service: bool,
}

/// Declaration of a team with its quota of batch resources across all data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Maximum total resources of the team's running tasks.
    pub quota: ResourceSize,
}

/// Declaration of a latency-critical service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service; the first path segment of callers' requests.
    pub name: ServiceName,
    /// Resources reserved for the service on each worker.
    pub reserve: ResourceSize,
    /// Timeout of requests that specify none.
    pub default_timeout: Duration,
    /// Maximum timeout that a request may specify.
    pub max_timeout: Duration,
}

/// Delivery guarantee for a task whose attempt is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// A new attempt resumes from the last checkpoint.
    Resumable,
    /// The task is never started again; the lost attempt ends with an unknown outcome.
    AtMostOnce,
}

/// Declaration of a batch job of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Name of the job; not to be reused after withdrawal.
    pub name: JobName,
    /// Team whose quota the tasks count against.
    pub team: TeamName,
    /// Kind of the tasks, under which usage and interference are learned.
    pub kind: KindName,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of one task.
    pub size: ResourceSize,
    /// Declared run time of one task.
    pub run_time: Duration,
    /// Time by which all tasks have to be finished.
    pub deadline: WallTime,
    /// Priority among tasks of equal slack; higher values go first.
    pub priority: u8,
    /// Whether the tasks go before all tasks that are not urgent.
    pub urgent: bool,
    /// Delivery guarantee for lost attempts.
    pub delivery: DeliveryMode,
    /// Interval between checkpoints of a running task.
    pub checkpoint_every: Duration,
    /// Data centres that may run the job; empty for all.
    pub data_centres: Vec<DataCentreName>,
}

/// Items added or changed by a note.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoteItems {
    /// Data centres.
    pub data_centres: Vec<DataCentreSpec>,
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Jobs.
    pub jobs: Vec<JobSpec>,
}

/// Names of the items withdrawn by a note.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoteNames {
    /// Data centres.
    pub data_centres: Vec<DataCentreName>,
    /// Teams.
    pub teams: Vec<TeamName>,
    /// Services.
    pub services: Vec<ServiceName>,
    /// Jobs; withdrawing a job cancels it.
    pub jobs: Vec<JobName>,
}

/// Release note as published on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseNote {
    /// Unique id; a note appended twice is accepted once.
    pub id: NoteId,
    /// Revision required for acceptance; `None` if the note commutes with all others.
    pub based_on: Option<Revision>,
    /// Author, shown in explanations.
    pub author: Box<str>,
    /// New items; the note is refused if one exists already.
    pub added: NoteItems,
    /// Replaced items; the note is refused if one does not exist.
    pub changed: NoteItems,
    /// Removed items; the note is refused if one does not exist.
    pub withdrawn: NoteNames,
}
