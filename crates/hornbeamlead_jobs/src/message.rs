//! Messages between agents and the planner. They are the wire form themselves.

use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::worker::{EndedRow, RunningRow, WorkerFacts, WorkerRefusal};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Reading of an agent's own clock, in microseconds; only the agent gives it a meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AgentStamp(pub u64);

/// What a host tells its planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// When the report was made.
    pub stamp: AgentStamp,
    /// Number of the last order that the agent has taken on this link.
    pub orders_seen: u64,
    /// Worker that runs beside the agent.
    pub worker: Option<WorkerFacts>,
    /// Life that has ended for certain, where the last one known has.
    pub dead: Option<WorkerIncarnation>,
    /// Whether the lists below were read from the worker under this link's epoch.
    pub listed: bool,
    /// Running attempts.
    pub running: Vec<RunningRow>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndedRow>,
    /// Attempts of which an order is under way, or too recent for the lists to tell.
    pub in_flight: Vec<RunName>,
}

/// Message of an agent to the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// First message on a link.
    Hello {
        /// Host.
        host: HostName,
        /// Address at which the agent listens.
        address: SocketAddr,
        /// Highest epoch that the agent obeys.
        epoch: PlannerEpoch,
    },
    /// State of the host.
    Report(HostReport),
    /// An attempt did not begin and never will.
    NotStarted {
        /// Attempt.
        run: RunName,
        /// Life of the worker.
        incarnation: WorkerIncarnation,
        /// Why the worker refused; absent where the attempt was called off.
        refusal: Option<WorkerRefusal>,
    },
    /// Request to connect to the sender, which has become planner; sent to agents.
    ConnectRequest {
        /// Epoch of the planner.
        epoch: PlannerEpoch,
        /// Its address.
        address: SocketAddr,
    },
}

/// What an agent needs to know of an attempt, besides starting it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTraits {
    /// Tail latency that a serving task must stay below, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Whether it lives on processor time that others leave unused.
    pub best_effort: bool,
    /// Whether it runs until it is stopped.
    pub long_running: bool,
    /// How strongly a filler presses on serving tasks, in percent of what is slowed in full.
    pub interference_percent: u8,
}

/// Order to begin an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Attempt.
    pub run: RunName,
    /// Life of the worker that is meant.
    pub incarnation: WorkerIncarnation,
    /// Text of the job.
    pub spec: Box<str>,
    /// Checkpoint to resume from.
    pub saved: Option<Box<str>>,
    /// Traits.
    pub traits: RunTraits,
}

/// Message of the planner to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Answers a report. Lets leases run for a fixed span after `stamp`.
    Grant {
        /// Epoch of the planner.
        epoch: PlannerEpoch,
        /// Stamp of the report; absent while the planner cannot reach the store.
        stamp: Option<AgentStamp>,
        /// Stamp of the newest report, to date the orders that follow.
        seen: AgentStamp,
    },
    /// Begin an attempt.
    Start {
        /// Number of the order on this link.
        number: u64,
        /// Order.
        order: StartOrder,
    },
    /// Stop an attempt, also one that never began.
    Stop {
        /// Number of the order on this link.
        number: u64,
        /// Attempt.
        run: RunName,
        /// Life of the worker that is meant.
        incarnation: WorkerIncarnation,
    },
    /// Ends up to a number are recorded; the worker may forget them.
    Acknowledge {
        /// Life of the worker.
        incarnation: WorkerIncarnation,
        /// Highest number.
        through: u64,
    },
    /// Traits of attempts that an earlier planner ordered.
    Traits(Vec<(RunName, RunTraits)>),
    /// The process is not the planner.
    NotPlanner,
}
