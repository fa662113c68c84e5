//! Decoding errors.

use hornbeamlead_core::ids::NameError;
use snafu::Snafu;

/// Reason why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The input has no bytes.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message is longer than its kind allows.
    #[snafu(display("the message has {length} bytes; the limit is {limit}"))]
    TooLong {
        /// Length of the message, in bytes.
        length: usize,
        /// Largest allowed length, in bytes.
        limit: usize,
    },
    /// The message was encoded with another version of the encoding.
    #[snafu(display("the message has version {found}; this process supports {expected}"))]
    Version {
        /// Version of the message.
        found: u8,
        /// Version that this process supports.
        expected: u8,
    },
    /// The bytes do not encode a value of the expected type.
    #[snafu(display("the message cannot be decoded: {source}"))]
    Malformed {
        /// Error reported by postcard.
        source: postcard::Error,
    },
    /// Extra bytes follow the message.
    #[snafu(display("{count} bytes follow the message"))]
    Trailing {
        /// Number of extra bytes.
        count: usize,
    },
    /// A name is ill-formed.
    #[snafu(display("{source}"), context(false))]
    BadName {
        /// Reason why the name was rejected.
        source: NameError,
    },
    /// A field holds a value outside its domain.
    #[snafu(display("the field {field} holds an invalid value"))]
    BadField {
        /// Name of the field.
        field: &'static str,
    },
}
