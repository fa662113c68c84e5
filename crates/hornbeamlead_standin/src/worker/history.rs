//! Histories of a worker and its endpoint, which tests check.
//!
//! Times are in microseconds since the Unix epoch, so that the histories of several workers on
//! one machine can be compared.

use hornbeamlead_platform::worker_wire::{AttemptWire, SizeWire};
use serde::{Deserialize, Serialize};

/// Kind of an event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// The attempt started.
    Started,
    /// The attempt wrote a checkpoint.
    Checkpointed,
    /// The attempt completed successfully.
    Finished,
    /// The attempt ended with an error.
    Failed,
    /// The attempt was stopped by a call.
    Stopped,
    /// The lease of the attempt expired.
    Lapsed,
    /// The attempt ended because its worker was killed.
    Killed,
    /// A start was refused because the remaining resources do not suffice.
    #[serde(rename = "overfill_refused")]
    OvercommitRefused,
    /// A start was refused because it was received after its deadline.
    LateRefused,
    /// A start was refused because the attempt had been started before.
    #[serde(rename = "seen_refused")]
    DuplicateRefused,
}

impl TaskEventKind {
    /// Returns whether the event is the refusal of a start.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(
            self,
            Self::OvercommitRefused | Self::LateRefused | Self::DuplicateRefused
        )
    }

    /// Returns whether the event ends a running attempt.
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
    /// Time of the event.
    pub at_us: u64,
    /// Kind of the event.
    pub event: TaskEventKind,
    /// Attempt that the event is about.
    pub attempt: AttemptWire,
    /// Kind of the task.
    pub kind: Box<str>,
    /// Progress in milliseconds at full speed, including that of the checkpoint resumed from.
    pub progress_ms: u64,
    /// Progress in the last checkpoint, in milliseconds at full speed.
    pub checkpoint_ms: u64,
}

/// History of a worker's tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHistory {
    /// Events of all attempts, in the order in which they were recorded.
    pub events: Vec<TaskEvent>,
    /// Maximum of each resource that running attempts had reserved at the same time.
    #[serde(rename = "most_taken")]
    pub peak_reserved: SizeWire,
}

/// Run of a request on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// Request id, from the header `hornbeamlead-request`; empty if there is none.
    pub request: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Idempotency key of the caller.
    pub key: Option<Box<str>>,
    /// Request body as text.
    pub body: Box<str>,
    /// Headers whose names begin with `hornbeamlead-`, as `name: value`.
    pub own_headers: Vec<Box<str>>,
    /// Start of the run.
    pub at_us: u64,
    /// End of the run; `None` while it is in progress.
    pub ended_us: Option<u64>,
}

/// Runs of requests on an endpoint, with its counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRuns {
    /// Runs ordered by start.
    pub runs: Vec<RequestRun>,
    /// Maximum number of requests in flight.
    #[serde(rename = "most_in_flight")]
    pub peak_in_flight: u16,
    /// Number of requests refused because all slots were in use.
    pub slots_exceeded: u64,
    /// Number of connections closed because the limit was reached, as of the latest request.
    pub connections_exceeded: u64,
}
