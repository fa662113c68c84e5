//! Release notes: the format that operators write, and the records of the notes stream.

mod checks;
mod codec;
mod convert;
mod items;
mod wire;

pub(crate) use items::read_size;

pub use codec::{
    DECODE_BYTES_FIXED, DECODE_BYTES_PER_BYTE, MAX_NOTE_BYTES, NoteDecodeError, decode_entry,
    encode_note, encode_snapshot,
};

use crate::finding::{FindingLog, Findings};
use crate::section::{Section, parse_document};
use hornbeamlead_core::ids::Revision;
use hornbeamlead_core::note::ReleaseNote;
use items::{read_items, read_names};

/// Reads a release note in the operators' format and reports all errors together.
///
/// ```
/// use hornbeamlead_settings::note::read_note;
///
/// let text = r#"{
///     "id": "open-negombo", "based_on": 0, "author": "nimal",
///     "added": {"data_centres": [{"name": "negombo"}]},
/// }"#;
/// let note = read_note("open.json", text).unwrap();
/// assert!(note.added.data_centres[0].in_service);
/// ```
///
/// # Errors
/// Returns all findings if the note is not valid.
pub fn read_note(file_name: &str, text: &str) -> Result<ReleaseNote, Findings> {
    let mut log = FindingLog::new(file_name, text);
    let note = parse_document(text, &mut log, read_root);
    log.into_result(note)
}

fn read_root(mut section: Section<'_>, log: &mut FindingLog<'_>) -> Option<ReleaseNote> {
    let id = section.required("id", log);
    let based_on = section.required::<Option<Revision>>("based_on", log);
    let author = section.required("author", log);
    let added = read_items(&mut section, "added", log);
    let changed = read_items(&mut section, "changed", log);
    let withdrawn = read_names(&mut section, log);
    checks::check_changes(&section, &added, &changed, &withdrawn, log);
    section.finish(log);
    Some(ReleaseNote {
        id: id?,
        based_on: based_on?,
        author: author?,
        added,
        changed,
        withdrawn,
    })
}
