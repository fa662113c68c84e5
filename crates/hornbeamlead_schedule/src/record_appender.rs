//! Appends one record at a time to a stream and retries it under the same id until it is read back.

use crate::event_context::EventContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::ids::RecordId;
use hornbeamlead_core::record::StreamName;

/// Record that was appended but not read back yet.
#[derive(Clone, Debug)]
struct PendingRecord {
    id: RecordId,
    record: AppendRecord,
    /// When the last append failed, with its outcome unknown; `None` while one is in flight.
    failed_at: Option<MonoTime>,
}

/// Appender with at most one pending record.
#[derive(Clone, Debug)]
pub(crate) struct RecordAppender {
    stream: StreamName,
    pending: Option<PendingRecord>,
}

impl RecordAppender {
    pub(crate) fn new(stream: StreamName) -> Self {
        Self {
            stream,
            pending: None,
        }
    }

    /// Returns whether no record is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Appends a record; no other may be pending.
    pub(crate) fn append(
        &mut self,
        id: RecordId,
        record: AppendRecord,
        context: &mut EventContext<'_>,
    ) {
        context.emit(AgentEffect::AppendLog {
            stream: self.stream.clone(),
            record: record.clone(),
        });
        self.pending = Some(PendingRecord {
            id,
            record,
            failed_at: None,
        });
    }

    /// Records that an append failed; the record may still reach the log.
    pub(crate) fn fail(&mut self, id: &RecordId, at: MonoTime) {
        if let Some(pending) = self.pending.as_mut().filter(|pending| pending.id == *id) {
            pending.failed_at = Some(at);
        }
    }

    /// Records that an id was read back; returns whether it was the pending one.
    pub(crate) fn acknowledge(&mut self, id: &RecordId) -> bool {
        let found = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.id == *id);
        if found {
            self.pending = None;
        }
        found
    }

    /// Retries a failed append once a tail read that began after the failure did not show it.
    pub(crate) fn retry_failed(&mut self, tail_read_at: MonoTime, context: &mut EventContext<'_>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.failed_at.is_none_or(|at| tail_read_at <= at) {
            return;
        }
        pending.failed_at = None;
        context.emit(AgentEffect::AppendLog {
            stream: self.stream.clone(),
            record: pending.record.clone(),
        });
        context.count_retry(RetryReason::LogAppend);
    }

    /// Stops retrying the pending record; it may still take effect.
    pub(crate) fn abandon(&mut self) {
        self.pending = None;
    }
}
