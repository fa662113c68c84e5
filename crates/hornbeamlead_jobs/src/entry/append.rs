//! Stores jobs and cancellations; an append is repeated until its outcome is known.

use super::admission::JobFacts;
use super::replies::JobRefusal;
use super::uncertain::LATE_APPEND_TIME;
use super::{CANCEL_PREFIX, EntryMachine, JOB_PREFIX};
use crate::effect::{CallerReply, Effect};
use crate::ids::JobId;
use crate::job::{JobBody, JobRecord, QueueTerms};
use crate::load::JobWork;
use crate::notice::LateJob;
use crate::operators::OperatorFormat;
use crate::record::encode;
use crate::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::time::Duration;

/// Time after which an append is abandoned and repeated; a slow store answers within 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before an append with an unknown outcome is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Time before a caller's deadline at which it is told that the outcome is unknown.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// What an append stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingKind {
    Submit { priority: u8 },
    Cancel,
}

/// Append for a caller whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PendingAppend {
    job: JobId,
    queue: Box<str>,
    record: NewRecord,
    kind: PendingKind,
    deadline: MonoTime,
    /// Whether an earlier append of the record may have taken effect.
    possibly_stored: bool,
    /// Whether other entries are told that the job may be stored.
    told: bool,
    repeat_at: Option<MonoTime>,
}

impl PendingAppend {
    fn is_cancel(&self) -> bool {
        self.kind == PendingKind::Cancel
    }

    /// Returns the job if an append of it may take effect although it had no answer.
    pub(super) fn late_job(&self) -> Option<LateJob> {
        let is_late = self.possibly_stored && !self.is_cancel();
        is_late.then(|| LateJob {
            job: self.job,
            until: self.deadline.plus(LATE_APPEND_TIME),
        })
    }
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
            () if self.uncertain.is_told(job) => {
                self.log("submit_uncertain", job, "reason=told".into());
            }
            () if self.may_be_stored(job) => {}
            () if self.store_watch.is_unavailable(now.mono) => {
                let (priority, refusal) = (terms.priority, JobRefusal::StoreAway);
                return self.refuse_job(now.mono, ticket, job, priority, refusal);
            }
            () => {
                let facts = JobFacts::from(&body);
                if let Some(rejection) = self.rejection(now.mono, &terms, facts) {
                    return self.reject_job(ticket, job, &terms, facts, rejection);
                }
                let ended = |job| self.index.phase(job).is_some_and(|phase| phase.is_final());
                if !self.large.add(job, body.held_bytes(), ended) {
                    return self.refuse_large(now.mono, ticket, job);
                }
            }
        }
        let (queue, priority) = (terms.queue.clone(), terms.priority);
        if self.policy.admission {
            self.load.add(now.mono, job, &terms, JobWork::of_job(&body));
        }
        let record = JobRecord {
            terms,
            accepted_ms: now.wall.0,
            body,
        };
        let record = NewRecord {
            key: Some(format!("{JOB_PREFIX}{job}").into()),
            value: Some(encode(&record)),
        };
        let kind = PendingKind::Submit { priority };
        self.append(now.mono, ticket, job, queue, record, kind, deadline);
    }

    /// Returns whether an append of the job by this entry, or by one that has told of it, may have
    /// taken effect, or may still do so, although the plan does not contain it.
    fn may_be_stored(&self, job: JobId) -> bool {
        self.uncertain.contains(job) || self.submissions(job) > 0
    }

    /// Returns the number of appends of a job that have no outcome yet.
    fn submissions(&self, job: JobId) -> usize {
        let of_job = |pending: &&PendingAppend| pending.job == job && !pending.is_cancel();
        self.pending.values().filter(of_job).count()
    }

    /// Stores a cancellation, also of a job that is not known here: another entry may have accepted it
    /// a moment ago, or an append of it may still be carried out.
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
            _ if self.store_watch.is_unavailable(now) => {
                self.log("cancel_refused", job, "reason=store_away".into());
                self.refuse(ticket, "store_away");
            }
            _ => {
                let record = NewRecord {
                    key: Some(format!("{CANCEL_PREFIX}{job}").into()),
                    value: Some(encode(&())),
                };
                self.append(
                    now,
                    ticket,
                    job,
                    queue,
                    record,
                    PendingKind::Cancel,
                    deadline,
                );
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
        kind: PendingKind,
        deadline: MonoTime,
    ) {
        let pending = PendingAppend {
            job,
            queue,
            record,
            kind,
            deadline: deadline.minus(ANSWER_MARGIN),
            possibly_stored: kind != PendingKind::Cancel && self.may_be_stored(job),
            told: false,
            repeat_at: None,
        };
        self.effects.push(append_effect(now, ticket, &pending));
        self.pending.insert(ticket, pending);
    }

    pub(super) fn handle_append_outcome(
        &mut self,
        now: MonoTime,
        ticket: u64,
        outcome: StoreOutcome,
    ) {
        let Some(&PendingAppend { job, .. }) = self.pending.get(&ticket) else {
            return;
        };
        let submissions = self.submissions(job);
        // Another append of the same job may have been stored, or have ended without an answer.
        let known = self.phase(job).is_some();
        let uncertain = self.uncertain.contains(job);
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        // The same caller may have come again while its first append was in flight.
        let is_submission = !pending.is_cancel();
        let repeated = is_submission && (submissions > 1 || uncertain);
        match outcome {
            StoreOutcome::Refused { .. } if is_submission && known => {
                self.pending.remove(&ticket);
                self.log("submit_repeated", job, String::new());
                self.reply(ticket, CallerReply::Accepted);
            }
            StoreOutcome::Appended { offset } => self.complete_append(ticket, offset),
            StoreOutcome::Refused { cause } if !pending.possibly_stored && !repeated => {
                let kind = pending.kind;
                self.pending.remove(&ticket);
                match kind {
                    PendingKind::Submit { priority } => {
                        let refusal = JobRefusal::AppendRefused(cause);
                        self.load.remove(job);
                        self.large.remove(job);
                        self.refuse_job(now, ticket, job, priority, refusal);
                    }
                    PendingKind::Cancel => {
                        self.log("append_refused", job, format!("cause={cause:?}"));
                        self.refuse(ticket, "store_refused");
                    }
                }
            }
            _ => {
                pending.possibly_stored = true;
                pending.repeat_at = Some(now.plus(REPEAT_DELAY));
                let is_new = !std::mem::replace(&mut pending.told, true);
                let late = pending.late_job().filter(|_| is_new);
                self.fresh_late.extend(late);
            }
        }
    }

    fn complete_append(&mut self, ticket: u64, offset: u64) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let job = pending.job;
        match pending.is_cancel() {
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
            (now >= pending.deadline).then_some(*ticket)
        };
        let expired: Vec<_> = self.pending.iter().filter_map(expired).collect();
        for ticket in expired {
            let Some(pending) = self.pending.remove(&ticket) else {
                continue;
            };
            let job = pending.job;
            if !pending.is_cancel() {
                self.uncertain.add(now, job);
            }
            if !pending.is_cancel() && !pending.told {
                let until = now.plus(LATE_APPEND_TIME);
                self.fresh_late.push(LateJob { job, until });
            }
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
