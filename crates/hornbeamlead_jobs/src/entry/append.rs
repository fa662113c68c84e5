//! Makes jobs and cancellations durable: appends that are repeated until their outcome is known.

use super::{CANCEL_PREFIX, EntryMachine, JOB_PREFIX};
use crate::effect::{CallerReply, Effect};
use crate::ids::JobId;
use crate::job::{JobBody, JobRecord, QueueTerms};
use crate::operators::OperatorFormat;
use crate::record::encode;
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::time::Duration;

/// Time after which an append is given up and repeated; a slow store answers within 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before an append of unknown outcome is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Time before a caller's deadline at which it is told that the outcome is unknown.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Append on behalf of a caller.
#[derive(Clone, Debug)]
pub(super) struct PendingAppend {
    job: JobId,
    queue: Box<str>,
    record: NewRecord,
    cancel: bool,
    deadline: MonoTime,
    /// Whether an earlier try may have taken effect.
    uncertain: bool,
    repeat_at: Option<MonoTime>,
}

impl<F: OperatorFormat> EntryMachine<F> {
    pub(super) fn submit(
        &mut self,
        now: ClockReading,
        ticket: u64,
        job: JobId,
        terms: QueueTerms,
        body: JobBody,
        deadline: MonoTime,
    ) {
        match () {
            () if self.phase(job).is_some() => {
                self.log("submit_repeated", job, String::new());
                return self.reply(ticket, CallerReply::Accepted);
            }
            () if body.validation_error().is_some() => {
                let validation_error = body.validation_error().unwrap_or_default();
                return self.reply(ticket, CallerReply::Invalid(validation_error));
            }
            () if self.is_store_away(now.mono) => {
                self.log("submit_refused", job, "reason=store_away".into());
                return self.refuse(ticket, "store_away");
            }
            () => {}
        }
        let queue = terms.queue.clone();
        let record = JobRecord {
            terms,
            accepted_ms: now.wall.0,
            body,
        };
        let record = NewRecord {
            key: Some(format!("{JOB_PREFIX}{job}").into()),
            value: Some(encode(&record)),
        };
        self.append(now.mono, ticket, job, queue, record, false, deadline);
    }

    pub(super) fn cancel(
        &mut self,
        now: MonoTime,
        ticket: u64,
        job: JobId,
        queue: Box<str>,
        deadline: MonoTime,
    ) {
        match self.phase(job) {
            Some(phase) if phase.is_final() => self.reply(ticket, CallerReply::Cancelled),
            None if self.is_plan_fresh(now) => self.reply(ticket, CallerReply::NoJob),
            None => self.refuse(ticket, "plan_too_old"),
            Some(_) if self.is_store_away(now) => {
                self.log("cancel_refused", job, "reason=store_away".into());
                self.refuse(ticket, "store_away");
            }
            Some(_) => {
                let record = NewRecord {
                    key: Some(format!("{CANCEL_PREFIX}{job}").into()),
                    value: Some(encode(&())),
                };
                self.append(now, ticket, job, queue, record, true, deadline);
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each is a field of the pending append"
    )]
    fn append(
        &mut self,
        now: MonoTime,
        ticket: u64,
        job: JobId,
        queue: Box<str>,
        record: NewRecord,
        cancel: bool,
        deadline: MonoTime,
    ) {
        let pending = PendingAppend {
            job,
            queue,
            record,
            cancel,
            deadline: deadline.minus(ANSWER_MARGIN),
            uncertain: false,
            repeat_at: None,
        };
        self.effects.push(append_effect(now, ticket, &pending));
        self.pending.insert(ticket, pending);
    }

    pub(super) fn take_append(&mut self, now: MonoTime, ticket: u64, outcome: StoreOutcome) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        match outcome {
            StoreOutcome::Appended { offset } => self.end_append(ticket, offset),
            StoreOutcome::Refused { cause } if !pending.uncertain => {
                let job = pending.job;
                self.pending.remove(&ticket);
                self.log("append_refused", job, format!("cause={cause:?}"));
                self.refuse(ticket, "store_refused");
            }
            _ => {
                pending.uncertain = true;
                pending.repeat_at = Some(now.plus(REPEAT_PAUSE));
            }
        }
    }

    fn end_append(&mut self, ticket: u64, offset: u64) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let job = pending.job;
        match pending.cancel {
            true => {
                self.log("cancel_stored", job, format!("offset={offset}"));
                self.reply(ticket, CallerReply::Cancelled);
            }
            false => {
                let version = self.config_version();
                let detail = format!("offset={offset} config={version} queue={}", pending.queue);
                self.log("job_accepted", job, detail);
                if self.index.phase(job).is_none() {
                    self.accepted.insert(job, pending.queue);
                }
                self.reply(ticket, CallerReply::Accepted);
            }
        }
    }

    pub(super) fn repeat_appends(&mut self, now: MonoTime) {
        let expired = |(ticket, pending): (&u64, &PendingAppend)| {
            (now >= pending.deadline).then_some((*ticket, pending.job))
        };
        let expired: Vec<_> = self.pending.iter().filter_map(expired).collect();
        for (ticket, job) in expired {
            self.pending.remove(&ticket);
            self.log("append_unknown", job, "reason=deadline".into());
            self.reply(ticket, CallerReply::Unknown);
        }
        for (&ticket, pending) in &mut self.pending {
            if pending.repeat_at.is_some_and(|at| now >= at) {
                pending.repeat_at = None;
                self.effects.push(append_effect(now, ticket, pending));
            }
        }
    }
}

fn append_effect(now: MonoTime, ticket: u64, pending: &PendingAppend) -> Effect {
    Effect::Store(StoreCall {
        caller: StoreCaller::Ticket(ticket),
        operation: StoreOperation::Append {
            stream: StreamName::Jobs,
            records: vec![pending.record.clone()],
            condition: AppendCondition::Always,
        },
        deadline: now.plus(APPEND_TIMEOUT).min(pending.deadline),
    })
}
