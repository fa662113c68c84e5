//! Records of the system's own streams on the platform's log.

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

/// Record as it stands on the log, not yet decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Position.
    pub offset: LogOffset,
    /// Payload.
    pub payload: Bytes,
}

/// Decoded record with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord<R> {
    /// Position.
    pub offset: LogOffset,
    /// Content.
    pub record: R,
}

/// Stretch of a stream as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogBatch<R> {
    /// Oldest position that the log still keeps.
    pub oldest: LogOffset,
    /// Position that the next append will take.
    pub next: LogOffset,
    /// Records read, in order; ends at `next` when the tail was reached.
    pub records: Vec<LogRecord<R>>,
}

/// Why the log did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// No answer in time, or an outage; an append may have taken effect.
    Unavailable,
    /// The asked offset is older than retention; a snapshot has to be loaded.
    Truncated {
        /// Oldest position that is still kept.
        oldest: LogOffset,
    },
}

/// Planner's claim of the next epoch of its cell; its offset plus one is the epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochClaim {
    /// Claimant.
    pub host: HostId,
    /// Life of the claimant.
    pub incarnation: Incarnation,
    /// Address of its control datagrams.
    pub control_address: SocketAddr,
    /// Epoch that the claimant saw; the claim is void if another came in between.
    pub previous: Epoch,
    /// Only host that may claim the next epoch, with its life; `None` while there is none.
    pub successor: Option<SuccessorName>,
    /// True when planner and successor were both silent or operators declared them lost.
    pub forced: bool,
}

/// Named successor of a planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuccessorName {
    /// Host.
    pub host: HostId,
    /// Address of its control datagrams.
    pub control_address: SocketAddr,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptChange {
    /// It is going to be started on a host.
    Started {
        /// Host that runs it.
        host: HostId,
        /// Checkpoint it resumes from.
        resume_from: Option<CheckpointToken>,
    },
    /// It wrote a checkpoint.
    Checkpointed {
        /// The checkpoint.
        token: CheckpointToken,
    },
    /// It no longer runs and may be resumed, here or in another cell.
    Released {
        /// Last checkpoint.
        token: Option<CheckpointToken>,
    },
    /// It ended for good.
    Ended {
        /// Final state.
        phase: TaskPhase,
    },
}

/// One change of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub change: AttemptChange,
}

/// Record of a cell's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEntry {
    /// Claim of an epoch.
    Claim(EpochClaim),
    /// Names another successor within an epoch.
    Successor {
        /// Epoch of the planner that writes.
        epoch: Epoch,
        /// New successor.
        successor: Option<SuccessorName>,
    },
    /// Changes of attempts, by a planner; void if a newer claim stands before it.
    Attempts {
        /// Epoch of the planner that writes.
        epoch: Epoch,
        /// Changes in order.
        changes: Vec<AttemptRecord>,
    },
    /// Whole state up to an offset, so that older records may run out.
    Snapshot(CellSnapshot),
}

/// State of a cell's stream at an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSnapshot {
    /// Records before this offset are contained.
    pub up_to: LogOffset,
    /// Epoch in force.
    pub epoch: Epoch,
    /// Claim in force.
    pub claim: Option<EpochClaim>,
    /// Newest epoch that a forced claim began; 0 for none.
    pub forced: Epoch,
    /// Newest change of each attempt that still matters.
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
    /// Job.
    pub job: JobName,
    /// First index.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

/// Record of the jobs stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEntry {
    /// A cell claims a range; void where any of its tasks is owned already.
    Claim {
        /// Claiming cell.
        cell: CellId,
        /// Epoch of the claiming planner.
        epoch: Epoch,
        /// Claimed tasks.
        range: TaskRange,
    },
    /// A cell gives tasks up, with all that another needs to go on with them.
    Release {
        /// Releasing cell.
        cell: CellId,
        /// Epoch of the releasing planner.
        epoch: Epoch,
        /// Released tasks, with the last attempt number and checkpoint.
        tasks: Vec<ReleasedTask>,
    },
    /// Tasks of a cell that ended for good.
    Ended {
        /// Cell.
        cell: CellId,
        /// Ended tasks, with their final state.
        tasks: Vec<EndedTask>,
    },
    /// Whole state up to an offset.
    Snapshot(JobSnapshot),
}

/// Task given up by a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedTask {
    /// Newest attempt; number 0 if it was never started.
    pub attempt: AttemptId,
    /// Checkpoint to go on from.
    pub token: Option<CheckpointToken>,
}

/// Task that ended.
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
    /// Records before this offset are contained.
    pub up_to: LogOffset,
    /// Owned ranges.
    pub owned: Vec<OwnedRange>,
    /// Newest release of each task that has not ended, whether or not it was claimed again.
    pub released: Vec<ReleasedTask>,
    /// Ended tasks of jobs that are not withdrawn.
    pub ended: Vec<EndedTask>,
    /// Newest record of each cell, so that older and repeated ones stay void.
    pub writer_positions: Vec<WriterPosition>,
}

/// Place of a record among all that the planners of one cell wrote to the jobs stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriterPosition {
    /// Cell.
    pub cell: CellId,
    /// Epoch of the planner that wrote it.
    pub epoch: Epoch,
    /// Counter within that epoch.
    pub sequence: u64,
}

/// Range with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// Owner.
    pub cell: CellId,
    /// Tasks.
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
