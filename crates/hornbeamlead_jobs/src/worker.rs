//! Calls to the worker of a host and its answers, independent of the platform's wire format.

use crate::ids::{PlannerEpoch, RunName, WorkerIncarnation};
use crate::job::RunEnd;
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Factor on durations that are measured by two clocks: worker clocks may run 2 % slow.
pub(crate) const CLOCK_SKEW_FACTOR: f64 = 1.03;

/// Properties of a worker, as it announces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFacts {
    /// Incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// Machine on which the worker runs, if the worker names it; several incarnations may share it.
    pub machine: Option<Box<str>>,
    /// Service to which the worker belongs.
    pub service: Box<str>,
    /// Data centre in which the worker runs.
    pub data_centre: Box<str>,
    /// Processor capacity, in thousandths of a core.
    pub cpu: u32,
    /// Memory capacity, in mebibytes.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Labels: the worker's kind and rack.
    pub labels: Vec<Box<str>>,
    /// Whether the worker is about to shut down.
    pub draining: bool,
    /// Minimum time until a draining worker shuts down, in milliseconds.
    pub leaves_in_ms: Option<u32>,
}

/// Announcement from a worker to the agent of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAnnouncement {
    /// Properties of the worker.
    pub facts: WorkerFacts,
    /// Address at which the worker takes calls.
    pub address: SocketAddr,
    /// Number of the announcement in this incarnation; reveals announcements that arrive out of
    /// order.
    pub sequence: u64,
}

/// Entry of a worker's list of running attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// Attempt that runs.
    pub run: RunName,
    /// Newest checkpoint, if there is one.
    pub saved: Option<Box<str>>,
    /// Progress, 0 to 100; a long-running task reports 100 once it is operational.
    pub percent: u8,
    /// Tail latency in milliseconds of a serving task; processor use in thousandths of a core of
    /// any other task.
    pub reading: u32,
}

/// Entry of a worker's list of ended attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// Number of the end in this incarnation, from 1, or [`Self::UNACKNOWLEDGEABLE`].
    pub number: u64,
    /// Attempt that ended.
    pub run: RunName,
    /// Reason for the end.
    pub end: RunEnd,
    /// Newest checkpoint, if there is one.
    pub saved: Option<Box<str>>,
}

impl EndedRow {
    /// Number of an end that follows one that could not be decoded. The worker drops all ends up to
    /// the one that is acknowledged, so this one has to wait.
    pub const UNACKNOWLEDGEABLE: u64 = 0;
}

/// Lists of a worker's running and ended attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerLists {
    /// Start of the worker process, in milliseconds since the Unix epoch, if the worker names it.
    pub born: Option<u64>,
    /// Running attempts.
    pub running: Vec<RunningRow>,
    /// Ended attempts that are not acknowledged yet.
    pub ended: Vec<EndedRow>,
    /// Number of entries and lists that could not be decoded.
    pub unreadable: u32,
}

impl WorkerLists {
    /// Returns whether the lists name all attempts of the worker. Lists that do not prove the presence
    /// of what they name, and the absence of nothing.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.unreadable == 0
    }
}

/// Operation that a worker has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOperation {
    /// Start an attempt.
    Start {
        /// Attempt to start.
        run: RunName,
        /// Specification text of the job.
        spec: Box<str>,
        /// Checkpoint to resume from.
        saved: Option<Box<str>>,
        /// End of the lease, on the worker's clock; a start that arrives later is refused.
        lease_until_ms: u64,
    },
    /// Stop an attempt, also one that has not started.
    Stop {
        /// Attempt to stop.
        run: RunName,
    },
    /// Renew the lease, acknowledge ends and read both lists by long polling.
    Hold {
        /// End of the lease, on the worker's clock; the lease is not renewed if absent.
        lease_until_ms: Option<u64>,
        /// Number up to which ends may be dropped from the list.
        acknowledged: u64,
        /// Time at which to answer if no attempt ends before.
        wait_until: MonoTime,
    },
    /// Limit the processor use of an attempt.
    Throttle {
        /// Attempt to throttle.
        run: RunName,
        /// Share of its full speed, 0 to 100.
        percent: u8,
    },
}

/// Identifier of a call within the agent that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerTag {
    /// Start of an attempt.
    Start(RunName),
    /// Stop of an attempt.
    Stop(RunName),
    /// Hold with its number.
    Hold(u64),
    /// Throttling of an attempt.
    Throttle(RunName),
}

/// Call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Identifier that is returned with the reply.
    pub tag: WorkerTag,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Incarnation for which the call is meant; any other refuses it.
    pub incarnation: WorkerIncarnation,
    /// Fencing token.
    pub epoch: PlannerEpoch,
    /// Operation to perform.
    pub operation: WorkerOperation,
    /// Time at which the call is abandoned and its outcome counts as unknown.
    pub deadline: MonoTime,
}

/// Reason for which a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This attempt or a later one of the task has been stopped or has ended.
    Superseded,
    /// The lease in the order had expired.
    Late,
    /// The task exceeds the worker's free capacity.
    NoRoom,
    /// The order lacks a valid ticket.
    NoTicket,
    /// Another incarnation runs at this address.
    OtherLife,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The order is malformed.
    Invalid,
}

/// Outcome of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The operation was performed.
    Done,
    /// A hold was performed and returned these lists.
    Lists(WorkerLists),
    /// The worker refused and did nothing.
    Refused(WorkerRefusal),
    /// The connection was refused, so the worker process has ended.
    Gone,
    /// No answer; the operation may have been performed, or may still be performed later.
    Unanswered,
}

/// Outcome of a call with the worker's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReply {
    /// Outcome of the call.
    pub answer: WorkerAnswer,
    /// Reading of the worker's clock, in milliseconds, if the answer contains one.
    pub clock_ms: Option<u64>,
    /// Time at which the call was sent.
    pub sent: MonoTime,
}
