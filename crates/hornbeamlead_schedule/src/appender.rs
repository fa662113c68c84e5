//! Append of one record at a time to a stream, repeated under one id until it is read back.

use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RetryReason;
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::ids::RecordId;
use hornbeamlead_core::record::StreamName;

/// Record that was handed to the log and not read back yet.
#[derive(Clone, Debug)]
struct OpenAppend {
    id: RecordId,
    record: AppendRecord,
    /// When the last answer came that left the outcome open; `None` while one is awaited.
    failed_at: Option<MonoTime>,
}

/// Slot for one open append to a stream.
#[derive(Clone, Debug)]
pub(crate) struct AppendSlot {
    stream: StreamName,
    open: Option<OpenAppend>,
}

impl AppendSlot {
    /// Makes an empty slot.
    pub(crate) fn new(stream: StreamName) -> Self {
        Self { stream, open: None }
    }

    /// Returns whether no append is open.
    pub(crate) fn is_free(&self) -> bool {
        self.open.is_none()
    }

    /// Hands a record to the log; the slot must be free.
    pub(crate) fn append(
        &mut self,
        id: RecordId,
        record: AppendRecord,
        turn: &mut TurnContext<'_>,
    ) {
        turn.emit(AgentEffect::AppendLog {
            stream: self.stream.clone(),
            record: record.clone(),
        });
        self.open = Some(OpenAppend {
            id,
            record,
            failed_at: None,
        });
    }

    /// Notes that an append was answered without a position.
    pub(crate) fn fail(&mut self, id: &RecordId, at: MonoTime) {
        if let Some(open) = self.open.as_mut().filter(|open| open.id == *id) {
            open.failed_at = Some(at);
        }
    }

    /// Notes an id that was read back; returns whether it was the open one.
    pub(crate) fn settle(&mut self, id: &RecordId) -> bool {
        let found = self.open.as_ref().is_some_and(|open| open.id == *id);
        if found {
            self.open = None;
        }
        found
    }

    /// Repeats a failed append once a tail read, begun after the failure, did not show it.
    pub(crate) fn repeat(&mut self, tail_began: MonoTime, turn: &mut TurnContext<'_>) {
        let Some(open) = &mut self.open else {
            return;
        };
        if open.failed_at.is_none_or(|at| tail_began <= at) {
            return;
        }
        open.failed_at = None;
        turn.emit(AgentEffect::AppendLog {
            stream: self.stream.clone(),
            record: open.record.clone(),
        });
        turn.retry(RetryReason::LogAppend);
    }

    /// Gives an open append up; it may still take effect.
    pub(crate) fn abandon(&mut self) {
        self.open = None;
    }
}
