//! Entry points: one pair of functions for each kind of message or record.

use crate::control::ControlForm;
use crate::error::{MalformedSnafu, WireError};
use crate::link::LinkForm;
use crate::record::{CellForm, JobForm};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::record::{CellRecord, JobRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

/// Version of the encoding; the first byte of each message.
pub const WIRE_VERSION: u8 = 1;

/// Largest frame on a link, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Largest record on the log, in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Encodes a datagram.
#[must_use]
pub fn encode_control(message: &ControlMessage) -> Vec<u8> {
    encode(&ControlForm::from(message))
}

/// Decodes a datagram.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid message.
pub fn decode_control(bytes: &[u8]) -> Result<ControlMessage, WireError> {
    decode::<ControlForm>(bytes, MAX_DATAGRAM_BYTES)?.try_into()
}

/// Encodes a frame; deadlines cross the wire as the time left at `now`.
#[must_use]
pub fn encode_link(message: &LinkMessage, now: MonoTime) -> Vec<u8> {
    encode(&LinkForm::new(message, now))
}

/// Decodes a frame; the time left becomes a deadline counted from `now`.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid message.
pub fn decode_link(bytes: &[u8], now: MonoTime) -> Result<LinkMessage, WireError> {
    decode::<LinkForm>(bytes, MAX_FRAME_BYTES)?.resolve(now)
}

/// Encodes a record of a cell's stream.
#[must_use]
pub fn encode_cell(record: &CellRecord) -> Bytes {
    encode(&CellForm::from(record)).into()
}

/// Decodes a record of a cell's stream.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid record.
pub fn decode_cell(bytes: &[u8]) -> Result<CellRecord, WireError> {
    decode::<CellForm>(bytes, MAX_RECORD_BYTES)?.try_into()
}

/// Encodes a record of the jobs stream.
#[must_use]
pub fn encode_job(record: &JobRecord) -> Bytes {
    encode(&JobForm::from(record)).into()
}

/// Decodes a record of the jobs stream.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid record.
pub fn decode_job(bytes: &[u8]) -> Result<JobRecord, WireError> {
    decode::<JobForm>(bytes, MAX_RECORD_BYTES)?.try_into()
}

fn encode<F: Serialize>(form: &F) -> Vec<u8> {
    // Growing a vector cannot fail, and no form holds a type that postcard refuses.
    postcard::to_extend(form, vec![WIRE_VERSION]).unwrap_or_default()
}

fn decode<F: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<F, WireError> {
    if bytes.len() > limit {
        return Err(WireError::TooLong {
            length: bytes.len(),
            limit,
        });
    }
    let (version, body) = bytes.split_first().ok_or(WireError::Empty)?;
    if *version != WIRE_VERSION {
        return Err(WireError::Version {
            found: *version,
            expected: WIRE_VERSION,
        });
    }
    let (form, rest) = postcard::take_from_bytes(body).context(MalformedSnafu)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing { count: rest.len() });
    }
    Ok(form)
}
