//! Publishes a note: appends it to the log, reads it back and reports the verdict.

use crate::failure::ToolFailure;
use crate::notes_reader::{NoteLookup, NotesReader};
use crate::report::{ExitStatus, ToolReport};
use crate::rollout::RolloutReport;
use hornbeamlead_core::ids::Revision;
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::record::StreamName;
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_settings::note::encode_note;
use serde::Serialize;
use std::time::Duration;

/// Delay between retries while the log does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Verdict on a published note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PublishVerdict {
    /// In force from its revision on.
    Accepted,
    /// Without effect.
    Refused,
    /// An append was sent whose result is unknown; the note may still take effect.
    Unknown,
    /// The log never answered a read, so no append was sent.
    NotSent,
}

/// Result of publishing a note.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PublishReport {
    /// Id of the note.
    pub(crate) note: Box<str>,
    pub(crate) outcome: PublishVerdict,
    /// Revision created by the note, if it was accepted.
    pub(crate) revision: Option<u64>,
    /// Reason for a refusal.
    pub(crate) reason: Option<Box<str>>,
    /// Result of `--wait`.
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

/// Appends a note unless it is on the log already, and reads its verdict back.
///
/// If the response to an append is lost, the log is read again. A note that is not found is
/// appended again, which is idempotent because an id is accepted only once.
///
/// # Errors
/// Returns [`ToolFailure::LogIncomplete`] when no configuration can be built from the records
/// on the log.
pub(crate) async fn publish(
    log: &LogClient,
    note: &ReleaseNote,
    timeout: Duration,
) -> Result<PublishReport, ToolFailure> {
    let mut sent = false;
    let resolved =
        tokio::time::timeout(timeout, publish_until_resolved(log, note, &mut sent)).await;
    match (resolved, sent) {
        (Ok(report), _) => report,
        (Err(_), true) => Ok(PublishReport::new(note, PublishVerdict::Unknown)),
        (Err(_), false) => Ok(PublishReport::new(note, PublishVerdict::NotSent)),
    }
}

/// Retries until the verdict is known; sets `sent` before the first append.
async fn publish_until_resolved(
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
            Err(ToolFailure::LogUnavailable) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(failure) => return Err(failure),
        }
    }
}

/// Appends the note once; errors are ignored because the next read shows the result.
async fn append(log: &LogClient, note: &ReleaseNote) {
    let appended = log.append(&StreamName::Notes, encode_note(note)).await;
    if appended.is_err() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn verdict(reader: &NotesReader, note: &ReleaseNote) -> Option<PublishReport> {
    match reader.lookup(Some(note)) {
        NoteLookup::Absent => None,
        NoteLookup::Accepted(revision) => Some(PublishReport::accepted(note, revision)),
        NoteLookup::Refused(Some(refusal)) => {
            Some(PublishReport::refused(note, refusal.to_string()))
        }
        NoteLookup::Refused(None) => {
            let reason = "it was refused earlier; use a new id to try again";
            Some(PublishReport::refused(note, reason.to_owned()))
        }
        NoteLookup::ContentMismatch => {
            let reason = "the id was used before by a note of different content; use a new one";
            Some(PublishReport::refused(note, reason.to_owned()))
        }
    }
}

impl ToolReport for PublishReport {
    fn exit_status(&self) -> ExitStatus {
        let fully_rolled_out = self
            .rollout
            .as_ref()
            .is_none_or(|rollout| rollout.lagging.is_empty());
        match self.outcome {
            PublishVerdict::Accepted if fully_rolled_out => ExitStatus::Done,
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
                "note {note}: outcome unknown, the log did not answer; run `hornbeamctl note \
                 status {note}`, or apply the same file again: it is accepted only once"
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
