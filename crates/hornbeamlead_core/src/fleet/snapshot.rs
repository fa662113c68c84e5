//! Snapshots of the configuration, in parts that fit in a record of the log.

use crate::ids::{LogOffset, NoteId, Revision};
use crate::note::NoteItems;

/// Jobs in one part of a snapshot, at most; a job takes some 300 bytes as written.
pub const JOBS_PER_PART: usize = 1_500;

/// Fate of a note whose id is remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteResult {
    /// Note.
    pub id: NoteId,
    /// Revision that it made; `None` if it was refused.
    pub revision: Option<Revision>,
}

/// Whole configuration or one part of it, as written to the log again before retention runs out.
///
/// Parts of the same offset are alike, whoever wrote them: they are cut at fixed places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Records before this offset are contained.
    pub up_to: LogOffset,
    /// Revision in force.
    pub revision: Revision,
    /// Number of this part, from 0.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Items of this part.
    pub items: NoteItems,
    /// Fates of the newest notes, oldest first; in part 0.
    pub fates: Vec<NoteResult>,
}

impl FleetSnapshot {
    /// Returns whether nothing is missing.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.part == 0 && self.parts <= 1
    }

    /// Cuts a whole snapshot into parts of at most `jobs` jobs; part 0 holds all other items.
    #[must_use]
    pub fn split(mut self, jobs: usize) -> Vec<Self> {
        let mut rest = std::mem::take(&mut self.items.jobs);
        let jobs = jobs.max(1);
        let count = rest.len().div_ceil(jobs).clamp(1, usize::from(u16::MAX));
        let parts = u16::try_from(count).unwrap_or(u16::MAX);
        let (up_to, revision) = (self.up_to, self.revision);
        let blank = |part| Self {
            up_to,
            revision,
            part,
            parts,
            ..Self::default()
        };
        let mut cut: Vec<Self> = (0..parts).map(blank).collect();
        cut[0] = Self { parts, ..self };
        for part in &mut cut {
            let tail = rest.split_off(jobs.min(rest.len()));
            part.items.jobs = std::mem::replace(&mut rest, tail);
        }
        cut
    }
}

/// Collects the parts of the newest snapshot seen until it is whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotParts {
    up_to: LogOffset,
    parts: Vec<Option<FleetSnapshot>>,
}

impl SnapshotParts {
    /// Adds a part; returns the whole snapshot once nothing is missing.
    pub(crate) fn add(&mut self, part: &FleetSnapshot) -> Option<FleetSnapshot> {
        if part.is_whole() {
            return Some(part.clone());
        }
        if part.part >= part.parts || part.up_to < self.up_to {
            return None;
        }
        let count = usize::from(part.parts);
        if part.up_to > self.up_to || count != self.parts.len() {
            self.up_to = part.up_to;
            self.parts = vec![None; count];
        }
        self.parts[usize::from(part.part)] = Some(part.clone());
        self.join()
    }

    fn join(&mut self) -> Option<FleetSnapshot> {
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let mut parts = std::mem::take(&mut self.parts).into_iter().flatten();
        let mut whole = parts.next()?;
        for part in parts {
            whole.items.jobs.extend(part.items.jobs);
        }
        whole.parts = 1;
        Some(whole)
    }
}
