//! A caller's request: checks, deadline and first attempt.

use super::desk::{LastRefusal, OpenRequest};
use super::{EntryMachine, EntryTurn};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::ids::{CallerTicket, Revision, ServiceName};
use hornbeamlead_core::message::request::{CallerRequest, MAX_BODY_BYTES};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Timeout of a request whose service is not known yet and that names none.
const ASSUMED_TIMEOUT: Duration = Duration::from_secs(10);

/// Time kept for giving the answer to the caller, at most.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Part of a request's time that is kept for the answer.
const ANSWER_MARGIN_DIVISOR: u32 = 20;

/// Shortest time named to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time named to a refused caller, before it is spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl EntryMachine {
    pub(super) fn ask(
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
            next_look: MonoTime::MAX,
            hedged: false,
            attempts: BTreeSet::new(),
            tried: Vec::new(),
            may_have_run: false,
            refusal: None,
        };
        self.desk.open(ticket, open);
        if let Err(reason) = self.send_next(turn, ticket) {
            self.give_up(turn, ticket, reason);
        }
    }

    /// Drops a request whose caller is gone.
    pub(super) fn forget_caller(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        if let Some(request) = self.desk.close(ticket) {
            self.cancel_attempts(turn, &request);
        }
    }

    /// Looks at a request whose timer came: gives it up, or sends it once more.
    pub(super) fn look_at(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        if turn.now.mono >= request.give_up_at {
            self.blame_timeouts(turn, ticket);
            return self.give_up(turn, ticket, RefusalReason::DeadlinePassed);
        }
        let keyed = request.keyed();
        self.desk.look_again(ticket, MonoTime::MAX);
        match keyed {
            true => self.look_at_arbiter(turn, ticket),
            false => self.hedge(turn, ticket),
        }
    }

    /// Gives the final answer to a request that is given up.
    ///
    /// `NotRun` is said only if every attempt was proven not to have run.
    pub(super) fn give_up(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RefusalReason,
    ) {
        let Some(request) = self.desk.close(ticket) else {
            return;
        };
        self.cancel_attempts(turn, &request);
        turn.push(EntryEffect::CountRefusal(reason));
        let answer = match request.may_have_run || !request.attempts.is_empty() {
            true => CallerAnswer::Unknown { reason },
            false => CallerAnswer::NotRun {
                reason,
                retry_after: self.spread_retry(request.refusal),
            },
        };
        turn.push(EntryEffect::AnswerCaller { ticket, answer });
    }

    /// Checks a request and returns when the entry will give it up.
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
        if self.desk.len() >= self.policy.max_in_progress {
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

    /// Returns the default and the longest timeout of a service.
    fn timeouts(&self, service: &ServiceName) -> Result<(Duration, Duration), RefusalReason> {
        let fleet = self.keeper.fleet();
        match fleet.services().get(service) {
            Some(spec) => Ok((spec.default_timeout, spec.max_timeout)),
            None if fleet.revision() == Revision(0) => Ok((ASSUMED_TIMEOUT, ASSUMED_TIMEOUT)),
            None => Err(RefusalReason::UnknownService),
        }
    }

    fn refuse(&mut self, turn: &mut EntryTurn, ticket: CallerTicket, reason: RefusalReason) {
        turn.push(EntryEffect::CountRefusal(reason));
        let answer = CallerAnswer::NotRun {
            reason,
            retry_after: self.spread_retry(None),
        };
        turn.push(EntryEffect::AnswerCaller { ticket, answer });
    }

    /// Returns when to come back, spread so that refused callers do not return together.
    fn spread_retry(&mut self, refusal: Option<LastRefusal>) -> Duration {
        let base = refusal
            .map_or(MIN_RETRY_AFTER, |refusal| refusal.retry_after)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base + base.mul_f64(self.random.random_range(0.0..2.0))
    }
}
