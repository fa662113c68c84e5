//! Reports jobs as absent, which needs proof: the planner has read all jobs that were stored when the
//! request arrived, and its records name none by this id.
//!
//! A request that finds no job waits for the end of the jobs stream, and then for a heartbeat whose
//! planner has read so far. Requests that come together share a read of the end.

use super::EntryMachine;
use crate::effect::{CallerReply, Effect};
use crate::ids::{JobId, StreamOffset};
use crate::operators::OperatorFormat;
use crate::store::{StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName};
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Longest wait for the proof. Heartbeats follow one another every 250 ms.
const MAX_PROOF_WAIT: Duration = Duration::from_millis(700);

/// Pause after a read of the end.
const END_READ_PAUSE: Duration = Duration::from_millis(50);

/// Request for the state of a job that the plan does not contain.
#[derive(Clone, Copy, Debug)]
struct AbsenceCheck {
    ticket: u64,
    job: JobId,
    asked_at: MonoTime,
    deadline: MonoTime,
    /// End of the jobs stream at a time after the request arrived.
    end: Option<StreamOffset>,
}

/// Requests for jobs that the plan does not contain, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct AbsenceChecks {
    checks: Vec<AbsenceCheck>,
    /// First offset of the jobs stream that is still stored, as far as reads have shown.
    stored_from: StreamOffset,
    /// When the read in flight was sent.
    sent: Option<MonoTime>,
    not_before: Option<MonoTime>,
}

impl AbsenceChecks {
    /// Returns the number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.checks.len()
    }

    /// Returns the read of the end to make now, if one is due.
    pub(super) fn poll(&mut self, now: MonoTime, jobs_read: StreamOffset) -> Option<StoreCall> {
        let is_paused = self.not_before.is_some_and(|at| now < at);
        let is_needed = self.checks.iter().any(|check| check.end.is_none());
        if self.sent.is_some() || is_paused || !is_needed {
            return None;
        }
        self.sent = Some(now);
        Some(StoreCall {
            caller: StoreCaller::JobsEnd,
            operation: StoreOperation::Read {
                stream: StreamName::Jobs,
                from: jobs_read.max(self.stored_from),
                wait_until: now,
                end_only: true,
            },
            deadline: now.plus(MAX_PROOF_WAIT),
        })
    }

    /// Takes the outcome of a read; returns whether it failed.
    fn take(&mut self, now: MonoTime, outcome: StoreOutcome) -> bool {
        let Some(sent) = self.sent.take() else {
            return false;
        };
        self.not_before = Some(now.plus(END_READ_PAUSE));
        match outcome {
            StoreOutcome::Records { end, .. } => {
                let asked_before = |check: &&mut AbsenceCheck| check.asked_at <= sent;
                for check in self.checks.iter_mut().filter(asked_before) {
                    check.end.get_or_insert(end);
                }
                false
            }
            StoreOutcome::Expired { first } => {
                self.stored_from = first;
                self.not_before = None;
                false
            }
            _ => true,
        }
    }
}

impl<F: OperatorFormat> EntryMachine<F> {
    pub(super) fn read_job(&mut self, now: MonoTime, ticket: u64, job: JobId, deadline: MonoTime) {
        match self.phase(job) {
            Some(phase) => self.reply(ticket, CallerReply::Phase(phase)),
            None if !self.is_plan_fresh(now) => self.refuse(ticket, "plan_too_old"),
            None if self.store_watch.is_unavailable(now) => self.refuse(ticket, "store_away"),
            None => self.absences.checks.push(AbsenceCheck {
                ticket,
                job,
                asked_at: now,
                deadline: deadline.min(now.plus(MAX_PROOF_WAIT)),
                end: None,
            }),
        }
    }

    /// Takes the outcome of a read of the end. Nothing is proven soon if it failed.
    pub(super) fn take_jobs_end(&mut self, now: MonoTime, outcome: StoreOutcome) {
        if self.absences.take(now, outcome) {
            for check in std::mem::take(&mut self.absences.checks) {
                self.refuse(check.ticket, "store_away");
            }
        }
    }

    /// Replies to the requests whose job is found or proven to be absent, and to those for which that
    /// takes too long.
    pub(super) fn settle_absences(&mut self, now: MonoTime) {
        let mut checks = std::mem::take(&mut self.absences.checks);
        checks.retain(|check| {
            let is_read = check.end.is_some_and(|end| self.jobs_read >= end);
            match self.phase(check.job) {
                Some(phase) => self.reply(check.ticket, CallerReply::Phase(phase)),
                None if is_read => self.reply(check.ticket, CallerReply::NoJob),
                None if now >= check.deadline => self.refuse(check.ticket, "plan_too_old"),
                None => return true,
            }
            false
        });
        self.absences.checks = checks;
        let call = self.absences.poll(now, self.jobs_read);
        self.effects.extend(call.map(Effect::Store));
    }
}
