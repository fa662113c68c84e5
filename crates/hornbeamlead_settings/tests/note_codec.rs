//! Records of the notes stream: round trips, and malformed input without a panic.

#[path = "common/strategies.rs"]
mod strategies;

use hornbeamlead_core::event::NoteEntry;
use hornbeamlead_settings::note::{
    MAX_NOTE_BYTES, NoteDecodeError, decode_entry, encode_note, encode_snapshot, read_note,
};
use proptest::collection::vec;
use proptest::prelude::*;
use strategies::{corrupted_record, note, snapshot};

proptest! {
    #[test]
    fn note_round_trip(note in note()) {
        let decoded = decode_entry(&encode_note(&note));
        prop_assert_eq!(decoded, Ok(NoteEntry::Note(note)));
    }

    #[test]
    fn snapshot_round_trip(snapshot in snapshot()) {
        let decoded = decode_entry(&encode_snapshot(&snapshot));
        prop_assert_eq!(decoded, Ok(NoteEntry::Snapshot(snapshot)));
    }

    #[test]
    fn arbitrary_bytes(bytes in vec(any::<u8>(), 0..2000)) {
        let _ = decode_entry(&bytes);
    }

    #[test]
    fn corrupted_bytes(bytes in corrupted_record()) {
        let _ = decode_entry(&bytes);
    }

    #[test]
    fn arbitrary_text(text in ".{0,400}") {
        let _ = read_note("note.json", &text);
        let _ = hornbeamlead_settings::read_settings("settings.json", &text);
        let _ = hornbeamlead_settings::read_tool_settings("tool.json", &text);
    }
}

#[test]
fn long_record() {
    let payload = vec![b' '; MAX_NOTE_BYTES + 1];
    let length = payload.len();
    assert_eq!(
        decode_entry(&payload),
        Err(NoteDecodeError::TooLong { length })
    );
}

#[test]
fn deep_nesting() {
    let payload = "[".repeat(MAX_NOTE_BYTES);
    assert!(decode_entry(payload.as_bytes()).is_err());
    assert!(read_note("note.json", &payload).is_err());
}
