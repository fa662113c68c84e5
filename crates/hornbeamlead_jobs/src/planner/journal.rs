//! Writes the journal: copies of durable plan records that outlast a long outage.

use super::PlannerMachine;
use crate::effect::Effect;
use crate::ids::{PlannerEpoch, StreamOffset};
use crate::journal::{CopiedRecord, CopyTerm, JournalEntry, copy_bytes};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use crate::store::{
    AppendCondition, NewRecord, PlannerComponent, StoreCall, StoreOperation, StoreOutcome,
    StreamName,
};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time after which an append to the journal counts as failed and is retried.
const JOURNAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before a failed append is retried.
const JOURNAL_BACKOFF: Duration = Duration::from_millis(40);

/// Maximum size of the records that wait for the next entry, in bytes; the store limits an append to
/// 2 MiB.
const MAX_HELD_BYTES: usize = 1536 * 1024;

/// Append to the journal that has not completed.
#[derive(Debug)]
pub(super) struct JournalAppend {
    records: Vec<NewRecord>,
    sequence: u64,
    retry_at: Option<MonoTime>,
}

/// Writer of the journal.
#[derive(Debug)]
pub(super) struct JournalWriter {
    epoch: PlannerEpoch,
    claim: StreamOffset,
    /// Number of the next append.
    sequence: u64,
    /// Begin of the plan's section that the next entry holds.
    since: StreamOffset,
    /// Records of that section so far.
    held: Vec<CopiedRecord>,
    /// Size of these records in bytes.
    held_bytes: usize,
    /// End of the section whose copy is stored under each key; 0 if the key is free.
    slots: Vec<StreamOffset>,
}

impl JournalWriter {
    pub(super) fn new(epoch: PlannerEpoch, claim: StreamOffset) -> Self {
        Self {
            epoch,
            claim,
            sequence: 0,
            since: 0,
            held: Vec::new(),
            held_bytes: 0,
            slots: Vec::new(),
        }
    }

    /// Begins with the state of a snapshot.
    pub(super) fn restart(&mut self, snapshot: StreamOffset) {
        self.since = snapshot;
        self.held.clear();
        self.held_bytes = 0;
    }

    /// Adds a record to the next entry, if it is durable.
    pub(super) fn hold(&mut self, record: &PlanRecord, copy: CopiedRecord) {
        if CopyTerm::from(record) == CopyTerm::Never {
            return;
        }
        let next = copy.0 + 1;
        self.held_bytes += copy_bytes(&copy);
        self.held.push(copy);
        if self.held_bytes > MAX_HELD_BYTES {
            // An outage before the next snapshot remains a gap, which no reader skips.
            self.restart(next);
        }
    }

    /// Adds a batch, and returns the append that has to succeed before anything is done that depends
    /// on the batch.
    pub(super) fn add_batch(
        &mut self,
        start: StreamOffset,
        records: &[PlanRecord],
        encoded: &[NewRecord],
    ) -> Option<JournalAppend> {
        for (offset, (record, encoded)) in (start..).zip(records.iter().zip(encoded)) {
            let bytes = encoded.value.clone().unwrap_or_default();
            self.hold(record, (offset, bytes));
        }
        let is_urgent = |record: &PlanRecord| CopyTerm::from(record) == CopyTerm::AtOnce;
        if !records.iter().any(is_urgent) {
            return None;
        }
        let entry = JournalEntry {
            epoch: self.epoch,
            claim: self.claim,
            since: self.since,
            end: start + records.len() as u64,
            records: std::mem::take(&mut self.held),
        };
        self.restart(entry.end);
        let parts = entry.split();
        let records = parts
            .iter()
            .map(|part| part.to_record(self.take_slot(part.end)));
        let records = records.collect();
        let sequence = self.sequence;
        self.sequence += 1;
        Some(JournalAppend {
            records,
            sequence,
            retry_at: None,
        })
    }

    fn take_slot(&mut self, end: StreamOffset) -> usize {
        let free = self.slots.iter().position(|end| *end == 0);
        let slot = free.unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(taken) => *taken = end,
            None => self.slots.push(end),
        }
        slot
    }

    /// Drops what a stored snapshot includes.
    pub(super) fn release(&mut self, snapshot: StreamOffset) {
        for end in &mut self.slots {
            if *end <= snapshot {
                *end = 0;
            }
        }
        self.since = self.since.max(snapshot);
        self.held.retain(|(offset, _)| *offset >= snapshot);
        self.held_bytes = self.held.iter().map(copy_bytes).sum();
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Appends the copy of the batch in flight to the journal.
    pub(super) fn send_copy(&mut self, now: MonoTime) {
        let Some(append) = self.batch.copy_mut() else {
            return;
        };
        append.retry_at = None;
        let (records, sequence) = (append.records.clone(), append.sequence);
        self.effects.push(Effect::Store(StoreCall {
            caller: PlannerComponent::Journal.caller(self.epoch),
            operation: StoreOperation::Append {
                stream: StreamName::Journal,
                records,
                condition: AppendCondition::Epoch {
                    epoch: self.epoch.0,
                    sequence,
                },
            },
            deadline: now.plus(JOURNAL_TIMEOUT),
        }));
    }

    /// Repeats a failed append to the journal once it is due.
    pub(super) fn repeat_copy(&mut self, now: MonoTime) {
        let append = self.batch.copy_mut();
        let retry_at = append.and_then(|append| append.retry_at);
        if retry_at.is_some_and(|at| now >= at) {
            self.send_copy(now);
        }
    }

    pub(super) fn handle_copy(&mut self, now: MonoTime, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Appended { .. } => {
                self.batch.finish_copy();
                self.complete_append(now);
            }
            StoreOutcome::Fenced | StoreOutcome::Moved { .. } => self.depose("journal_fenced"),
            StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => {
                self.batch.note_failure(now);
                self.log("append_failed", "journal", format!("cause={cause:?}"));
                if let Some(append) = self.batch.copy_mut() {
                    append.retry_at = Some(now.plus(JOURNAL_BACKOFF));
                }
            }
            _ => {}
        }
    }
}
