//! Encodes and decodes the messages between processes and the records on the log.
//!
//! Each encoded value starts with one version byte; the rest is postcard. The types that are
//! encoded are this package's own and are checked on their way into the vocabulary of
//! `hornbeamlead_core`, so no decoded value holds an ill-formed name.

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
