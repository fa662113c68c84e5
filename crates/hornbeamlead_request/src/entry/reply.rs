//! End of an attempt: replies, and links that could not be opened or broke.

use super::requests::{AttemptRecord, LastRefusal, OpenRequest, issued_counter};
use super::{EntryMachine, EntryTurn, choice};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::ids::{CallerTicket, HostId, RequestId};
use hornbeamlead_core::message::request::{EndpointAnswer, RequestOutcome, RequestReply};
use hornbeamlead_core::policy::BalanceRule;
use std::net::SocketAddr;
use std::time::Duration;

/// Lowest HTTP status that counts as a failure of the worker.
const MIN_FAILURE_STATUS: u16 = 500;

/// Wait from which an unanswered attempt counts as a failure of the worker.
const MIN_FAILURE_WAIT: Duration = Duration::from_secs(1);

impl EntryMachine {
    /// Handles a reply; one that matches no attempt in progress is dropped and counted.
    pub(super) fn handle_reply(
        &mut self,
        turn: &mut EntryTurn,
        from: SocketAddr,
        reply: RequestReply,
    ) {
        if let Some(member) = self.directory.by_link_mut(from) {
            member.record_load(reply.load);
        }
        let Some(attempt) = self.match_reply(from, &reply.id) else {
            turn.push(EntryEffect::CountRefusal(RefusalReason::StrayAnswer));
            return;
        };
        self.release(&attempt);
        match reply.outcome {
            RequestOutcome::Answered(answer) => self.finish(turn, &attempt, answer),
            RequestOutcome::NotRun {
                reason,
                retry_after,
            } => {
                if reason == RefusalReason::EndpointUnreachable {
                    self.record_failure(turn, &attempt);
                }
                let refusal = LastRefusal {
                    reason,
                    retry_after,
                };
                self.handle_not_run(turn, &attempt, refusal);
            }
            RequestOutcome::Unknown { reason } => {
                if reason == RefusalReason::EndpointBroken {
                    self.record_failure(turn, &attempt);
                }
                self.handle_unknown(turn, &attempt, reason, RetryReason::OutcomeUnknown);
            }
        }
    }

    /// Handles a link that could not be opened: the attempts queued for it did not run.
    pub(super) fn handle_link_refused(
        &mut self,
        turn: &mut EntryTurn,
        to: SocketAddr,
        unsent: &[RequestId],
    ) {
        self.mark_suspect(turn, to);
        for id in unsent {
            let Some(attempt) = self.match_reply(to, id) else {
                continue;
            };
            self.release(&attempt);
            let refusal = LastRefusal {
                reason: RefusalReason::LinkBroken,
                retry_after: Duration::ZERO,
            };
            self.handle_not_run(turn, &attempt, refusal);
        }
    }

    /// Handles a broken link: the attempts sent over it may have run.
    pub(super) fn handle_link_broken(&mut self, turn: &mut EntryTurn, to: SocketAddr) {
        self.mark_suspect(turn, to);
        for counter in self.requests.attempts_over(to) {
            let Some(attempt) = self.requests.end_attempt(counter) else {
                continue;
            };
            self.release(&attempt);
            let reason = RefusalReason::LinkBroken;
            self.handle_unknown(turn, &attempt, reason, RetryReason::LinkBroken);
        }
    }

    /// Records a failure of each worker that left the request unanswered for [`MIN_FAILURE_WAIT`].
    pub(super) fn record_timeouts(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let now = turn.now.mono;
        let late: Vec<AttemptRecord> = request
            .attempts
            .iter()
            .filter_map(|counter| self.requests.attempt(*counter))
            .filter(|attempt| now.since(attempt.sent_at) >= MIN_FAILURE_WAIT)
            .cloned()
            .collect();
        for attempt in &late {
            self.record_failure(turn, attempt);
        }
    }

    fn match_reply(&mut self, from: SocketAddr, id: &RequestId) -> Option<AttemptRecord> {
        let counter = issued_counter(&self.identity, id)?;
        let attempt = self.requests.attempt(counter)?;
        match attempt.to == from {
            true => self.requests.end_attempt(counter),
            false => None,
        }
    }

    fn finish(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord, answer: EndpointAnswer) {
        match answer.status {
            _ if !attempt.executes => {}
            MIN_FAILURE_STATUS.. => self.record_failure(turn, attempt),
            _ => self.record_success(turn, attempt),
        }
        let Some(request) = self.requests.close(attempt.ticket) else {
            return;
        };
        if attempt.executes {
            let elapsed = turn.now.mono.since(attempt.sent_at);
            let traffic = self.traffic_of(&request.request.service);
            traffic.latency.add(elapsed);
        }
        self.cancel_attempts(turn, &request);
        turn.push(EntryEffect::AnswerCaller {
            ticket: attempt.ticket,
            answer: CallerAnswer::Answered(answer),
        });
    }

