//! Encodes and decodes records of the notes stream.

use super::wire::WireEntry;
use bytes::Bytes;
use hornbeamlead_core::event::NoteEntry;
use hornbeamlead_core::fleet::FleetSnapshot;
use hornbeamlead_core::note::ReleaseNote;
use snafu::Snafu;

/// Longest record of the notes stream, in bytes; the log rejects longer ones.
///
/// A longer payload is rejected before it is parsed.
pub const MAX_NOTE_BYTES: usize = 1024 * 1024;

/// Bound on the memory that decoding holds at once, in bytes per byte of the payload.
pub const DECODE_BYTES_PER_BYTE: usize = 64;

/// Memory that decoding may hold in addition to [`DECODE_BYTES_PER_BYTE`], in bytes.
pub const DECODE_BYTES_FIXED: usize = 4096;

/// Reason why a payload is not a record of the notes stream.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NoteDecodeError {
    /// The payload is longer than [`MAX_NOTE_BYTES`].
    #[snafu(display("the record has {length} bytes; the limit is {MAX_NOTE_BYTES}"))]
    TooLong {
        /// Length of the payload, in bytes.
        length: usize,
    },
    /// The payload is not JSON of the expected structure.
    #[snafu(display("the record is malformed: {cause}"))]
    Malformed {
        /// Error message of the parser.
        cause: Box<str>,
    },
    /// A value is outside its domain.
    #[snafu(display("a value is invalid: {cause}"))]
    BadValue {
        /// Reason why the value was rejected.
        cause: Box<str>,
    },
}

/// Encodes a release note as a record of the notes stream.
///
/// ```
/// use hornbeamlead_core::event::NoteEntry;
/// use hornbeamlead_settings::note::{decode_entry, encode_note, read_note};
///
/// let text = r#"{"id": "n1", "based_on": null, "author": "nimal",
///     "withdrawn": {"jobs": ["seasoning-report-7"]}}"#;
/// let note = read_note("cancel.json", text).unwrap();
/// assert_eq!(decode_entry(&encode_note(&note)), Ok(NoteEntry::Note(note)));
/// ```
#[must_use]
pub fn encode_note(note: &ReleaseNote) -> Bytes {
    encode(&WireEntry::Note(note.into()))
}

/// Encodes a snapshot as a record of the notes stream.
///
/// ```
/// use hornbeamlead_core::fleet::FleetState;
/// use hornbeamlead_settings::note::{decode_entry, encode_snapshot};
///
/// let snapshot = FleetState::default().snapshot();
/// assert!(decode_entry(&encode_snapshot(&snapshot)).is_ok());
/// ```
#[must_use]
pub fn encode_snapshot(snapshot: &FleetSnapshot) -> Bytes {
    encode(&WireEntry::Snapshot(snapshot.into()))
}

/// Decodes a record of the notes stream.
///
/// ```
/// assert!(hornbeamlead_settings::note::decode_entry(b"{}").is_err());
/// ```
///
/// # Errors
/// Returns [`NoteDecodeError`] if `payload` is not a valid record. The result depends on `payload`
/// only, so all processes skip the same records.
pub fn decode_entry(payload: &[u8]) -> Result<NoteEntry, NoteDecodeError> {
    if payload.len() > MAX_NOTE_BYTES {
        return Err(NoteDecodeError::TooLong {
            length: payload.len(),
        });
    }
    let parsed: Result<WireEntry, _> = serde_json::from_slice(payload);
    match parsed {
        Ok(entry) => entry.try_into(),
        Err(error) => Err(NoteDecodeError::Malformed {
            cause: error.to_string().into(),
        }),
    }
}

fn encode(entry: &WireEntry) -> Bytes {
    // Strings, numbers and lists can always be written as JSON, so this does not fail.
    serde_json::to_vec(entry).unwrap_or_default().into()
}
