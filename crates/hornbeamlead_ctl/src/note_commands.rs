//! The read-only note commands: `note check` and `note status`.

use crate::args::CommonOptions;
use crate::failure::{InvalidNameSnafu, ToolFailure};
use crate::files::{load_note, load_settings};
use crate::notes_reader::{NoteLookup, NotesReader};
use crate::operator_client::OperatorClient;
use crate::report::{ExitStatus, ToolReport};
use crate::status_wire::NoteWire;
use hornbeamlead_core::ids::NoteId;
use hornbeamlead_core::note::{NoteItems, NoteNames};
use hornbeamlead_platform::log::LogClient;
use serde::Serialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// Summary of a valid note's file, with the number of items it touches.
#[derive(Debug, Serialize)]
pub(crate) struct CheckReport {
    note: Box<str>,
    outcome: &'static str,
    added: usize,
    changed: usize,
    withdrawn: usize,
}

/// Validates a note's file.
pub(crate) fn check_note(file: &Path) -> Result<CheckReport, ToolFailure> {
    let note = load_note(file)?;
    Ok(CheckReport {
        note: note.id.as_str().into(),
        outcome: "sound",
        added: count_items(&note.added),
        changed: count_items(&note.changed),
        withdrawn: count_names(&note.withdrawn),
    })
}

fn count_items(items: &NoteItems) -> usize {
    items.data_centres.len() + items.teams.len() + items.services.len() + items.jobs.len()
}

fn count_names(names: &NoteNames) -> usize {
    names.data_centres.len() + names.teams.len() + names.services.len() + names.jobs.len()
}

impl ToolReport for CheckReport {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Done
    }
}

impl std::fmt::Display for CheckReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "note {} is sound: adds {}, changes {}, withdraws {}",
            self.note, self.added, self.changed, self.withdrawn
        )
    }
}

/// Outcome of a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum NoteOutcome {
    Accepted,
    Refused,
    NotFound,
}

/// Where the outcome of a note was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum AnswerSource {
    Log,
    Entry,
}

/// Outcome of a note and where it was read.
#[derive(Debug, Serialize)]
pub(crate) struct NoteStatusReport {
    note: Box<str>,
    outcome: NoteOutcome,
    revision: Option<u64>,
    reason: Option<Box<str>>,
    source: AnswerSource,
}

/// Looks up the outcome of a note on the log or, while that is down, at the entries.
pub(crate) async fn query_note_status(
    common: &CommonOptions,
    id: &str,
) -> Result<NoteStatusReport, ToolFailure> {
    let settings = load_settings(common)?;
    let id = NoteId::new(id).context(InvalidNameSnafu { text: id })?;
    let mut reader = NotesReader::new(LogClient::new(settings.log), id.clone());
    match reader.read_to_end().await {
        Ok(()) => Ok(NoteStatusReport::from_log(&id, reader.lookup(None))),
        Err(ToolFailure::LogUnavailable) => query_entries(&settings.entries, &id).await,
        Err(failure) => Err(failure),
    }
}

async fn query_entries(
    entries: &[SocketAddr],
    id: &NoteId,
) -> Result<NoteStatusReport, ToolFailure> {
    let path = format!("/note/{id}");
    let responses = OperatorClient::new()
        .get_json_from_all::<Option<NoteWire>>(entries.iter().copied(), &path)
        .await;
    let received: Vec<_> = responses
        .into_iter()
        .filter_map(|(_, response)| response)
        .collect();
    if received.is_empty() {
        return Err(ToolFailure::NoEntryReachable);
    }
    let note_result = received.into_iter().flatten().next();
    Ok(NoteStatusReport {
        note: id.as_str().into(),
        outcome: match &note_result {
            Some(note_result) if note_result.accepted => NoteOutcome::Accepted,
            Some(_) => NoteOutcome::Refused,
            None => NoteOutcome::NotFound,
        },
        revision: note_result.and_then(|note_result| note_result.revision),
        reason: None,
        source: AnswerSource::Entry,
    })
}

impl NoteStatusReport {
    fn from_log(id: &NoteId, lookup: NoteLookup) -> Self {
        let (outcome, revision, reason) = match lookup {
            NoteLookup::Accepted(revision) => (NoteOutcome::Accepted, Some(revision.0), None),
            NoteLookup::Refused(refusal) => {
                let reason = refusal.map(|refusal| refusal.to_string().into());
                (NoteOutcome::Refused, None, reason)
            }
            NoteLookup::Absent | NoteLookup::ContentMismatch => (NoteOutcome::NotFound, None, None),
        };
        Self {
            note: id.as_str().into(),
            outcome,
            revision,
            reason,
            source: AnswerSource::Log,
        }
    }
}

impl ToolReport for NoteStatusReport {
    fn exit_status(&self) -> ExitStatus {
        match self.outcome {
            NoteOutcome::Accepted => ExitStatus::Done,
            NoteOutcome::Refused | NoteOutcome::NotFound => ExitStatus::Refused,
        }
    }
}

impl std::fmt::Display for NoteStatusReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let note = &self.note;
        let revision = self.revision.unwrap_or_default();
        let reason = self.reason.as_deref().unwrap_or("the reason is not kept");
        match (self.outcome, self.source) {
            (NoteOutcome::Accepted, _) => writeln!(f, "note {note} accepted: revision {revision}"),
            (NoteOutcome::Refused, _) => writeln!(f, "note {note} refused: {reason}"),
            (NoteOutcome::NotFound, AnswerSource::Log) => {
                writeln!(f, "note {note} is not on the log")
            }
            (NoteOutcome::NotFound, AnswerSource::Entry) => {
                writeln!(
                    f,
                    "note {note} is known to no entry, and the log does not answer"
                )
            }
        }
    }
}
