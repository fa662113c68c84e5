//! Sending of attempts: first attempts, retries and hedges.

use super::choice::{self, ChoiceInput};
use super::requests::{AttemptRecord, OpenRequest, attempt_id};
use super::{EntryMachine, EntryTurn};
use crate::keys::route;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::ids::{CallerTicket, HostId};
use hornbeamlead_core::message::control::ViewMember;
use hornbeamlead_core::message::request::{ForwardedRequest, LinkMessage, RequestSafety};
use hornbeamlead_core::policy::BalanceRule;
use rand::Rng;
use std::time::Duration;

/// Time between two checks for a new arbiter, before jitter.
const ARBITER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of retries of a request under the random balance rule.
const MAX_RANDOM_RETRIES: usize = 3;

impl EntryMachine {
    /// Sends the next attempt of a request.
    ///
    /// # Errors
    /// Returns the reason if no agent can receive it.
    pub(super) fn send_next(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
    ) -> Result<(), RefusalReason> {
        let Some(request) = self.requests.get(ticket) else {
            return Ok(());
        };
        if request.keyed() {
            return self.send_to_arbiter(turn, ticket);
        }
        let input = ChoiceInput {
            now: turn.now.mono,
            identity: &self.identity,
            policy: &self.policy,
            fleet: self.notes.fleet(),
            directory: &self.directory,
            service: &request.request.service,
            tried: &request.tried,
        };
        let chosen = choice::choose(input, &mut self.random);
        let host = chosen.ok_or(RefusalReason::NoWorker)?;
        self.send_to_worker(turn, ticket, &host);
        self.schedule_hedge(turn, ticket);
        Ok(())
    }

    /// Retries a request if the budget allows; returns whether it did.
    pub(super) fn retry(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RetryReason,
    ) -> bool {
        let Some(request) = self.requests.get(ticket) else {
            return false;
        };
        let service = request.request.service.clone();
        if turn.now.mono >= request.give_up_at {
            return false;
        }
        let attempts = request.tried.len();
        let allowed = match self.policy.balance {
            BalanceRule::LeastBusy => self.traffic_of(&service).budget.withdraw(),
            BalanceRule::Random => attempts <= MAX_RANDOM_RETRIES,
        };
        if !allowed {
            turn.push(EntryEffect::CountRefusal(RefusalReason::BudgetSpent));
            return false;
        }
        if self.send_next(turn, ticket).is_err() {
            return false;
        }
        turn.push(EntryEffect::CountRetry(reason));
        true
    }

    /// Hedges a slow idempotent request if a worker has a free slot and the budget allows.
    pub(super) fn hedge(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        if request.hedged || request.request.safety != RequestSafety::Idempotent {
            return;
        }
        let service = request.request.service.clone();
        let input = ChoiceInput {
            now: turn.now.mono,
            identity: &self.identity,
            policy: &self.policy,
            fleet: self.notes.fleet(),
            directory: &self.directory,
            service: &service,
            tried: &request.tried,
        };
        let Some(host) = choice::choose_hedge(input, &mut self.random) else {
            return;
        };
        if !self.traffic_of(&service).budget.withdraw() {
            return;
        }
        if let Some(request) = self.requests.get_mut(ticket) {
            request.hedged = true;
        }
        turn.push(EntryEffect::CountRetry(RetryReason::Hedge));
        self.send_to_worker(turn, ticket, &host);
    }

    /// Sends a keyed request again if the key has a new arbiter.
    pub(super) fn check_arbiter(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        self.schedule_arbiter_check(turn, ticket);
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let Some(arbiter) = self.arbiter_of(request) else {
            return;
        };
        let already_sent = request.attempts.iter().any(|counter| {
            self.requests
                .attempt(*counter)
                .is_some_and(|attempt| attempt.to == arbiter.link_address)
        });
        if already_sent || self.retry(turn, ticket, RetryReason::OutcomeUnknown) {
            return;
        }
        self.give_up_unless_pending(turn, ticket, RefusalReason::NoArbiter);
    }

