//! Calls to the worker of a host, and what it tells, in the project's own terms.

use crate::ids::{PlannerEpoch, RunName, WorkerIncarnation};
use crate::job::RunEnd;
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Life.
    pub incarnation: WorkerIncarnation,
    /// Machine of which this is one life, where the worker names it.
    pub machine: Option<Box<str>>,
    /// Service.
    pub service: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Processors, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in mebibytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Labels: kind and rack.
    pub labels: Vec<Box<str>>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Least time before it leaves, in milliseconds, while it drains.
    pub leaves_in_ms: Option<u32>,
}

/// Announcement of a worker to the agent of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAnnouncement {
    /// Facts.
    pub facts: WorkerFacts,
    /// Address of its calls.
    pub address: SocketAddr,
    /// Number of the announcement in this life; a lower one came late.
    pub sequence: u64,
}

/// Row of the list of running attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// Attempt.
    pub run: RunName,
    /// Newest checkpoint.
    pub saved: Option<Box<str>>,
    /// Progress, 0 to 100; for a lasting task 100 means at work.
    pub percent: u8,
    /// Tail latency in milliseconds of a serving task, else processor use in thousandths of a core.
    pub reading: u32,
}

/// Row of the list of ended attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// Number of the end in this life, from 1.
    pub number: u64,
    /// Attempt.
    pub run: RunName,
    /// How.
    pub end: RunEnd,
    /// Newest checkpoint.
    pub saved: Option<Box<str>>,
}

/// Both lists of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerLists {
    /// Start of the worker's life, in milliseconds since the Unix epoch, where it names it.
    pub born: Option<u64>,
    /// Running attempts.
    pub running: Vec<RunningRow>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndedRow>,
    /// Rows that could not be read.
    pub unreadable: u32,
}

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOperation {
    /// Begin an attempt.
    Start {
        /// Attempt.
        run: RunName,
        /// Text of the job.
        spec: Box<str>,
        /// Checkpoint to resume from.
        saved: Option<Box<str>>,
        /// End of the lease, on the worker's clock; a start that arrives later is refused.
        lease_until_ms: u64,
    },
    /// Stop an attempt, also one that has not begun.
    Stop {
        /// Attempt.
        run: RunName,
    },
    /// Renew the lease, acknowledge ends and read both lists.
    Hold {
        /// End of the lease, on the worker's clock; no renewal where absent.
        lease_until_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// When to answer if nothing ends before.
        wait_until: MonoTime,
    },
    /// Let an attempt work at a share.
    Throttle {
        /// Attempt.
        run: RunName,
        /// Share, 0 to 100.
        percent: u8,
    },
}

/// Names a call in the agent that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerTag {
    /// Start of an attempt.
    Start(RunName),
    /// Stop of an attempt.
    Stop(RunName),
    /// Hold, by its number.
    Hold(u64),
    /// Pace of an attempt.
    Throttle(RunName),
}

/// Call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Comes back with the reply.
    pub tag: WorkerTag,
    /// Address.
    pub address: SocketAddr,
    /// Life that is meant; another one refuses.
    pub incarnation: WorkerIncarnation,
    /// Fencing token.
    pub epoch: PlannerEpoch,
    /// What.
    pub operation: WorkerOperation,
    /// When the call is given up and its outcome counts as unknown.
    pub deadline: MonoTime,
}

/// Why a worker refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended this attempt or a later one.
    Superseded,
    /// The lease in the order had run out.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The order lacks a valid ticket.
    NoTicket,
    /// Another life runs at this address.
    OtherLife,
    /// It is unhealthy and did nothing.
    Unhealthy,
    /// The order makes no sense to it.
    Invalid,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// Carried out.
    Done,
    /// Lists of a hold.
    Lists(WorkerLists),
    /// Refused; nothing was done.
    Refused(WorkerRefusal),
    /// Nobody listens at its port: the process is gone.
    Gone,
    /// No answer; it may have been carried out, or may yet be.
    Unanswered,
}

/// Answer of a worker with its clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReply {
    /// What became of the call.
    pub answer: WorkerAnswer,
    /// Reading of the worker's clock, in milliseconds, where the answer holds one.
    pub clock_ms: Option<u64>,
    /// When the call was sent.
    pub sent: MonoTime,
}
