//! Which announcements are the worker's own, and which are newer than others.

use crate::worker::WorkerAnnouncement;
use hornbeamlead_core::clock::MonoTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest step between the sequence numbers of two announcements that were heard one after the
/// other.
const MAX_SEQUENCE_STEP: u64 = 1000;

/// Time for which announcements have to go on with other sequence numbers until these are taken. Late
/// announcements arrive together.
const SEQUENCE_SETTLE_TIME: Duration = Duration::from_millis(2500);

/// What the settings tell of the worker. An announcement that differs comes from another writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpectedWorker {
    /// Address at which the worker takes calls.
    pub address: Option<SocketAddr>,
    /// Service to which the worker belongs.
    pub service: Option<Box<str>>,
}

impl ExpectedWorker {
    /// Returns what an announcement names differently.
    pub(super) fn mismatch(&self, announcement: &WorkerAnnouncement) -> Option<&'static str> {
        let service = self.service.as_ref();
        match self.address {
            Some(address) if address != announcement.address => Some("other_address"),
            _ if service.is_some_and(|it| *it != announcement.facts.service) => {
                Some("other_service")
            }
            _ => None,
        }
    }
}

/// Newest sequence number of a life's announcements.
#[derive(Clone, Copy, Debug)]
pub(super) struct SequenceWatch {
    newest: u64,
    /// Number that does not follow the newest one, and when the first such was heard since.
    stray: Option<(u64, MonoTime)>,
}

impl SequenceWatch {
    pub(super) fn new(newest: u64) -> Self {
        Self {
            newest,
            stray: None,
        }
    }

    /// Returns whether an announcement is newer than those before.
    pub(super) fn take(&mut self, now: MonoTime, sequence: u64) -> bool {
        let follows =
            |known: u64| sequence > known && sequence <= known.saturating_add(MAX_SEQUENCE_STEP);
        let is_newer = match self.stray {
            _ if follows(self.newest) => true,
            Some((known, since)) if follows(known) => {
                self.stray = Some((sequence, since));
                now.since(since) >= SEQUENCE_SETTLE_TIME
            }
            _ => {
                self.stray = Some((sequence, now));
                false
            }
        };
        if is_newer {
            *self = Self::new(sequence);
        }
        is_newer
    }
}