    /// Cancels the attempts of a closed request; agents drop what the endpoint has not received.
    pub(super) fn cancel_attempts(&mut self, turn: &mut EntryTurn, request: &OpenRequest) {
        for counter in &request.attempts {
            let Some(attempt) = self.requests.end_attempt(*counter) else {
                continue;
            };
            self.release(&attempt);
            turn.push(EntryEffect::SendLink {
                to: attempt.to,
                message: LinkMessage::Cancel(attempt_id(&self.identity, *counter)),
            });
        }
    }

    /// Removes an attempt from the outstanding requests of its worker.
    pub(super) fn release(&mut self, attempt: &AttemptRecord) {
        if !attempt.executes {
            return;
        }
        if let Some(member) = self.directory.by_link_mut(attempt.to) {
            member.outstanding = member.outstanding.saturating_sub(1);
            member.health.record_neutral();
        }
    }

    fn send_to_worker(&mut self, turn: &mut EntryTurn, ticket: CallerTicket, host: &HostId) {
        let Some(member) = self.directory.get_mut(host) else {
            return;
        };
        member.outstanding += 1;
        member.health.record_sent();
        let to = member.announce.link_address;
        self.send_attempt(
            turn,
            AttemptRecord {
                ticket,
                host: host.clone(),
                to,
                sent_at: turn.now.mono,
                executes: true,
            },
        );
    }

    fn send_to_arbiter(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
    ) -> Result<(), RefusalReason> {
        let arbiter = self
            .requests
            .get(ticket)
            .and_then(|request| self.arbiter_of(request));
        let arbiter = arbiter.ok_or(RefusalReason::NoArbiter)?;
        self.send_attempt(
            turn,
            AttemptRecord {
                ticket,
                host: arbiter.host,
                to: arbiter.link_address,
                sent_at: turn.now.mono,
                executes: false,
            },
        );
        self.schedule_arbiter_check(turn, ticket);
        Ok(())
    }

    fn send_attempt(&mut self, turn: &mut EntryTurn, attempt: AttemptRecord) {
        let ticket = attempt.ticket;
        let to = attempt.to;
        let counter = self.requests.add_attempt(attempt);
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let forwarded = ForwardedRequest {
            id: attempt_id(&self.identity, counter),
            request: request.request.clone(),
            deadline: request.give_up_at,
            granted: None,
        };
        turn.push(EntryEffect::SendLink {
            to,
            message: LinkMessage::Request(forwarded),
        });
    }

    fn schedule_hedge(&mut self, turn: &EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let eligible = request.request.safety == RequestSafety::Idempotent
            && self.policy.balance == BalanceRule::LeastBusy;
        let service = request.request.service.clone();
        let delay = self.traffic_of(&service).latency.hedge_delay();
        match delay {
            Some(delay) if eligible => self
                .requests
                .schedule_check(ticket, turn.now.mono.plus(delay)),
            Some(_) | None => {}
        }
    }

    fn schedule_arbiter_check(&mut self, turn: &EntryTurn, ticket: CallerTicket) {
        let delay = ARBITER_CHECK_INTERVAL.mul_f64(self.random.random_range(1.0..2.0));
        self.requests
            .schedule_check(ticket, turn.now.mono.plus(delay));
    }

    fn arbiter_of(&self, request: &OpenRequest) -> Option<ViewMember> {
        let key = request.request.key.as_ref()?;
        let service = &request.request.service;
        let home = route::home_centre(service, key, self.notes.fleet())?;
        let cells = self
            .directory
            .members()
            .filter(|member| member.announce.data_centre == *home)
            .map(|member| member.announce.cell);
        let cell = route::home_cell(service, key, cells)?;
        route::arbiter(service, key, self.directory.view(cell)?).cloned()
    }
}
