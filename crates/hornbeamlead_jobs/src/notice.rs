//! Notices of jobs that may be stored although no caller was told so. Entries exchange them through
//! agents, so that no entry refuses a job that another one may have stored.

use crate::ids::JobId;
use hornbeamlead_core::clock::MonoTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of notices in a message; further ones are ignored.
pub const MAX_NOTICES: usize = 512;

/// Longest time that a notice may state. A sender that knows of a longer one repeats its notice.
const MAX_LATE_TIME: Duration = Duration::from_secs(60);

/// Job that may be stored, and the time until which an append of it may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateJob {
    /// Job that may be stored.
    pub job: JobId,
    /// Time after which no append of the job takes effect any more.
    pub until: MonoTime,
}

/// Encoded form of a [`LateJob`], with a duration instead of a reading of the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobNotice {
    job: JobId,
    late_ms: u32,
}

impl JobNotice {
    /// Converts a late job into its encoded form.
    #[must_use]
    pub fn new(now: MonoTime, late: LateJob) -> Self {
        let late_ms = late.until.since(now).min(MAX_LATE_TIME).as_millis();
        Self {
            job: late.job,
            late_ms: u32::try_from(late_ms).unwrap_or(u32::MAX),
        }
    }

    /// Converts the encoded form into a late job; a time above the maximum is cut to it.
    #[must_use]
    pub fn into_late(self, now: MonoTime) -> LateJob {
        let span = Duration::from_millis(self.late_ms.into()).min(MAX_LATE_TIME);
        LateJob {
            job: self.job,
            until: now.plus(span),
        }
    }
}

/// Message between an entry and an agent, in either direction. The agent answers each one, with an
/// empty one if it has nothing to tell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeMessage {
    notices: Vec<JobNotice>,
}

impl NoticeMessage {
    /// Creates a message of the given jobs, of which there may be [`MAX_NOTICES`] at most.
    pub fn new(now: MonoTime, late: impl IntoIterator<Item = LateJob>) -> Self {
        let notices = late.into_iter().take(MAX_NOTICES);
        Self {
            notices: notices.map(|late| JobNotice::new(now, late)).collect(),
        }
    }

    /// Creates as many messages as the given jobs need, at least one.
    #[must_use]
    pub fn split(now: MonoTime, late: &[LateJob]) -> Vec<Self> {
        match late {
            [] => vec![Self::default()],
            _ => late
                .chunks(MAX_NOTICES)
                .map(|part| Self::new(now, part.iter().copied()))
                .collect(),
        }
    }

    /// Returns the jobs in the message.
    pub fn late_jobs(&self, now: MonoTime) -> impl Iterator<Item = LateJob> {
        let notices = self.notices.iter().take(MAX_NOTICES);
        notices.map(move |notice| notice.into_late(now))
    }
}