    fn handle_not_run(
        &mut self,
        turn: &mut EntryTurn,
        attempt: &AttemptRecord,
        refusal: LastRefusal,
    ) {
        let ticket = attempt.ticket;
        if let Some(request) = self.requests.get_mut(ticket) {
            request.refusal = Some(refusal);
        }
        let keyed = self.requests.get(ticket).is_some_and(OpenRequest::keyed);
        let retryable = match keyed {
            true => retryable_with_arbiter(refusal.reason),
            false => retryable_elsewhere(refusal.reason),
        };
        let retried = retryable && self.continue_request(turn, ticket, RetryReason::NotRun);
        if !retried {
            self.give_up_unless_pending(turn, ticket, refusal.reason);
        }
    }

    fn handle_unknown(
        &mut self,
        turn: &mut EntryTurn,
        attempt: &AttemptRecord,
        reason: RefusalReason,
        retry: RetryReason,
    ) {
        let ticket = attempt.ticket;
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        request.may_have_run = true;
        // An arbiter's verdict on a key is final: only a lost reply is requested again.
        let decided = request.keyed() && retry != RetryReason::LinkBroken;
        let retryable = request.retryable() && !decided;
        let retried = retryable && self.continue_request(turn, ticket, retry);
        if !retried {
            self.give_up_unless_pending(turn, ticket, reason);
        }
    }

    /// Continues a request after a failed attempt.
    fn continue_request(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RetryReason,
    ) -> bool {
        match self.requests.get(ticket) {
            // The arbiter may be changing, so the next check of it sends the request again.
            Some(request) if request.keyed() => request.next_check != MonoTime::MAX,
            Some(_) => self.retry(turn, ticket, reason),
            None => false,
        }
    }

    /// Gives a request up unless another attempt of it is in progress.
    pub(super) fn give_up_unless_pending(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RefusalReason,
    ) {
        let pending = self
            .requests
            .get(ticket)
            .is_some_and(|request| !request.attempts.is_empty());
        if !pending {
            self.give_up(turn, ticket, reason);
        }
    }

    fn mark_suspect(&mut self, turn: &mut EntryTurn, link: SocketAddr) {
        let Some(member) = self.directory.by_link_mut(link) else {
            return;
        };
        if member.suspect {
            return;
        }
        member.suspect = true;
        let host = member.announce.host.clone();
        self.record_member_decision(turn, &host, "suspect_link");
        self.request_announce(turn, &host);
    }

    fn record_success(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord) {
        let now = turn.now.mono;
        let Some(member) = self.directory.by_link_mut(attempt.to) else {
            return;
        };
        if member.health.record_success() {
            member.slow_start_from = now;
            self.record_member_decision(turn, &attempt.host, "ejection_over");
        }
    }

    fn record_failure(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord) {
        if !attempt.executes {
            return;
        }
        let now = turn.now.mono;
        let Some(member) = self.directory.by_link_mut(attempt.to) else {
            return;
        };
        member.health.record_failure(now);
        let failing = member.health.failing() && !member.health.ejected();
        let host: HostId = member.announce.host.clone();
        let services = member.announce.services.clone();
        let allowed = services
            .iter()
            .all(|service| choice::may_eject(&self.directory, service));
        let ejects = self.policy.balance == BalanceRule::LeastBusy;
        if !failing || !allowed || !ejects {
            return;
        }
        if let Some(member) = self.directory.get_mut(&host) {
            member.health.eject(now);
        }
        self.record_member_decision(turn, &host, "eject_failing");
    }
}

/// Returns whether to send a keyed request again: its arbiter may change or come back.
fn retryable_with_arbiter(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoArbiter | RefusalReason::Leaving | RefusalReason::LinkBroken
    )
}

/// Returns whether another worker may accept what this one refused.
fn retryable_elsewhere(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::NoWorker
        | RefusalReason::QueueFull
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::Leaving
        | RefusalReason::FairShare
        | RefusalReason::EndpointUnreachable
        | RefusalReason::LinkBroken
        | RefusalReason::Fenced
        | RefusalReason::NoArbiter
        | RefusalReason::RingFull => true,
        RefusalReason::UnknownService
        | RefusalReason::DeadlinePassed
        | RefusalReason::EndpointBroken
        | RefusalReason::KeyHistoryLost
        | RefusalReason::KeysFull
        | RefusalReason::Undecodable
        | RefusalReason::BadRequest
        | RefusalReason::BodyTooLong
        | RefusalReason::StrayAnswer
        | RefusalReason::StaleEpoch
        | RefusalReason::StartTooLate
        | RefusalReason::NoRoom
        | RefusalReason::NoLease
        | RefusalReason::BudgetSpent
        | RefusalReason::ForeignWorker
        | RefusalReason::ConnectionEvicted
        | RefusalReason::RequestTimeout
        | RefusalReason::MemoryFull => false,
    }
}
