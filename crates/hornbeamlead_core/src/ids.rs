//! Identifiers of hosts, processes, services, jobs, tasks, requests and log positions.

use crate::newtype::{name_type, number_type};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for an invalid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("a name may not be empty"))]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has at most {MAX_NAME_BYTES} bytes, this one has {length}"))]
    TooLong {
        /// Actual length, in bytes.
        length: usize,
    },
    /// The name holds a character outside `a-z A-Z 0-9 . _ -`.
    #[snafu(display("a name holds letters, digits, '.', '_' and '-', not {found:?}"))]
    BadCharacter {
        /// First invalid character.
        found: char,
    },
}

pub(crate) fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length: text.len() });
    }
    let invalid = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    match text.chars().find(invalid) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

name_type!(
    /// Name of a host: an endpoint host with its worker and agent, or an entry host.
    HostId
);
name_type!(
    /// Name of a data centre (a yard or a campus).
    DataCentreName
);
name_type!(
    /// Name of a rack within a data centre.
    RackName
);
name_type!(
    /// Name of a latency-critical service.
    ServiceName
);
name_type!(
    /// Name of a batch job.
    JobName
);
name_type!(
    /// Name of a team that owns jobs and has a quota.
    TeamName
);
name_type!(
    /// Name of a kind of task; tasks of one kind are assumed to behave alike.
    KindName
);
name_type!(
    /// Unique id of a release note, chosen by its publisher.
    NoteId
);
name_type!(
    /// Id of an append to the log, used to detect whether an append without a reply took effect.
    RecordId
);

number_type!(
    /// Number of a cell: a group of at most 64 workers of one data centre under one planner.
    CellId,
    u32
);
number_type!(
    /// Incarnation of a process; increases with every restart.
    Incarnation,
    u64
);
number_type!(
    /// Term of a planner in its cell: the log offset of its claim plus one; 0 means none.
    Epoch,
    u64
);
number_type!(
    /// Offset of a record in a stream of the log, from 0.
    LogOffset,
    u64
);
number_type!(
    /// Configuration revision: offset of the last accepted note plus one; 0 means no note.
    Revision,
    u64
);

impl Epoch {
    /// Returns the epoch that starts with a valid claim at `offset`.
    #[must_use]
    pub fn after(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }
}

impl Revision {
    /// Returns the revision created by accepting the note at `offset`.
    #[must_use]
    pub fn after(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }
}

number_type!(
    /// Id of an open link within a process.
    LinkId,
    u64
);
number_type!(
    /// Id of a caller's request within the entry that received it.
    CallerTicket,
    u64
);

/// Id of one attempt of a request, unique across processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Host of the entry that assigned the id.
    pub entry: HostId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Counter within the incarnation; incremented for every attempt.
    pub counter: u64,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.counter)
    }
}

/// Id of a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobName,
    /// Index within the job, from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Id of one attempt to run a task; the number increases by one with every start record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// Caller's key that identifies retries of one request; 1 to 128 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Maximum length of a key, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Validates and wraps a key; `None` if it is empty, too long or not visible ASCII.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let sized = (1..=Self::MAX_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (sized && visible).then(|| Self(text.into()))
    }

    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
