//! Identifiers of hosts, processes, services, jobs, tasks, requests and log positions.

use crate::newtype::{name_type, number_type};
use snafu::Snafu;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Reports why a text is no valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("a name may not be empty"))]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has at most {MAX_NAME_BYTES} bytes, this one has {length}"))]
    TooLong {
        /// Length found, in bytes.
        length: usize,
    },
    /// The text holds a character outside `a-z A-Z 0-9 . _ -`.
    #[snafu(display("a name holds letters, digits, '.', '_' and '-', not {found:?}"))]
    BadCharacter {
        /// First offending character.
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
    let bad = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    match text.chars().find(bad) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

name_type!(
    /// Names a host: an endpoint host with its worker and agent, or an entry host.
    HostId
);
name_type!(
    /// Names a data centre (a yard or a campus).
    DataCentreName
);
name_type!(
    /// Names a rack within a data centre.
    RackName
);
name_type!(
    /// Names a latency-critical service.
    ServiceName
);
name_type!(
    /// Names a batch job.
    JobName
);
name_type!(
    /// Names a team that owns jobs under a quota.
    TeamName
);
name_type!(
    /// Names a kind of task; tasks of one kind are assumed to behave alike.
    KindName
);
name_type!(
    /// Names a release note; unique, chosen by whoever publishes it.
    NoteId
);
name_type!(
    /// Identifies one append to the log, so that one whose answer was lost is recognised.
    RecordId
);

number_type!(
    /// Numbers a cell: at most 64 workers of one data centre under one planner.
    CellId,
    u32
);
number_type!(
    /// Distinguishes the lives of one process; a restarted process has a greater one.
    Incarnation,
    u64
);
number_type!(
    /// Numbers a planner's term in its cell: the log offset of its claim plus one; 0 is none.
    Epoch,
    u64
);
number_type!(
    /// Position of a record in a stream of the log; the first is 0.
    LogOffset,
    u64
);
number_type!(
    /// Revision of the configuration: offset of the last accepted note plus one; 0 is empty.
    Revision,
    u64
);

impl Epoch {
    /// Returns the epoch that a valid claim at `offset` begins.
    #[must_use]
    pub fn after(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }
}

impl Revision {
    /// Returns the revision that a note accepted at `offset` makes.
    #[must_use]
    pub fn after(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }
}

number_type!(
    /// Identifies one open connection of the inner protocol within a process.
    LinkId,
    u64
);
number_type!(
    /// Identifies a caller's request within the entry that took it.
    CallerTicket,
    u64
);

/// Identifies a request between processes: the entry's life and a counter within it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Host of the entry that made the id.
    pub entry: HostId,
    /// Life of that entry.
    pub incarnation: Incarnation,
    /// Counter within that life; each attempt of a request has one of its own.
    pub counter: u64,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.counter)
    }
}

/// Identifies a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobName,
    /// Index within the job, from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Identifies one attempt to run a task; numbers grow by one with each start record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Task that is run.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// Caller's key that makes resends of one request recognisable; 1 to 128 visible ASCII bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Longest key, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Checks the text and wraps it; `None` when empty, long or not visible ASCII.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let sized = (1..=Self::MAX_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (sized && visible).then(|| Self(text.into()))
    }

    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
