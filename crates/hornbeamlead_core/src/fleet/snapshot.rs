//! Snapshots of the configuration, split into parts that fit in a log record.

use crate::ids::{LogOffset, NoteId, Revision};
use crate::note::NoteItems;

/// Maximum number of jobs in one part of a snapshot; an encoded job takes about 300 bytes.
pub const JOBS_PER_PART: usize = 1_500;

/// Result of a note, retained to detect duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteResult {
    /// Id of the note.
    pub id: NoteId,
    /// Revision created by the note; `None` if it was refused.
    pub revision: Option<Revision>,
}

/// Snapshot of the configuration or one part of it.
///
/// Snapshots are appended to the log before retention removes the notes they replace. Every process
/// splits a snapshot at the same places, so parts by different writers can be combined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Offset before which all records are covered.
    pub up_to: LogOffset,
    /// Configuration revision.
    pub revision: Revision,
    /// Index of this part, from 0.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Items of this part.
    pub items: NoteItems,
    /// Results of the newest notes, oldest first; present in part 0 only.
    pub note_results: Vec<NoteResult>,
}

impl FleetSnapshot {
    /// Returns whether this is a complete snapshot rather than one of several parts.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.part == 0 && self.parts <= 1
    }

    /// Splits a complete snapshot into parts of at most `jobs` jobs; part 0 holds all other items.
    #[must_use]
    pub fn split(mut self, jobs: usize) -> Vec<Self> {
        let mut remaining = std::mem::take(&mut self.items.jobs);
        let jobs = jobs.max(1);
        let count = remaining
            .len()
            .div_ceil(jobs)
            .clamp(1, usize::from(u16::MAX));
        let parts = u16::try_from(count).unwrap_or(u16::MAX);
        let (up_to, revision) = (self.up_to, self.revision);
        let empty_part = |part| Self {
            up_to,
            revision,
            part,
            parts,
            ..Self::default()
        };
        let mut split_parts: Vec<Self> = (0..parts).map(empty_part).collect();
        split_parts[0] = Self { parts, ..self };
        for part in &mut split_parts {
            let tail = remaining.split_off(jobs.min(remaining.len()));
            part.items.jobs = std::mem::replace(&mut remaining, tail);
        }
        split_parts
    }
}

/// Collects the parts of the newest snapshot until it is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotParts {
    up_to: LogOffset,
    parts: Vec<Option<FleetSnapshot>>,
}

impl SnapshotParts {
    /// Adds a part; returns the complete snapshot once all parts are present.
    pub(crate) fn add(&mut self, part: &FleetSnapshot) -> Option<FleetSnapshot> {
        if part.is_complete() {
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
        self.assemble()
    }

    fn assemble(&mut self) -> Option<FleetSnapshot> {
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let mut parts = std::mem::take(&mut self.parts).into_iter().flatten();
        let mut complete = parts.next()?;
        for part in parts {
            complete.items.jobs.extend(part.items.jobs);
        }
        complete.parts = 1;
        Some(complete)
    }
}
