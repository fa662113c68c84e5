//! Requests from callers: validation, deadline, first attempt, and timers.

use super::requests::{LastRefusal, OpenRequest};
use super::{EntryMachine, EntryTurn};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::ids::{CallerTicket, Revision, ServiceName};
use hornbeamlead_core::message::request::{CallerRequest, MAX_BODY_BYTES};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Default and maximum timeout of a request that arrives before the first configuration is known.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(10);

/// Upper bound of the time reserved for returning the answer to the caller.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// The reserved time is the time until the deadline divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 20;

/// Shortest `retry_after` given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest `retry_after` given to a refused caller, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl EntryMachine {
    pub(super) fn accept_request(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        request: CallerRequest,
        deadline: Option<MonoTime>,
    ) {
        let give_up_at = match self.check(turn, &request, deadline) {
            Ok(give_up_at) => give_up_at,
            Err(reason) => return self.refuse(turn, ticket, reason),
        };
        self.traffic_of(&request.service).budget.deposit();
        let open = OpenRequest {
            request,
            give_up_at,
            next_check: MonoTime::MAX,
            hedged: false,
            attempts: BTreeSet::new(),
            tried: Vec::new(),
            may_have_run: false,
            refusal: None,
        };
        self.requests.open(ticket, open);
        if let Err(reason) = self.send_next(turn, ticket) {
            self.give_up(turn, ticket, reason);
        }
    }

    /// Closes a request whose caller has disconnected and cancels its attempts.
    pub(super) fn cancel_request(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        if let Some(request) = self.requests.close(ticket) {
            self.cancel_attempts(turn, &request);
        }
    }

    /// Handles a request's timer: gives the request up, checks its arbiter, or hedges it.
    pub(super) fn handle_timer(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        if turn.now.mono >= request.give_up_at {
            self.record_timeouts(turn, ticket);
            return self.give_up(turn, ticket, RefusalReason::DeadlinePassed);
        }
        let keyed = request.keyed();
        self.requests.schedule_check(ticket, MonoTime::MAX);
        match keyed {
            true => self.check_arbiter(turn, ticket),
            false => self.hedge(turn, ticket),
        }
    }

    /// Closes a request without an answer and tells the caller the outcome.
    ///
    /// The outcome is `NotRun` only if every attempt is proven not to have run.
    pub(super) fn give_up(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RefusalReason,
    ) {
        let Some(request) = self.requests.close(ticket) else {
            return;
        };
        self.cancel_attempts(turn, &request);
        turn.push(EntryEffect::CountRefusal(reason));
        let answer = match request.may_have_run || !request.attempts.is_empty() {
            true => CallerAnswer::Unknown { reason },
            false => CallerAnswer::NotRun {
                reason,
                retry_after: self.jittered_retry_after(request.refusal),
            },
        };
        turn.push(EntryEffect::AnswerCaller { ticket, answer });
    }

    /// Validates a request and returns when the entry gives it up.
    fn check(
        &self,
        turn: &EntryTurn,
        request: &CallerRequest,
        deadline: Option<MonoTime>,
    ) -> Result<MonoTime, RefusalReason> {
        let now = turn.now.mono;
        if self.stopping {
            return Err(RefusalReason::Leaving);
        }
        if self.requests.len() >= self.policy.max_in_progress {
            return Err(RefusalReason::QueueFull);
        }
        if request.body.len() > MAX_BODY_BYTES {
            return Err(RefusalReason::BodyTooLong);
        }
        let (default_timeout, max_timeout) = self.timeouts(&request.service)?;
        let deadline = deadline
            .unwrap_or(now.plus(default_timeout))
            .min(now.plus(max_timeout));
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        let margin = deadline.since(now) / ANSWER_MARGIN_DIVISOR;
        Ok(deadline.minus(margin.min(MAX_ANSWER_MARGIN)))
    }

    /// Returns the default and the maximum timeout of a service.
    fn timeouts(&self, service: &ServiceName) -> Result<(Duration, Duration), RefusalReason> {
        let fleet = self.notes.fleet();
        match fleet.services().get(service) {
            Some(spec) => Ok((spec.default_timeout, spec.max_timeout)),
            None if fleet.revision() == Revision(0) => Ok((BOOTSTRAP_TIMEOUT, BOOTSTRAP_TIMEOUT)),
            None => Err(RefusalReason::UnknownService),
        }
    }

    fn refuse(&mut self, turn: &mut EntryTurn, ticket: CallerTicket, reason: RefusalReason) {
        turn.push(EntryEffect::CountRefusal(reason));
        let answer = CallerAnswer::NotRun {
            reason,
            retry_after: self.jittered_retry_after(None),
        };
        turn.push(EntryEffect::AnswerCaller { ticket, answer });
    }

    /// Returns the delay before the caller should retry, jittered so that callers do not retry
    /// together.
    fn jittered_retry_after(&mut self, refusal: Option<LastRefusal>) -> Duration {
        let base = refusal
            .map_or(MIN_RETRY_AFTER, |refusal| refusal.retry_after)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base + base.mul_f64(self.random.random_range(0.0..2.0))
    }
}
