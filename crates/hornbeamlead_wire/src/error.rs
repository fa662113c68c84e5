//! Errors of decoding.

use hornbeamlead_core::ids::NameError;
use snafu::Snafu;

/// Reports bytes that are no valid message.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// There is not a byte.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message is longer than any that is sent.
    #[snafu(display("the message has {length} bytes, more than {limit}"))]
    TooLong {
        /// Length found, in bytes.
        length: usize,
        /// Most that is allowed, in bytes.
        limit: usize,
    },
    /// The version byte is of another version.
    #[snafu(display("the message has version {found}, this process speaks {expected}"))]
    Version {
        /// Version found.
        found: u8,
        /// Version spoken.
        expected: u8,
    },
    /// The bytes do not make up the expected type.
    #[snafu(display("the message does not decode: {source}"))]
    Malformed {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// Bytes follow the message.
    #[snafu(display("{count} bytes follow the message"))]
    Trailing {
        /// How many.
        count: usize,
    },
    /// A name is ill-formed.
    #[snafu(display("{source}"), context(false))]
    BadName {
        /// What is wrong with it.
        source: NameError,
    },
    /// A field holds a value that its type does not have.
    #[snafu(display("the field {field} holds no valid value"))]
    BadField {
        /// Name of the field.
        field: &'static str,
    },
}
