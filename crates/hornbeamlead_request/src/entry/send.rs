//! Attempts: the first one, retries and second copies.

use super::choice::{self, ChoiceInput};
use super::desk::{AttemptRecord, OpenRequest, attempt_id};
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

/// Time between two looks at whether a key has a new arbiter, before it is spread.
const ARBITER_LOOK: Duration = Duration::from_millis(100);

/// Retries of one request under the plain rule.
const PLAIN_RETRIES: usize = 3;

impl EntryMachine {
    /// Sends the next attempt of a request.
    ///
    /// # Errors
    /// Returns why no agent can be given it.
    pub(super) fn send_next(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
    ) -> Result<(), RefusalReason> {
        let Some(request) = self.desk.get(ticket) else {
            return Ok(());
        };
        if request.keyed() {
            return self.send_to_arbiter(turn, ticket);
        }
        let input = ChoiceInput {
            now: turn.now.mono,
            place: &self.place,
            policy: &self.policy,
            fleet: self.keeper.fleet(),
            directory: &self.directory,
            service: &request.request.service,
            tried: &request.tried,
        };
        let chosen = choice::choose(input, &mut self.random);
        let host = chosen.ok_or(RefusalReason::NoWorker)?;
        self.send_to_worker(turn, ticket, &host);
        self.plan_hedge(turn, ticket);
        Ok(())
    }

    /// Sends a request once more if the budget allows; returns whether it did.
    pub(super) fn retry(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RetryReason,
    ) -> bool {
        let Some(request) = self.desk.get(ticket) else {
            return false;
        };
        let service = request.request.service.clone();
        if turn.now.mono >= request.give_up_at {
            return false;
        }
        let tries = request.tried.len();
        let allowed = match self.policy.balance {
            BalanceRule::LeastBusy => self.traffic_of(&service).budget.withdraw(),
            BalanceRule::Random => tries <= PLAIN_RETRIES,
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

    /// Sends a second copy of a slow idempotent request where a slot is free and the budget allows.
    pub(super) fn hedge(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        if request.hedged || request.request.safety != RequestSafety::Idempotent {
            return;
        }
        let service = request.request.service.clone();
        let input = ChoiceInput {
            now: turn.now.mono,
            place: &self.place,
            policy: &self.policy,
            fleet: self.keeper.fleet(),
            directory: &self.directory,
            service: &service,
            tried: &request.tried,
        };
        let Some(host) = choice::choose_spare(input, &mut self.random) else {
            return;
        };
        if !self.traffic_of(&service).budget.withdraw() {
            return;
        }
        if let Some(request) = self.desk.get_mut(ticket) {
            request.hedged = true;
        }
        turn.push(EntryEffect::CountRetry(RetryReason::Hedge));
        self.send_to_worker(turn, ticket, &host);
    }

    /// Sends a keyed request to the key's arbiter again if that has moved.
    pub(super) fn look_at_arbiter(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        self.plan_arbiter_look(turn, ticket);
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        let Some(arbiter) = self.arbiter_of(request) else {
            return;
        };
        let waits_there = request.attempts.iter().any(|counter| {
            self.desk
                .attempt(*counter)
                .is_some_and(|attempt| attempt.to == arbiter.link_address)
        });
        if waits_there || self.retry(turn, ticket, RetryReason::OutcomeUnknown) {
            return;
        }
        self.end_unless_open(turn, ticket, RefusalReason::NoArbiter);
    }

    /// Asks the agents to drop what they have not begun of a request that is closed.
    pub(super) fn cancel_attempts(&mut self, turn: &mut EntryTurn, request: &OpenRequest) {
        for counter in &request.attempts {
            let Some(attempt) = self.desk.end_attempt(*counter) else {
                continue;
            };
            self.release(&attempt);
            turn.push(EntryEffect::SendLink {
                to: attempt.to,
                message: LinkMessage::Cancel(attempt_id(&self.place, *counter)),
            });
        }
    }

    /// Takes an attempt off the count of its worker.
    pub(super) fn release(&mut self, attempt: &AttemptRecord) {
        if !attempt.runs_there {
            return;
        }
        if let Some(member) = self.directory.by_link_mut(attempt.to) {
            member.own = member.own.saturating_sub(1);
            member.health.note_neutral();
        }
    }

    fn send_to_worker(&mut self, turn: &mut EntryTurn, ticket: CallerTicket, host: &HostId) {
        let Some(member) = self.directory.get_mut(host) else {
            return;
        };
        member.own += 1;
        member.health.note_sent();
        let to = member.announce.link_address;
        self.send_attempt(
            turn,
            AttemptRecord {
                ticket,
                host: host.clone(),
                to,
                sent_at: turn.now.mono,
                runs_there: true,
            },
        );
    }

    fn send_to_arbiter(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
    ) -> Result<(), RefusalReason> {
        let arbiter = self
            .desk
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
                runs_there: false,
            },
        );
        self.plan_arbiter_look(turn, ticket);
        Ok(())
    }

    fn send_attempt(&mut self, turn: &mut EntryTurn, attempt: AttemptRecord) {
        let ticket = attempt.ticket;
        let to = attempt.to;
        let counter = self.desk.add_attempt(attempt);
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        let forwarded = ForwardedRequest {
            id: attempt_id(&self.place, counter),
            request: request.request.clone(),
            deadline: request.give_up_at,
            granted: None,
        };
        turn.push(EntryEffect::SendLink {
            to,
            message: LinkMessage::Request(forwarded),
        });
    }

    fn plan_hedge(&mut self, turn: &EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        let eligible = request.request.safety == RequestSafety::Idempotent
            && self.policy.balance == BalanceRule::LeastBusy;
        let service = request.request.service.clone();
        let delay = self.traffic_of(&service).latency.hedge_delay();
        match delay {
            Some(delay) if eligible => self.desk.look_again(ticket, turn.now.mono.plus(delay)),
            Some(_) | None => {}
        }
    }

    fn plan_arbiter_look(&mut self, turn: &EntryTurn, ticket: CallerTicket) {
        let spread = ARBITER_LOOK.mul_f64(self.random.random_range(1.0..2.0));
        self.desk.look_again(ticket, turn.now.mono.plus(spread));
    }

    fn arbiter_of(&self, request: &OpenRequest) -> Option<ViewMember> {
        let key = request.request.key.as_ref()?;
        let service = &request.request.service;
        let home = route::home_centre(service, key, self.keeper.fleet())?;
        let cells = self
            .directory
            .members()
            .filter(|member| member.announce.data_centre == *home)
            .map(|member| member.announce.cell);
        let cell = route::home_cell(service, key, cells)?;
        route::arbiter(service, key, self.directory.view(cell)?).cloned()
    }
}
