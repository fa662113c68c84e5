//! JSON answers of the operator listeners, reduced to the fields that the tool reads.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Answer to `/status`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ProcessWire {
    pub(crate) host: Box<str>,
    pub(crate) data_centre: Box<str>,
    pub(crate) revision: u64,
    pub(crate) log_up: bool,
    pub(crate) stopping: bool,
    pub(crate) configuration: ConfigurationWire,
    #[serde(default)]
    pub(crate) members: Vec<MemberWire>,
    pub(crate) schedule: Option<ScheduleWire>,
}

/// Configuration in force in a process.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ConfigurationWire {
    pub(crate) data_centres: BTreeMap<Box<str>, Box<str>>,
    pub(crate) services: Vec<Box<str>>,
    pub(crate) jobs: Vec<Box<str>>,
}

/// Agent in the member list of an entry.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MemberWire {
    pub(crate) host: Box<str>,
    pub(crate) state: Box<str>,
    pub(crate) operators: SocketAddr,
}

/// Scheduling state of an agent.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ScheduleWire {
    pub(crate) cell: u32,
    pub(crate) planner: Option<Box<str>>,
    pub(crate) tasks: Vec<TaskWire>,
    pub(crate) planning: Option<CellWire>,
}

/// Attempt of a task on a worker.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct TaskWire {
    pub(crate) phase: Box<str>,
}

/// State of a cell as reported by its planner.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CellWire {
    pub(crate) quarantined: Vec<Box<str>>,
    pub(crate) jobs: Vec<JobWire>,
    pub(crate) evictions: u64,
}

/// Progress of a job within a cell.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobWire {
    pub(crate) job: Box<str>,
    pub(crate) waiting: u32,
    pub(crate) running: u32,
    pub(crate) finished: u32,
    pub(crate) failed: u32,
    pub(crate) infeasible: Option<Box<str>>,
}

/// Decision in the answer to `/explain`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct DecisionWire {
    pub(crate) at_ms: u64,
    pub(crate) subject: Box<str>,
    pub(crate) rule: Box<str>,
    pub(crate) inputs: Box<str>,
    pub(crate) revision: u64,
}

/// Answer to `/note/ID`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct NoteWire {
    pub(crate) accepted: bool,
    pub(crate) revision: Option<u64>,
}
