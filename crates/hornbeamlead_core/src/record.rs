//! Records of this system's streams on the platform's log.

use crate::ids::{AttemptId, CellId, Epoch, HostId, Incarnation, JobName, LogOffset, RecordId};
use crate::task::{CheckpointToken, TaskPhase};
use bytes::Bytes;
use std::net::SocketAddr;

/// Stream of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamName {
    /// Release notes and their snapshots.
    Notes,
    /// Claims of task ranges by cells.
    Jobs,
    /// Epochs and attempts of one cell.
    Cell(CellId),
}

impl std::fmt::Display for StreamName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Notes => f.write_str("notes"),
            Self::Jobs => f.write_str("jobs"),
            Self::Cell(cell) => write!(f, "cell.{cell}"),
        }
    }
}

/// Encoded record as stored on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset on the log.
    pub offset: LogOffset,
    /// Encoded content.
    pub payload: Bytes,
}

/// Decoded record with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord<R> {
    /// Offset on the log.
    pub offset: LogOffset,
    /// Decoded content.
    pub record: R,
}

/// Result of reading a range of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogBatch<R> {
    /// Oldest offset retained by the log.
    pub oldest: LogOffset,
    /// Offset of the next append.
    pub next: LogOffset,
    /// Records in order; they extend to `next` if the read reached the tail.
    pub records: Vec<LogRecord<R>>,
}

/// Error of a read or append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log is down or did not reply in time; an append may have taken effect.
    Unavailable,
    /// Retention has removed the requested offset; a snapshot has to be loaded.
    Truncated {
        /// Oldest offset still retained.
        oldest: LogOffset,
    },
}

/// Claim of a planner for the next epoch of its cell; its offset plus one is the epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochClaim {
    /// Host of the claimant.
    pub host: HostId,
    /// Incarnation of the claimant.
    pub incarnation: Incarnation,
    /// Address of the claimant for control datagrams.
    pub control_address: SocketAddr,
    /// Epoch last seen by the claimant; the claim is void if another claim came in between.
    pub previous: Epoch,
    /// Only host that may claim the next epoch; `None` if no successor is named.
    pub successor: Option<SuccessorName>,
    /// Whether the claim overrides planner and successor, because both were silent or operators
    /// declared them lost.
    pub forced: bool,
}

/// Host named as successor of a planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuccessorName {
    /// Host of the successor.
    pub host: HostId,
    /// Address of the successor for control datagrams.
    pub control_address: SocketAddr,
}

/// State change of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptChange {
    /// The attempt is about to be started on a host.
    Started {
        /// Host that runs the attempt.
        host: HostId,
        /// Checkpoint that the attempt resumes from.
        resume_from: Option<CheckpointToken>,
    },
    /// The attempt wrote a checkpoint.
    Checkpointed {
        /// The checkpoint.
        token: CheckpointToken,
    },
    /// The attempt no longer runs; its task may be resumed in this or another cell.
    Released {
        /// Last checkpoint.
        token: Option<CheckpointToken>,
    },
    /// The attempt ended, and its task will not be started again.
    Ended {
        /// Final state.
        phase: TaskPhase,
    },
}

/// State change of one attempt, as recorded in a cell's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The state change.
    pub change: AttemptChange,
}

/// Record of a cell's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEntry {
    /// Claim of an epoch.
    Claim(EpochClaim),
    /// Replaces the successor within an epoch.
    Successor {
        /// Epoch of the writing planner.
        epoch: Epoch,
        /// New successor.
        successor: Option<SuccessorName>,
    },
    /// State changes of attempts; void after a claim of a newer epoch.
    Attempts {
        /// Epoch of the writing planner.
        epoch: Epoch,
        /// Changes in order.
        changes: Vec<AttemptRecord>,
    },
    /// Complete state up to an offset, so that retention may remove older records.
    Snapshot(CellSnapshot),
}

/// State of a cell's stream at an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSnapshot {
    /// Offset before which all records are covered.
    pub up_to: LogOffset,
    /// Current epoch.
    pub epoch: Epoch,
    /// Claim of the current epoch.
    pub claim: Option<EpochClaim>,
    /// Newest epoch started by a forced claim; 0 for none.
    pub forced: Epoch,
    /// Newest change of each attempt that is still relevant.
    pub attempts: Vec<AttemptRecord>,
}

/// Record of a cell's stream with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellRecord {
    /// Id of the append.
    pub id: RecordId,
    /// Content.
    pub entry: CellEntry,
}

/// Range of tasks of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskRange {
    /// Job of the tasks.
    pub job: JobName,
    /// Index of the first task.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

/// Record of the jobs stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEntry {
    /// A cell claims a range; void if any of its tasks is already owned.
    Claim {
        /// Claiming cell.
        cell: CellId,
        /// Epoch of the claiming planner.
        epoch: Epoch,
        /// Claimed tasks.
        range: TaskRange,
    },
    /// A cell releases tasks, with the state that another cell needs to continue them.
    Release {
        /// Releasing cell.
        cell: CellId,
        /// Epoch of the releasing planner.
        epoch: Epoch,
        /// Released tasks, with the last attempt number and checkpoint.
        tasks: Vec<ReleasedTask>,
    },
    /// Tasks of a cell ended and will not be started again.
    Ended {
        /// Cell that owned the tasks.
        cell: CellId,
        /// Ended tasks, with their final state.
        tasks: Vec<EndedTask>,
    },
    /// Complete state up to an offset.
    Snapshot(JobSnapshot),
}

/// Task released by a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedTask {
    /// Newest attempt; its number is 0 if the task was never started.
    pub attempt: AttemptId,
    /// Checkpoint to resume from, if any.
    pub token: Option<CheckpointToken>,
}

/// Task that ended and will not be started again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Last attempt.
    pub attempt: AttemptId,
    /// Final state.
    pub phase: TaskPhase,
}

/// State of the jobs stream at an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSnapshot {
    /// Offset before which all records are covered.
    pub up_to: LogOffset,
    /// Task ranges with their owners.
    pub owned: Vec<OwnedRange>,
    /// Newest release of each task that has not ended, even if the task was claimed again.
    pub released: Vec<ReleasedTask>,
    /// Ended tasks of jobs that are not withdrawn.
    pub ended: Vec<EndedTask>,
    /// Position of the newest record of each cell; older and repeated records are void.
    pub writer_positions: Vec<WriterPosition>,
}

/// Position of a record in the sequence written to the jobs stream by the planners of one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriterPosition {
    /// Cell of the planners.
    pub cell: CellId,
    /// Epoch of the writing planner.
    pub epoch: Epoch,
    /// Counter within the epoch.
    pub sequence: u64,
}

/// Task range with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// Cell that owns the tasks.
    pub cell: CellId,
    /// Owned tasks.
    pub range: TaskRange,
}

/// Record of the jobs stream with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// Id of the append.
    pub id: RecordId,
    /// Content.
    pub entry: JobEntry,
}
