//! What the state machines ask of their process.

use crate::ids::JobId;
use crate::job::JobPhase;
use crate::message::{AgentMessage, PlannerMessage};
use crate::store::StoreCall;
use crate::worker::WorkerCall;
use hornbeamlead_core::clock::MonoTime;
use std::net::SocketAddr;

/// Names a connection to another process; never used twice in a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// One line of the log: a decision or a changed belief.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Kind of event.
    pub event: &'static str,
    /// Job, attempt, host or call that it concerns.
    pub id: Box<str>,
    /// Inputs and outcome, as key=value pairs.
    pub detail: Box<str>,
}

/// Answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is stored.
    Accepted,
    /// State of a job.
    Phase(JobPhase),
    /// The cancellation is stored, or the job had ended.
    Cancelled,
    /// Number of waiting jobs of a queue.
    Waiting(usize),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// The request makes no sense.
    Invalid(&'static str),
    /// Not done, and never will be; the caller may come back.
    Refused {
        /// Why.
        reason: &'static str,
        /// Seconds after which to come back.
        retry_after_s: u32,
    },
    /// It is not known whether it was done.
    Unknown,
}

/// What a state machine asks of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the store.
    Store(StoreCall),
    /// Call the worker.
    Worker(WorkerCall),
    /// Open a link.
    Dial {
        /// Name of the link.
        link: LinkId,
        /// Address.
        address: SocketAddr,
        /// When to give up.
        deadline: MonoTime,
    },
    /// Send to the planner, or to an agent that is called up.
    ToPlanner {
        /// Link.
        link: LinkId,
        /// Message.
        message: AgentMessage,
    },
    /// Send to an agent.
    ToAgent {
        /// Link.
        link: LinkId,
        /// Message.
        message: PlannerMessage,
    },
    /// Close a link.
    CloseLink {
        /// Link.
        link: LinkId,
    },
    /// Answer a caller.
    Reply {
        /// Request.
        ticket: u64,
        /// Answer.
        reply: CallerReply,
    },
    /// Remember a host through which the store can be reached.
    AddRelay(SocketAddr),
    /// Write a line to the log.
    Log(LogLine),
    /// Count an event.
    Count(&'static str),
}

impl Effect {
    /// Makes a line of the log.
    pub fn log(event: &'static str, id: impl ToString, detail: impl Into<Box<str>>) -> Self {
        Self::Log(LogLine {
            event,
            id: id.to_string().into(),
            detail: detail.into(),
        })
    }

    /// Makes a line of the log that concerns a job.
    pub fn log_job(event: &'static str, job: JobId, detail: impl Into<Box<str>>) -> Self {
        Self::log(event, job, detail)
    }
}
