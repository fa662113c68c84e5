//! Encodes and decodes the messages between processes and the records on the log.

use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::record::{CellRecord, JobRecord};

/// Largest frame on a link, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Reports bytes that are no valid message.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("undecodable message: {cause}"))]
pub struct WireError {
    cause: Box<str>,
}

/// Encodes a datagram.
#[must_use]
pub fn encode_control(message: &ControlMessage) -> Vec<u8> {
    let _ = message;
    Vec::new()
}

/// Decodes a datagram.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid message.
pub fn decode_control(bytes: &[u8]) -> Result<ControlMessage, WireError> {
    let _ = bytes;
    Err(WireError {
        cause: "not built yet".into(),
    })
}

/// Encodes a frame; deadlines cross the wire as the time left at `now`.
#[must_use]
pub fn encode_link(message: &LinkMessage, now: MonoTime) -> Vec<u8> {
    let _ = (message, now);
    Vec::new()
}

/// Decodes a frame; the time left becomes a deadline counted from `now`.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid message.
pub fn decode_link(bytes: &[u8], now: MonoTime) -> Result<LinkMessage, WireError> {
    let _ = (bytes, now);
    Err(WireError {
        cause: "not built yet".into(),
    })
}

/// Encodes a record of a cell's stream.
#[must_use]
pub fn encode_cell(record: &CellRecord) -> Bytes {
    let _ = record;
    Bytes::new()
}

/// Decodes a record of a cell's stream.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid record.
pub fn decode_cell(bytes: &[u8]) -> Result<CellRecord, WireError> {
    let _ = bytes;
    Err(WireError {
        cause: "not built yet".into(),
    })
}

/// Encodes a record of the jobs stream.
#[must_use]
pub fn encode_job(record: &JobRecord) -> Bytes {
    let _ = record;
    Bytes::new()
}

/// Decodes a record of the jobs stream.
///
/// # Errors
/// Returns [`WireError`] for bytes that are no valid record.
pub fn decode_job(bytes: &[u8]) -> Result<JobRecord, WireError> {
    let _ = bytes;
    Err(WireError {
        cause: "not built yet".into(),
    })
}
