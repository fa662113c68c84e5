//! Repeated reads of the newest snapshot, when it cannot be used or does not reach the plan records
//! that are still stored.

use crate::effect::Effect;
use crate::follow::NewestReader;
use crate::ids::StreamOffset;
use crate::store::{StoreCaller, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// First pause before the newest snapshot is read again; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause; a planner that is active writes a snapshot each 3 s.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Returns a reader of the newest snapshot that starts at once.
pub(crate) fn snapshot_reader(caller: StoreCaller) -> NewestReader {
    NewestReader::new(StreamName::Snapshots, caller)
}

/// Paces the reads of the newest snapshot.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotRetry {
    caller: StoreCaller,
    failures: u32,
    /// Offset of the last read of the plan whose records had expired.
    expired_from: Option<StreamOffset>,
    gap_logged: bool,
}

impl SnapshotRetry {
    /// Creates the pace of a component that has not read a snapshot yet.
    pub(crate) fn new(caller: StoreCaller) -> Self {
        Self {
            caller,
            failures: 0,
            expired_from: None,
            gap_logged: false,
        }
    }

    /// Returns a reader that starts after a pause, because the snapshot that was read is unusable.
    pub(crate) fn after_pause(&mut self, now: MonoTime) -> NewestReader {
        let pause = (MIN_PAUSE * (1 << self.failures.min(4))).min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
        snapshot_reader(self.caller).starting_at(now.plus(pause))
    }

    /// Returns a reader for when plan records from an offset on have expired, and a log line if it
    /// is certain that the newest snapshot does not include them. Records must not be skipped, since
    /// a task whose end is unknown would run twice, so such a gap ends only with a newer snapshot.
    pub(crate) fn after_expiry(
        &mut self,
        now: MonoTime,
        from: StreamOffset,
        first: StreamOffset,
    ) -> (NewestReader, Option<Effect>) {
        if !self.is_gap(from) {
            return (snapshot_reader(self.caller), None);
        }
        let line = self.log_gap(from, first, "");
        (self.after_pause(now), line)
    }

    /// Returns whether plan records from an offset on have expired that the newest snapshot certainly
    /// does not include. A reader that was only slow finds a newer snapshot.
    pub(crate) fn is_gap(&mut self, from: StreamOffset) -> bool {
        self.expired_from.replace(from) == Some(from)
    }

    /// Returns a log line of a gap for its first occurrence.
    pub(crate) fn log_gap(
        &mut self,
        from: StreamOffset,
        first: StreamOffset,
        journal: &str,
    ) -> Option<Effect> {
        (!std::mem::replace(&mut self.gap_logged, true)).then(|| {
            let cause = "plan records expired that the newest snapshot does not include";
            let detail = format!("from={from} first={first} cause={cause:?} journal={journal:?}");
            Effect::log("plan_gap", "plan", detail)
        })
    }

    /// Ends the pauses once plan records after the snapshot have been read.
    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.caller);
    }
}
