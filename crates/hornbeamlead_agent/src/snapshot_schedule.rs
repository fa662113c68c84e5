//! Schedules snapshots of the configuration on the notes stream, before its records expire.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::snapshot::JOBS_PER_PART;
use hornbeamlead_core::fleet::{FleetSnapshot, FleetState};
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::LogRecord;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after which a snapshot that was not read back is rewritten.
const REWRITE_AFTER: Duration = Duration::from_secs(10);

/// Decides when a snapshot is due by the number of records since the newest one.
///
/// Agents use different thresholds, so that one of them writes a snapshot and the others read it
/// before they reach their own. Two snapshots of the same offset are equal and harmless.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    /// Records since the newest snapshot at which this agent writes one.
    record_threshold: u64,
    /// Records before this offset are contained in a snapshot that was read in full.
    covered: LogOffset,
    /// Offset of the newest snapshot of which a part was read.
    partial: LogOffset,
    observed_parts: BTreeSet<u16>,
    next_write_at: MonoTime,
}

impl SnapshotSchedule {
    /// Creates a schedule with a random threshold between `records` and 1.5 times as many.
    pub(crate) fn new(seed: u64, records: u64) -> Self {
        let spread = SmallRng::seed_from_u64(seed).random_range(0..=records / 2);
        Self {
            record_threshold: records.saturating_add(spread).max(1),
            covered: LogOffset(0),
            partial: LogOffset(0),
            observed_parts: BTreeSet::new(),
            next_write_at: MonoTime(0),
        }
    }

    /// Records the snapshots among the records that were read.
    pub(crate) fn observe(&mut self, records: &[LogRecord<NoteRecord>]) {
        for log_record in records {
            if let Some(NoteEntry::Snapshot(part)) = &log_record.record.entry {
                self.observe_part(part);
            }
        }
    }

    /// Returns the parts of a snapshot if one is due, else nothing.
    pub(crate) fn due(&mut self, now: MonoTime, fleet: &FleetState) -> Vec<FleetSnapshot> {
        let records = fleet.next().0.saturating_sub(self.covered.0);
        if records < self.record_threshold || now < self.next_write_at {
            return Vec::new();
        }
        self.next_write_at = now.plus(REWRITE_AFTER);
        fleet.snapshot().split(JOBS_PER_PART)
    }

    fn observe_part(&mut self, part: &FleetSnapshot) {
        if part.up_to > self.partial {
            self.partial = part.up_to;
            self.observed_parts.clear();
        }
        if part.up_to < self.partial || part.part >= part.parts.max(1) {
            return;
        }
        self.observed_parts.insert(part.part);
        if self.observed_parts.len() >= usize::from(part.parts.max(1)) {
            self.covered = self.covered.max(part.up_to);
        }
    }
}
