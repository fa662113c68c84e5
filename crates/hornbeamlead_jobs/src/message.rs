//! Messages between agents and the planner, in the form in which they are encoded.

use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::worker::{EndedRow, RunningRow, WorkerFacts, WorkerRefusal};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::SocketAddr;
use std::time::Duration;

/// Reading of an agent's monotonic clock, in microseconds; opaque to other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AgentStamp(pub u64);

impl AgentStamp {
    /// Stamp in the answer to a report without a worker, which permits no leases. An answer without
    /// a stamp would have the agent look for another planner.
    pub const NO_LEASES: Self = Self(0);
}

/// State of a host, as reported to the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Time of the report.
    pub stamp: AgentStamp,
    /// Number of the last order that the agent has received on this link.
    pub orders_seen: u64,
    /// Worker on the agent's host.
    pub worker: Option<WorkerFacts>,
    /// Last incarnation of the worker that has certainly ended.
    pub dead: Option<WorkerIncarnation>,
    /// Whether the lists below were read from the worker as a whole, under this link's epoch.
    pub listed: bool,
    /// Running attempts.
    pub running: Vec<RunningRow>,
    /// Ended attempts that the planner has not acknowledged yet.
    pub ended: Vec<EndedRow>,
    /// Attempts with an order in flight, or with one that the lists may not reflect yet.
    pub in_flight: Vec<RunName>,
    /// Running attempts that make no progress.
    pub idle: IdleRuns,
    /// For how long attempts have run, in the first reports on a link.
    pub ages: RunAges,
}

/// Running attempts without progress. Follows what all versions know: versions that do not know it ignore
/// it, and it is empty in reports that lack it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IdleRuns(pub Vec<IdleRow>);

/// Running attempt that has made no progress for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleRow {
    /// Index in the report's list of running attempts.
    pub row: u16,
    /// Time without progress, in milliseconds, while the worker answered.
    pub idle_ms: u32,
}

impl IdleRuns {
    /// Returns the time without progress of a row of the report's list of running attempts.
    #[must_use]
    pub fn idle_span(&self, row: usize) -> Duration {
        let idle = self.0.iter().find(|idle| usize::from(idle.row) == row);
        Duration::from_millis(idle.map_or(0, |idle| idle.idle_ms.into()))
    }
}

impl<'de> Deserialize<'de> for IdleRuns {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let rows = Vec::deserialize(deserializer);
        Ok(rows.map(Self).unwrap_or_default())
    }
}

/// Ages of running attempts. Follow the idle attempts, since earlier versions ignore what does; empty in
/// reports that lack them, which then end before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunAges(pub Vec<AgeRow>);

/// Running attempt with the time since the agent first saw it on the worker's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgeRow {
    /// Index in the report's list of running attempts.
    pub row: u16,
    /// Time since it was first listed, in milliseconds.
    pub age_ms: u32,
}

impl RunAges {
    /// Returns for how long a row of the report's list of running attempts has been listed, if the report
    /// tells.
    #[must_use]
    pub fn age_of(&self, row: usize) -> Option<Duration> {
        let age = self.0.iter().find(|age| usize::from(age.row) == row);
        age.map(|age| Duration::from_millis(age.age_ms.into()))
    }
}

impl Serialize for RunAges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &*self.0 {
            [] => serializer.serialize_unit(),
            rows => rows.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for RunAges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let rows = Vec::deserialize(deserializer);
        Ok(rows.map(Self).unwrap_or_default())
    }
}

/// Message from an agent to the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// First message on a link.
    Hello {
        /// Host of the agent.
        host: HostName,
        /// Address at which the agent listens.
        address: SocketAddr,
        /// Highest planner epoch from which the agent has received a grant.
        epoch: PlannerEpoch,
    },
    /// State of the host.
    Report(Box<HostReport>),
    /// An attempt did not start and will not start later.
    NotStarted {
        /// Attempt that was ordered.
        run: RunName,
        /// Incarnation of the worker for which the order was meant.
        incarnation: WorkerIncarnation,
        /// Why the worker refused; absent if the agent abandoned the order.
        refusal: Option<WorkerRefusal>,
    },
    /// Asks an agent to connect to the sender, which has become the planner.
    ConnectRequest {
        /// Epoch of the planner.
        epoch: PlannerEpoch,
        /// Address of the planner.
        address: SocketAddr,
    },
}

/// Properties of an attempt that its agent needs while the attempt runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTraits {
    /// Upper limit for the tail latency of a serving task, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Whether the task is best-effort, that is, uses processor time that others leave idle.
    pub best_effort: bool,
    /// Whether the task runs until it is stopped.
    pub long_running: bool,
    /// Interference of a best-effort task with serving tasks. A task with 100 or more is throttled
    /// in full, one with 0 only if throttling the others does not suffice.
    pub interference_percent: u8,
    /// CPU that the task requests, in thousandths of a core.
    pub cpu: u32,
    /// Short hash of the image of a serving task.
    pub image: u32,
    /// Interference coefficients of a best-effort task in tenths, by serving image on the host.
    pub coefficients: Box<[(u32, u8)]>,
}

/// Order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Attempt to start.
    pub run: RunName,
    /// Incarnation of the worker that has to start it.
    pub incarnation: WorkerIncarnation,
    /// Specification text of the job.
    pub spec: Box<str>,
    /// Checkpoint to resume from.
    pub saved: Option<Box<str>>,
    /// Properties that the agent needs while the attempt runs.
    pub traits: RunTraits,
}

/// Message from the planner to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Answers a report and permits the agent to renew leases for a fixed time after `stamp`.
    Grant {
        /// Epoch of the planner.
        epoch: PlannerEpoch,
        /// Stamp of a report that names the worker, or [`AgentStamp::NO_LEASES`]; absent while the
        /// planner cannot reach the store.
        stamp: Option<AgentStamp>,
        /// Stamp of the newest report; tells the agent the age of the orders that follow.
        seen: AgentStamp,
    },
    /// Starts an attempt.
    Start {
        /// Number of the order on this link.
        number: u64,
        /// Order to carry out.
        order: StartOrder,
    },
    /// Stops an attempt, also one that has not started.
    Stop {
        /// Number of the order on this link.
        number: u64,
        /// Attempt to stop.
        run: RunName,
        /// Incarnation of the worker for which the order is meant.
        incarnation: WorkerIncarnation,
    },
    /// The ends up to a number are recorded, so the worker may drop them from its list.
    Acknowledge {
        /// Incarnation of the worker that numbered the ends.
        incarnation: WorkerIncarnation,
        /// Highest acknowledged number.
        through: u64,
    },
    /// Properties of running attempts that an earlier planner ordered.
    Traits(Vec<(RunName, RunTraits)>),
    /// The process to which the agent connected is not the planner.
    NotPlanner,
}
