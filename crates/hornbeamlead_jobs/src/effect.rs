//! Effects that the state machines return for their process to perform.

use crate::ids::JobId;
use crate::job::JobPhase;
use crate::message::{AgentMessage, PlannerMessage};
use crate::notice::NoticeMessage;
use crate::store::StoreCall;
use crate::worker::WorkerCall;
use hornbeamlead_core::clock::MonoTime;
use std::net::SocketAddr;

/// Identifier of a connection to another process; unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Line of the log: a decision, or a change in the known state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the event.
    pub event: &'static str,
    /// Job, attempt, host or call that the event concerns.
    pub id: Box<str>,
    /// Inputs and outcome, as key=value pairs.
    pub detail: Box<str>,
}

/// Reply to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is stored.
    Accepted,
    /// State of a job.
    Phase(JobPhase),
    /// The cancellation is stored, or the job had ended before.
    Cancelled,
    /// Number of jobs of a queue of which no task has started.
    Waiting(usize),
    /// The queue does not exist.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The request is invalid, with the reason.
    Invalid(&'static str),
    /// The request has no effect, now or later; the caller may retry.
    Refused {
        /// Reason, as a word of a fixed set.
        reason: &'static str,
        /// Seconds after which to retry.
        retry_after_s: u32,
    },
    /// The job is not accepted and never runs, since it would end too late to be of any worth.
    Overloaded {
        /// Seconds after which to retry.
        retry_after_s: u32,
    },
    /// The request may or may not have taken effect.
    Unknown,
}

/// Action that a state machine requests from its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the store.
    Store(StoreCall),
    /// Call the worker.
    Worker(WorkerCall),
    /// Open a link.
    Dial {
        /// Identifier of the new link.
        link: LinkId,
        /// Address to connect to.
        address: SocketAddr,
        /// Time at which the attempt to connect is abandoned.
        deadline: MonoTime,
    },
    /// Send an agent's message to the planner, or ask another agent to connect.
    ToPlanner {
        /// Link on which to send.
        link: LinkId,
        /// Message to send.
        message: AgentMessage,
    },
    /// Send a message to an agent.
    ToAgent {
        /// Link on which to send.
        link: LinkId,
        /// Message to send.
        message: PlannerMessage,
    },
    /// Send notices of jobs that may be stored, from an entry to an agent or back.
    Notices {
        /// Link on which to send.
        link: LinkId,
        /// Message to send.
        message: NoticeMessage,
    },
    /// Close a link.
    CloseLink {
        /// Link to close.
        link: LinkId,
    },
    /// Reply to a caller.
    Reply {
        /// Number of the request.
        ticket: u64,
        /// Reply to send.
        reply: CallerReply,
    },
    /// Add a host through which the store can be reached.
    AddRelay(SocketAddr),
    /// Write a line to the log.
    Log(LogLine),
    /// Increment the counter of an event.
    Count(&'static str),
}

impl Effect {
    /// Creates an effect that writes a log line.
    pub fn log(event: &'static str, id: impl ToString, detail: impl Into<Box<str>>) -> Self {
        Self::Log(LogLine {
            event,
            id: id.to_string().into(),
            detail: detail.into(),
        })
    }

    /// Creates an effect that writes a log line about a job.
    pub fn log_job(event: &'static str, job: JobId, detail: impl Into<Box<str>>) -> Self {
        Self::log(event, job, detail)
    }
}
