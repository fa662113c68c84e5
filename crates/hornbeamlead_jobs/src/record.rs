//! Records of the plan stream, and their encoding.

use crate::ids::{HostName, JobId, RunName, StreamOffset, TaskName, WorkerIncarnation};
use crate::job::{JobPhase, RunEnd};
use crate::ledger::{CrashMoment, CrashSuspicion, CrashedAttempt};
use crate::load::LoadReport;
use crate::placed::PlacedReport;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;

/// Version of the encoding, written as the first byte of each record and message.
const ENCODING_VERSION: u8 = 1;

/// First byte of a placed report. Differs from [`ENCODING_VERSION`], so that a placed report is not
/// taken for a load report where there is none.
const PLACED_MARK: u8 = 2;

/// Error for bytes that are no valid record or message.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// The encoding has another version, or there are no bytes.
    #[snafu(display("unknown encoding version {found:?}"))]
    Version {
        /// First byte, if there is one.
        found: Option<u8>,
    },
    /// The content does not decode to the expected type.
    #[snafu(display("malformed content: {cause}"))]
    Malformed {
        /// Error of the decoder.
        cause: Box<str>,
    },
}

/// Encodes a record or message.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    encode_after(ENCODING_VERSION, value)
}

pub(crate) fn encode_after<T: Serialize>(first: u8, value: &T) -> Bytes {
    // Writing to a vector does not fail, and postcard supports all types that are encoded.
    let bytes = postcard::to_extend(value, vec![first]);
    bytes.unwrap_or_default().into()
}

/// Decodes a record or message; bytes that follow it are ignored.
///
/// # Errors
/// Returns [`DecodeError`] for another version of the encoding or malformed content.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_first(bytes).map(|(value, _)| value)
}

/// Decodes a value that others may follow, and returns it with the remaining bytes.
///
/// # Errors
/// Returns [`DecodeError`] for another version of the encoding or malformed content.
pub fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    decode_after(ENCODING_VERSION, bytes)
}

/// Decodes a value that follows a given first byte, and returns it with the remaining bytes.
///
/// # Errors
/// Returns [`DecodeError`] for another first byte or malformed content.
pub(crate) fn decode_after<T: DeserializeOwned>(
    first: u8,
    bytes: &[u8],
) -> Result<(T, &[u8]), DecodeError> {
    match bytes.split_first() {
        Some((byte, body)) if *byte == first => take_value(body),
        other => Err(DecodeError::Version {
            found: other.map(|(byte, _)| *byte),
        }),
    }
}

/// Decodes a value without a version, and returns it with the remaining bytes.
///
/// # Errors
/// Returns [`DecodeError`] for malformed content.
pub(crate) fn take_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    postcard::take_from_bytes(bytes).map_err(|error| DecodeError::Malformed {
        cause: error.to_string().into(),
    })
}

/// Reports that follow a heartbeat in the same record of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReports {
    /// Work that waits.
    pub load: Option<LoadReport>,
    /// Jobs that are placed and not known to have begun.
    pub placed: Option<PlacedReport>,
}

/// Encodes a heartbeat and the reports that follow it. Readers that do not know a report ignore it.
#[must_use]
pub fn encode_heartbeat(heartbeat: &PlanRecord, reports: &HeartbeatReports) -> Bytes {
    let load = reports.load.as_ref().map(encode);
    let placed = reports.placed.as_ref();
    let placed = placed.map(|report| encode_after(PLACED_MARK, report));
    let (load, placed) = (load.unwrap_or_default(), placed.unwrap_or_default());
    [encode(heartbeat), load, placed].concat().into()
}

/// Decodes a record of the plan stream, and the reports if it is a heartbeat with some. A report
/// that cannot be read counts as absent.
///
/// # Errors
/// Returns [`DecodeError`] for another version of the encoding or malformed content.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<(PlanRecord, HeartbeatReports), DecodeError> {
    let (record, rest) = decode_first(bytes)?;
    let reports = match record {
        PlanRecord::Tick { .. } => decode_reports(rest),
        _ => HeartbeatReports::default(),
    };
    Ok((record, reports))
}

