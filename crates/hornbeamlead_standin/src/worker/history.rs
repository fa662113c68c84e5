//! What a worker and its endpoint did, for tests to judge.
//!
//! Times are microseconds since the Unix epoch, so that the histories of several workers on one
//! machine can be compared.

use hornbeamlead_platform::worker_wire::{AttemptWire, SizeWire};
use serde::{Deserialize, Serialize};

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// It started.
    Started,
    /// It wrote a checkpoint.
    Checkpointed,
    /// It ended well.
    Finished,
    /// It ended with an error.
    Failed,
    /// It was stopped by command.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// It ended with its worker.
    Killed,
    /// A start came that does not fit in what is left.
    #[serde(rename = "overfill_refused")]
    OvercommitRefused,
    /// A start came after its last moment.
    LateRefused,
    /// A start came for an attempt that had been seen before.
    #[serde(rename = "seen_refused")]
    DuplicateRefused,
}

impl TaskEventKind {
    /// Returns whether it tells of a start that was refused.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(
            self,
            Self::OvercommitRefused | Self::LateRefused | Self::DuplicateRefused
        )
    }

    /// Returns whether the attempt runs no more after it.
    #[must_use]
    pub fn is_end(self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Failed | Self::Stopped | Self::Lapsed | Self::Killed
        )
    }
}

/// Event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// Time.
    pub at_us: u64,
    /// What happened.
    pub event: TaskEventKind,
    /// Attempt.
    pub attempt: AttemptWire,
    /// Kind of the task.
    pub kind: Box<str>,
    /// Work done so far, in milliseconds at full speed, earlier attempts' checkpoint included.
    pub progress_ms: u64,
    /// Work that the last checkpoint holds.
    pub checkpoint_ms: u64,
}

/// All events of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHistory {
    /// Events in order.
    pub events: Vec<TaskEvent>,
    /// Most that was ever taken at a time, by resource.
    #[serde(rename = "most_taken")]
    pub peak_reserved: SizeWire,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// Id that the agent gave.
    pub request: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Caller's idempotency key.
    pub key: Option<Box<str>>,
    /// Body as text.
    pub body: Box<str>,
    /// Headers whose names begin with `hornbeamlead-`, as `name: value`.
    pub own_headers: Vec<Box<str>>,
    /// Start of the run.
    pub at_us: u64,
    /// End of the run, if it has ended.
    pub ended_us: Option<u64>,
}

/// All runs of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRuns {
    /// Runs in order of their start.
    pub runs: Vec<RequestRun>,
    /// Most requests that ran at a time.
    #[serde(rename = "most_in_flight")]
    pub peak_in_flight: u16,
    /// Requests refused because all slots were taken.
    pub slots_exceeded: u64,
    /// Connections closed at once for being too many.
    pub connections_exceeded: u64,
}
