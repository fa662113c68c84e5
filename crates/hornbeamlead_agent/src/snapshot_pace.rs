//! Decides when the configuration is written to the notes stream again, before its records run out.

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

/// Time after which a snapshot that was not read back is written again.
const REWRITE_AFTER: Duration = Duration::from_secs(10);

/// Counts the records since the newest snapshot on the log.
///
/// Agents wait for different numbers of records, so that one of them writes and the others read
/// its snapshot before their own turn. Two snapshots of one offset are alike and do no harm.
#[derive(Debug)]
pub(crate) struct SnapshotPace {
    /// Records after the newest snapshot at which this agent writes one.
    after: u64,
    /// Records before this offset are contained in a snapshot that was read whole.
    covered: LogOffset,
    /// Newest snapshot of which parts were read.
    partial: LogOffset,
    seen: BTreeSet<u16>,
    not_before: MonoTime,
}

impl SnapshotPace {
    /// Makes the pace of an agent that writes after `records` to one and a half times as many.
    pub(crate) fn new(seed: u64, records: u64) -> Self {
        let spread = SmallRng::seed_from_u64(seed).random_range(0..=records / 2);
        Self {
            after: records.saturating_add(spread).max(1),
            covered: LogOffset(0),
            partial: LogOffset(0),
            seen: BTreeSet::new(),
            not_before: MonoTime(0),
        }
    }

    /// Takes note of the snapshots among the records that were read.
    pub(crate) fn read(&mut self, records: &[LogRecord<NoteRecord>]) {
        for placed in records {
            if let Some(NoteEntry::Snapshot(part)) = &placed.record.entry {
                self.read_part(part);
            }
        }
    }

    /// Returns the parts of a snapshot if one is due now.
    pub(crate) fn due(&mut self, now: MonoTime, fleet: &FleetState) -> Vec<FleetSnapshot> {
        let records = fleet.next().0.saturating_sub(self.covered.0);
        if records < self.after || now < self.not_before {
            return Vec::new();
        }
        self.not_before = now.plus(REWRITE_AFTER);
        fleet.snapshot().split(JOBS_PER_PART)
    }

    fn read_part(&mut self, part: &FleetSnapshot) {
        if part.up_to > self.partial {
            self.partial = part.up_to;
            self.seen.clear();
        }
        if part.up_to < self.partial || part.part >= part.parts.max(1) {
            return;
        }
        self.seen.insert(part.part);
        if self.seen.len() >= usize::from(part.parts.max(1)) {
            self.covered = self.covered.max(part.up_to);
        }
    }
}
