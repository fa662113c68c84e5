//! Encodes and decodes the messages between processes and the records on the log.
//!
//! Each encoded value is one version byte followed by postcard. The encoded types are private to
//! this package: decoding converts them to types of `hornbeamlead_core` and validates them, so no
//! decoded value holds an ill-formed name.

#![warn(clippy::unwrap_used)]

mod announce;
mod codec;
mod control;
mod convert;
mod error;
mod heartbeat;
mod link;
mod promise;
mod record;
mod request;
mod snapshot;
mod task;

pub use codec::{
    MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, WIRE_VERSION, decode_cell, decode_control, decode_job,
    decode_link, encode_cell, encode_control, encode_job, encode_link,
};
pub use error::WireError;
