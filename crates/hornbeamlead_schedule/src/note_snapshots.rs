//! Snapshots of the notes stream, written by whichever planner finds that none was of late.

use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::{AgentEffect, OwnRecord};
use hornbeamlead_core::event::{NoteEntry, NoteRecord};
use hornbeamlead_core::fleet::snapshot::JOBS_PER_PART;
use hornbeamlead_core::ids::{CellId, LogOffset};
use hornbeamlead_core::record::{LogBatch, StreamName};
use std::time::Duration;

/// Time without a snapshot after which one is written.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Difference between the waits of two planners, longer than a read interval and an append.
const PLANNER_TURN: Duration = Duration::from_millis(750);

/// Planners that wait for different spans.
const PLANNER_TURNS: u32 = 64;

/// Keeps track of the snapshots on the notes stream.
#[derive(Clone, Debug)]
pub(crate) struct NoteSnapshots {
    wait: Duration,
    most_records: u64,
    seen_at: Option<MonoTime>,
    up_to: LogOffset,
}

impl NoteSnapshots {
    /// Makes the record of a planner's cell.
    pub(crate) fn new(cell: CellId, most_records: u64) -> Self {
        Self {
            wait: SNAPSHOT_INTERVAL + PLANNER_TURN * (cell.0 % PLANNER_TURNS),
            most_records,
            seen_at: None,
            up_to: LogOffset(0),
        }
    }

    /// Notes the snapshots in a stretch of the stream.
    pub(crate) fn take(&mut self, batch: &LogBatch<NoteRecord>, now: MonoTime) {
        self.seen_at.get_or_insert(now);
        for placed in &batch.records {
            if let Some(NoteEntry::Snapshot(snapshot)) = &placed.record.entry {
                self.up_to = self.up_to.max(snapshot.up_to);
                self.seen_at = Some(now);
            }
        }
    }

    /// Writes a snapshot if none was of late, or many notes were.
    pub(crate) fn write_if_due(&mut self, turn: &mut TurnContext<'_>) {
        let Some(seen_at) = self.seen_at else {
            return;
        };
        let next = turn.fleet.next();
        let many = next.0.saturating_sub(self.up_to.0) >= self.most_records;
        if next == LogOffset(0) || (!many && turn.mono() < seen_at.plus(self.wait)) {
            return;
        }
        self.seen_at = Some(turn.mono());
        self.up_to = next;
        for part in turn.fleet.snapshot().split(JOBS_PER_PART) {
            turn.emit(AgentEffect::AppendLog {
                stream: StreamName::Notes,
                record: OwnRecord::NotesSnapshot(part),
            });
        }
    }
}
