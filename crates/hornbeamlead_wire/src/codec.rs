//! Encodes and decodes each kind of message and record.

use crate::control::WireControlMessage;
use crate::error::{MalformedSnafu, WireError};
use crate::link::WireLinkMessage;
use crate::record::{WireCellRecord, WireJobRecord};
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

/// Largest log record, in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Encodes a control datagram.
#[must_use]
pub fn encode_control(message: &ControlMessage) -> Vec<u8> {
    encode(&WireControlMessage::from(message))
}

/// Decodes a control datagram.
///
/// # Errors
/// Returns [`WireError`] if `bytes` is not a valid message.
pub fn decode_control(bytes: &[u8]) -> Result<ControlMessage, WireError> {
    decode::<WireControlMessage>(bytes, MAX_DATAGRAM_BYTES)?.try_into()
}

/// Encodes a link frame; deadlines are sent as the time remaining at `now`.
#[must_use]
pub fn encode_link(message: &LinkMessage, now: MonoTime) -> Vec<u8> {
    encode(&WireLinkMessage::new(message, now))
}

/// Decodes a link frame; remaining times become deadlines counted from `now`.
///
/// # Errors
/// Returns [`WireError`] if `bytes` is not a valid message.
pub fn decode_link(bytes: &[u8], now: MonoTime) -> Result<LinkMessage, WireError> {
    decode::<WireLinkMessage>(bytes, MAX_FRAME_BYTES)?.resolve(now)
}

/// Encodes a record of a cell's stream.
#[must_use]
pub fn encode_cell(record: &CellRecord) -> Bytes {
    encode(&WireCellRecord::from(record)).into()
}

/// Decodes a record of a cell's stream.
///
/// # Errors
/// Returns [`WireError`] if `bytes` is not a valid record.
pub fn decode_cell(bytes: &[u8]) -> Result<CellRecord, WireError> {
    decode::<WireCellRecord>(bytes, MAX_RECORD_BYTES)?.try_into()
}

/// Encodes a record of the jobs stream.
#[must_use]
pub fn encode_job(record: &JobRecord) -> Bytes {
    encode(&WireJobRecord::from(record)).into()
}

/// Decodes a record of the jobs stream.
///
/// # Errors
/// Returns [`WireError`] if `bytes` is not a valid record.
pub fn decode_job(bytes: &[u8]) -> Result<JobRecord, WireError> {
    decode::<WireJobRecord>(bytes, MAX_RECORD_BYTES)?.try_into()
}

fn encode<W: Serialize>(wire: &W) -> Vec<u8> {
    // Growing a vector cannot fail, and no wire type holds a value that postcard rejects.
    postcard::to_extend(wire, vec![WIRE_VERSION]).unwrap_or_default()
}

fn decode<W: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<W, WireError> {
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
    let (wire, rest) = postcard::take_from_bytes(body).context(MalformedSnafu)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing { count: rest.len() });
    }
    Ok(wire)
}
