//! Release notes: what operators add, change and withdraw.

use crate::clock::WallTime;
use crate::ids::{DataCentreName, JobName, KindName, NoteId, Revision, ServiceName, TeamName};
use crate::resource::ResourceSize;
use std::time::Duration;

/// Data centre as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// False once operators have taken it out.
    pub in_service: bool,
}

/// Team with its quota of batch resources over all data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Most that the team's running tasks may take together.
    pub quota: ResourceSize,
}

/// Latency-critical service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service; the first path segment on the callers' port.
    pub name: ServiceName,
    /// What one worker reserves for the service.
    pub reserve: ResourceSize,
    /// Time allowed to a request that names no timeout of its own.
    pub default_timeout: Duration,
    /// Longest time a request may ask for.
    pub max_timeout: Duration,
}

/// How a lost attempt of a task is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// Resumed from its last checkpoint in a new attempt.
    Resumable,
    /// Never started a second time; a lost attempt ends as outcome unknown.
    AtMostOnce,
}

/// Batch job: a number of like tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Name of the job; never used again once withdrawn.
    pub name: JobName,
    /// Team that the tasks count against.
    pub team: TeamName,
    /// Kind of the tasks, for learning.
    pub kind: KindName,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: ResourceSize,
    /// Declared run time of one task.
    pub run_time: Duration,
    /// Time by which all tasks are to be finished.
    pub deadline: WallTime,
    /// Greater goes first among tasks of equal slack.
    pub priority: u8,
    /// Urgent tasks go before all that are not.
    pub urgent: bool,
    /// Treatment of a lost attempt.
    pub delivery: DeliveryMode,
    /// Time between checkpoints of a running task.
    pub checkpoint_every: Duration,
    /// Data centres that may run the job; empty for all.
    pub data_centres: Vec<DataCentreName>,
}

/// Items that a note adds or changes.
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

/// Items that a note withdraws, by name.
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
    /// Unique id; a note that stands twice on the log is accepted once.
    pub id: NoteId,
    /// Revision that the author saw; `None` for a note that commutes with all others.
    pub based_on: Option<Revision>,
    /// Who published it, for explanations.
    pub author: Box<str>,
    /// New items; a name that exists already is refused.
    pub added: NoteItems,
    /// Replaced items; a name that does not exist is refused.
    pub changed: NoteItems,
    /// Removed items; a name that does not exist is refused.
    pub withdrawn: NoteNames,
}