fn decode_reports(bytes: &[u8]) -> HeartbeatReports {
    let (load, rest) = match decode_first(bytes) {
        Ok((load, rest)) => (Some(load), rest),
        Err(_) => (None, bytes),
    };
    let placed = match rest.split_first() {
        Some((&PLACED_MARK, body)) => postcard::take_from_bytes(body).ok(),
        _ => None,
    };
    let placed = placed.map(|(report, _)| report);
    HeartbeatReports { load, placed }
}

/// Claim of the planner role, which is the first record of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerClaim {
    /// Host of the planner.
    pub host: HostName,
    /// Incarnation of the planner's process.
    pub incarnation: u64,
    /// Address at which agents reach the planner.
    pub address: SocketAddr,
}

/// Record of the plan stream. Variants are encoded by position, so new ones go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanRecord {
    /// A planner of an earlier version takes over, which does not keep to lease bounds.
    Claim(PlannerClaim),
    /// Heartbeat of the planner, with its position in the jobs stream.
    Tick {
        /// Next offset to read.
        jobs_read: StreamOffset,
    },
    /// The planner has read an accepted job.
    Accepted {
        /// Accepted job.
        job: JobId,
        /// Queue, as host and path prefix.
        queue: Box<str>,
    },
    /// An attempt may be ordered from now on.
    Started {
        /// Attempt to start.
        run: RunName,
        /// Host on which the attempt is placed.
        host: HostName,
        /// Incarnation of the worker that may run the attempt.
        incarnation: WorkerIncarnation,
    },
    /// An attempt has ended.
    Ended {
        /// Attempt that ended.
        run: RunName,
        /// Reason for the end.
        end: RunEnd,
        /// Newest checkpoint, if there is one.
        saved: Option<Box<str>>,
    },
    /// A job has ended.
    Closed {
        /// Job that ended.
        job: JobId,
        /// Final phase.
        phase: JobPhase,
    },
    /// Address of an agent, so that the next planner can ask it to connect.
    Host {
        /// Host of the agent.
        host: HostName,
        /// Address at which the agent listens.
        address: SocketAddr,
    },
    /// A planner takes over.
    Takeover(PlannerClaim),
    /// Bound of the leases of a host that is silent, or its withdrawal. While a bound is stored, no
    /// planner grants leases to the host.
    LeaseBound {
        /// Host of the leases.
        host: HostName,
        /// Longest time in milliseconds that a lease still lasts after this record was stored;
        /// `None` withdraws the bound.
        remaining_ms: Option<u32>,
    },
    /// Grants that a planner of an earlier version has given after its last append have expired.
    GrantsConfirmed,
    /// An attempt makes no progress, so it will be stopped. Versions that do not know this record
    /// ignore it.
    Stalled {
        /// Attempt that stalled.
        run: RunName,
    },
    /// The worker of an attempt has crashed, and the attempt may be the cause. Precedes the end of the
    /// attempt. Versions that do not know this record ignore it.
    Crashed {
        /// Attempt that was on the worker.
        run: RunName,
        /// How likely the attempt is the cause.
        suspicion: CrashSuspicion,
    },
    /// An attempt has run for so long that its task does not crash its workers. Versions that do not
    /// know this record ignore it.
    Sound {
        /// Attempt that runs.
        run: RunName,
    },
    /// A worker has crashed. Precedes the ends of the attempts that were on it. Versions that do not
    /// know this record ignore it.
    WorkerCrashed {
        /// Moment of the crash, which it shares with crashes of other workers.
        moment: CrashMoment,
        /// Host of the worker.
        host: HostName,
        /// Attempts that had begun on it.
        attempts: Box<[CrashedAttempt]>,
    },
    /// An attempt has run beyond the ages at which workers have crashed under its task. Versions that do
    /// not know this record ignore it.
    Outlived {
        /// Attempt that runs.
        run: RunName,
    },
    /// Jobs that ended long ago, and whose bodies have been removed, are forgotten. Versions that do not
    /// know this record keep them.
    Forgotten {
        /// Jobs that have ended.
        jobs: Box<[JobId]>,
    },
}

impl PlanRecord {
    /// Returns the task that the record concerns, if it concerns one.
    #[must_use]
    pub fn task(&self) -> Option<TaskName> {
        match self {
            Self::Started { run, .. }
            | Self::Ended { run, .. }
            | Self::Stalled { run }
            | Self::Crashed { run, .. }
            | Self::Sound { run }
            | Self::Outlived { run } => Some(run.task),
            _ => None,
        }
    }
}
