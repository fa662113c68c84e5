//! Decodes records of the notes stream.

use bytes::Bytes;
use hornbeamlead_core::event::NoteRecord;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogRecord, RawRecord};
use hornbeamlead_settings::note::decode_entry;

/// Decodes a record; an undecodable one has no entry, and every process skips it.
pub(crate) fn decode_note_record(offset: LogOffset, payload: Bytes) -> LogRecord<NoteRecord> {
    LogRecord {
        offset,
        record: NoteRecord {
            entry: decode_entry(&payload).ok(),
            raw: RawRecord { offset, payload },
        },
    }
}
