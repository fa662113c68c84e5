//! Publishes a note: appends it, reads it back and tells the verdict.

use crate::failure::ToolFailure;
use crate::notes_reader::{NoteFinding, NotesReader};
use crate::report::{ExitStatus, ToolReport};
use crate::rollout::RolloutReport;
use hornbeamlead_core::ids::Revision;
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::record::StreamName;
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_settings::note::encode_note;
use serde::Serialize;
use std::time::Duration;

/// Time between two tries while the log does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Verdict on a published note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PublishVerdict {
    /// In force from its revision on.
    Accepted,
    /// Without effect.
    Refused,
    /// It may stand on the log or come to stand there.
    Unknown,
    /// The log never answered, and nothing was sent to it.
    NotSent,
}

/// Report on a published note.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PublishReport {
    /// Id of the note.
    pub(crate) note: Box<str>,
    /// Verdict.
    pub(crate) outcome: PublishVerdict,
    /// Revision that the note made, if it was accepted.
    pub(crate) revision: Option<u64>,
    /// Why it was refused.
    pub(crate) reason: Option<Box<str>>,
    /// How the wait went, if one was asked for.
    pub(crate) rollout: Option<RolloutReport>,
}

impl PublishReport {
    fn new(note: &ReleaseNote, outcome: PublishVerdict) -> Self {
        Self {
            note: note.id.as_str().into(),
            outcome,
            revision: None,
            reason: None,
            rollout: None,
        }
    }

    fn accepted(note: &ReleaseNote, revision: Revision) -> Self {
        Self {
            revision: Some(revision.0),
            ..Self::new(note, PublishVerdict::Accepted)
        }
    }

    fn refused(note: &ReleaseNote, reason: String) -> Self {
        Self {
            reason: Some(reason.into()),
            ..Self::new(note, PublishVerdict::Refused)
        }
    }
}

/// Appends a note unless it stands on the log already, and reads its verdict back.
///
/// An append whose answer is lost is resolved by reading; while the note is not found it is
/// appended again, which is safe since an id is accepted once.
///
/// # Errors
/// Returns [`ToolFailure::LogIncomplete`] when the log's records make up no configuration.
pub(crate) async fn publish(
    log: &LogClient,
    note: &ReleaseNote,
    timeout: Duration,
) -> Result<PublishReport, ToolFailure> {
    let mut sent = false;
    let resolved = tokio::time::timeout(timeout, publish_until(log, note, &mut sent)).await;
    match (resolved, sent) {
        (Ok(report), _) => report,
        (Err(_), true) => Ok(PublishReport::new(note, PublishVerdict::Unknown)),
        (Err(_), false) => Ok(PublishReport::new(note, PublishVerdict::NotSent)),
    }
}

/// Goes on until the verdict is known; `sent` is set before anything goes to the log.
async fn publish_until(
    log: &LogClient,
    note: &ReleaseNote,
    sent: &mut bool,
) -> Result<PublishReport, ToolFailure> {
    let mut reader = NotesReader::new(log.clone(), note.id.clone());
    loop {
        match reader.read_to_end().await {
            Ok(()) => match verdict(&reader, note) {
                Some(report) => return Ok(report),
                None => {
                    *sent = true;
                    append(log, note).await;
                }
            },
            Err(ToolFailure::LogDown) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(failure) => return Err(failure),
        }
    }
}

/// Appends once; a lost answer is resolved by the read that follows.
async fn append(log: &LogClient, note: &ReleaseNote) {
    let appended = log.append(&StreamName::Notes, encode_note(note)).await;
    if appended.is_err() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn verdict(reader: &NotesReader, note: &ReleaseNote) -> Option<PublishReport> {
    match reader.finding(Some(note)) {
        NoteFinding::Absent => None,
        NoteFinding::Accepted(revision) => Some(PublishReport::accepted(note, revision)),
        NoteFinding::Refused(Some(refusal)) => {
            Some(PublishReport::refused(note, refusal.to_string()))
        }
        NoteFinding::Refused(None) => {
            let reason = "it was refused earlier; take a new id to try again";
            Some(PublishReport::refused(note, reason.to_owned()))
        }
        NoteFinding::Foreign => {
            let reason = "the id was used before by a note of different content; take a new one";
            Some(PublishReport::refused(note, reason.to_owned()))
        }
    }
}

impl ToolReport for PublishReport {
    fn exit_status(&self) -> ExitStatus {
        let everywhere = self
            .rollout
            .as_ref()
            .is_none_or(|rollout| rollout.lagging.is_empty());
        match self.outcome {
            PublishVerdict::Accepted if everywhere => ExitStatus::Done,
            _ => ExitStatus::Refused,
        }
    }
}

impl std::fmt::Display for PublishReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let note = &self.note;
        let reason = self.reason.as_deref().unwrap_or_default();
        let revision = self.revision.unwrap_or_default();
        match self.outcome {
            PublishVerdict::Accepted => writeln!(f, "note {note} accepted: revision {revision}")?,
            PublishVerdict::Refused => writeln!(f, "note {note} refused: {reason}")?,
            PublishVerdict::Unknown => writeln!(
                f,
                "note {note}: outcome unknown, the log did not answer; ask `hornbeamctl note \
                 status {note}`, or apply the same file again: it is accepted once"
            )?,
            PublishVerdict::NotSent => {
                writeln!(f, "note {note} not sent: the log did not answer")?;
            }
        }
        match &self.rollout {
            Some(rollout) => write!(f, "{rollout}"),
            None => Ok(()),
        }
    }
}
