//! Notes that the tool makes itself: drains, returns and cancellations.
//!
//! They name no revision, since they touch one item and commute with all other notes.

use hornbeamlead_core::ids::{DataCentreName, JobName, NameError, NoteId};
use hornbeamlead_core::note::{DataCentreSpec, NoteItems, NoteNames, ReleaseNote};
use std::hash::{BuildHasher, RandomState};
use std::time::SystemTime;

/// Characters of the subject's name in an id; the whole has to stay within a name's length.
const SUBJECT_CHARS: usize = 20;

/// Makes the note that takes a data centre out of service, or brings it back.
pub(crate) fn move_note(
    author: &str,
    data_centre: &DataCentreName,
    in_service: bool,
) -> Result<ReleaseNote, NameError> {
    let verb = if in_service { "return" } else { "drain" };
    let spec = DataCentreSpec {
        name: data_centre.clone(),
        in_service,
    };
    let changed = NoteItems {
        data_centres: vec![spec],
        ..NoteItems::default()
    };
    Ok(ReleaseNote {
        changed,
        ..empty_note(author, verb, data_centre.as_str())?
    })
}

/// Makes the note that withdraws a job.
pub(crate) fn cancel_note(author: &str, job: &JobName) -> Result<ReleaseNote, NameError> {
    let withdrawn = NoteNames {
        jobs: vec![job.clone()],
        ..NoteNames::default()
    };
    Ok(ReleaseNote {
        withdrawn,
        ..empty_note(author, "cancel", job.as_str())?
    })
}

fn empty_note(author: &str, verb: &str, subject: &str) -> Result<ReleaseNote, NameError> {
    Ok(ReleaseNote {
        id: fresh_id(verb, subject)?,
        based_on: None,
        author: author.into(),
        added: NoteItems::default(),
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    })
}

/// Makes an id that no other run of the tool makes: it ends with the time and 64 random bits.
///
/// It names its subject, so that `explain` finds the note by it.
fn fresh_id(verb: &str, subject: &str) -> Result<NoteId, NameError> {
    let now = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    let time: String = now.chars().filter(char::is_ascii_alphanumeric).collect();
    let random = RandomState::new().hash_one(&time);
    let subject: String = subject.chars().take(SUBJECT_CHARS).collect();
    NoteId::new(&format!("{verb}-{subject}-{time}-{random:016x}"))
}
