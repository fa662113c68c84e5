//! Commands about notes that publish nothing: check and status.

use crate::args::CommonOptions;
use crate::failure::{BadNameSnafu, ToolFailure};
use crate::files::{load_note, load_settings};
use crate::notes_reader::{NoteFinding, NotesReader};
use crate::operators::OperatorsClient;
use crate::report::{ExitStatus, ToolReport};
use crate::status_wire::NoteWire;
use hornbeamlead_core::ids::NoteId;
use hornbeamlead_core::note::{NoteItems, NoteNames};
use hornbeamlead_platform::log::LogClient;
use serde::Serialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// Report on a note's file that has no faults.
#[derive(Debug, Serialize)]
pub(crate) struct CheckReport {
    note: Box<str>,
    outcome: &'static str,
    added: usize,
    changed: usize,
    withdrawn: usize,
}

/// Checks a note's file.
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

/// What became of a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum NoteOutcome {
    Accepted,
    Refused,
    NotFound,
}

/// Source of an answer about a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum AnswerSource {
    Log,
    Entry,
}

/// Report on what became of a note.
#[derive(Debug, Serialize)]
pub(crate) struct FateReport {
    note: Box<str>,
    outcome: NoteOutcome,
    revision: Option<u64>,
    reason: Option<Box<str>>,
    source: AnswerSource,
}

/// Tells what became of a note, from the log or, while that is down, from the entries.
pub(crate) async fn ask_note(common: &CommonOptions, id: &str) -> Result<FateReport, ToolFailure> {
    let settings = load_settings(common)?;
    let id = NoteId::new(id).context(BadNameSnafu { text: id })?;
    let mut reader = NotesReader::new(LogClient::new(settings.log), id.clone());
    match reader.read_to_end().await {
        Ok(()) => Ok(FateReport::from_log(&id, reader.finding(None))),
        Err(ToolFailure::LogDown) => ask_entries(&settings.entries, &id).await,
        Err(failure) => Err(failure),
    }
}

async fn ask_entries(entries: &[SocketAddr], id: &NoteId) -> Result<FateReport, ToolFailure> {
    let path = format!("/note/{id}");
    let answers = OperatorsClient::new()
        .ask_all::<Option<NoteWire>>(entries.iter().copied(), &path)
        .await;
    let answered: Vec<_> = answers
        .into_iter()
        .filter_map(|(_, answer)| answer)
        .collect();
    if answered.is_empty() {
        return Err(ToolFailure::NoEntry);
    }
    let fate = answered.into_iter().flatten().next();
    Ok(FateReport {
        note: id.as_str().into(),
        outcome: match &fate {
            Some(fate) if fate.accepted => NoteOutcome::Accepted,
            Some(_) => NoteOutcome::Refused,
            None => NoteOutcome::NotFound,
        },
        revision: fate.and_then(|fate| fate.revision),
        reason: None,
        source: AnswerSource::Entry,
    })
}

impl FateReport {
    fn from_log(id: &NoteId, finding: NoteFinding) -> Self {
        let (outcome, revision, reason) = match finding {
            NoteFinding::Accepted(revision) => (NoteOutcome::Accepted, Some(revision.0), None),
            NoteFinding::Refused(refusal) => {
                let reason = refusal.map(|refusal| refusal.to_string().into());
                (NoteOutcome::Refused, None, reason)
            }
            NoteFinding::Absent | NoteFinding::Foreign => (NoteOutcome::NotFound, None, None),
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

impl ToolReport for FateReport {
    fn exit_status(&self) -> ExitStatus {
        match self.outcome {
            NoteOutcome::Accepted => ExitStatus::Done,
            NoteOutcome::Refused | NoteOutcome::NotFound => ExitStatus::Refused,
        }
    }
}

impl std::fmt::Display for FateReport {
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
