//! Records of the plan stream, and their encoding.

use crate::ids::{HostName, JobId, RunName, StreamOffset, TaskName, WorkerIncarnation};
use crate::job::{JobPhase, RunEnd};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;

/// Version of the encoding; first byte of each record and message.
const ENCODING_VERSION: u8 = 1;

/// Reports bytes that are no record or message.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// Another version, or nothing at all.
    #[snafu(display("encoding version {found:?} instead of {ENCODING_VERSION}"))]
    Version {
        /// First byte.
        found: Option<u8>,
    },
    /// Broken content.
    #[snafu(display("malformed content: {cause}"))]
    Malformed {
        /// Cause.
        cause: Box<str>,
    },
}

/// Encodes a record or message.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    // Growing a vector cannot fail, and no form holds a type that postcard refuses.
    let bytes = postcard::to_extend(value, vec![ENCODING_VERSION]);
    bytes.unwrap_or_default().into()
}

/// Decodes a record or message.
///
/// # Errors
/// Returns [`DecodeError`] for another version or broken content.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&ENCODING_VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| DecodeError::Malformed {
                cause: error.to_string().into(),
            })
        }
        first => Err(DecodeError::Version {
            found: first.map(|(byte, _)| *byte),
        }),
    }
}

/// Claim of the planner's duty; the first record of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerClaim {
    /// Host of the planner.
    pub host: HostName,
    /// Life of the process.
    pub incarnation: u64,
    /// Address at which agents reach it.
    pub address: SocketAddr,
}

/// One record of the plan stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanRecord {
    /// A planner takes over.
    Claim(PlannerClaim),
    /// The planner lives and has read the jobs stream up to an offset.
    Tick {
        /// Next offset that it reads.
        jobs_read: StreamOffset,
    },
    /// A job is known to the planner.
    Accepted {
        /// Job.
        job: JobId,
        /// Queue, as host and path prefix.
        queue: Box<str>,
    },
    /// An attempt may be ordered from now on.
    Started {
        /// Attempt.
        run: RunName,
        /// Host.
        host: HostName,
        /// Life of the worker that may run it.
        incarnation: WorkerIncarnation,
    },
    /// An attempt has ended.
    Ended {
        /// Attempt.
        run: RunName,
        /// How.
        end: RunEnd,
        /// Newest checkpoint, if there is one.
        saved: Option<Box<str>>,
    },
    /// A job has ended.
    Closed {
        /// Job.
        job: JobId,
        /// How.
        phase: JobPhase,
    },
    /// Address of an agent, for the next planner.
    Host {
        /// Host.
        host: HostName,
        /// Address.
        address: SocketAddr,
    },
}

impl PlanRecord {
    /// Returns the task of the record, if it concerns one.
    #[must_use]
    pub fn task(&self) -> Option<TaskName> {
        match self {
            Self::Started { run, .. } | Self::Ended { run, .. } => Some(run.task),
            _ => None,
        }
    }
}
