//! Replies, refused and broken links: how an attempt ends.

use super::desk::{AttemptRecord, LastRefusal, OpenRequest, own_counter};
use super::{EntryMachine, EntryTurn, choice};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::ids::{CallerTicket, HostId, RequestId};
use hornbeamlead_core::message::request::{EndpointAnswer, RequestOutcome, RequestReply};
use hornbeamlead_core::policy::BalanceRule;
use std::net::SocketAddr;
use std::time::Duration;

/// First HTTP status that tells of a failure of the endpoint.
const FIRST_FAILURE_STATUS: u16 = 500;

/// An attempt without an answer for this long speaks against the worker.
const BLAMED_WAIT: Duration = Duration::from_secs(1);

impl EntryMachine {
    /// Takes a reply; one that matches no open attempt is dropped and counted.
    pub(super) fn take_reply(
        &mut self,
        turn: &mut EntryTurn,
        from: SocketAddr,
        reply: RequestReply,
    ) {
        if let Some(member) = self.directory.by_link_mut(from) {
            member.note_load(reply.load);
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
                    self.blame(turn, &attempt);
                }
                let refusal = LastRefusal {
                    reason,
                    retry_after,
                };
                self.take_not_run(turn, &attempt, refusal);
            }
            RequestOutcome::Unknown { reason } => {
                if reason == RefusalReason::EndpointBroken {
                    self.blame(turn, &attempt);
                }
                self.take_unknown(turn, &attempt, reason, RetryReason::OutcomeUnknown);
            }
        }
    }

    /// Takes note that a link could not be opened: what was to go over it did not run.
    pub(super) fn take_refusal(
        &mut self,
        turn: &mut EntryTurn,
        to: SocketAddr,
        unsent: &[RequestId],
    ) {
        self.suspect(turn, to);
        for id in unsent {
            let Some(attempt) = self.match_reply(to, id) else {
                continue;
            };
            self.release(&attempt);
            let refusal = LastRefusal {
                reason: RefusalReason::LinkBroken,
                retry_after: Duration::ZERO,
            };
            self.take_not_run(turn, &attempt, refusal);
        }
    }

    /// Takes note that a link broke: what went over it may have run.
    pub(super) fn take_break(&mut self, turn: &mut EntryTurn, to: SocketAddr) {
        self.suspect(turn, to);
        for counter in self.desk.attempts_over(to) {
            let Some(attempt) = self.desk.end_attempt(counter) else {
                continue;
            };
            self.release(&attempt);
            let reason = RefusalReason::LinkBroken;
            self.take_unknown(turn, &attempt, reason, RetryReason::LinkBroken);
        }
    }

    /// Counts attempts that ran out of time against their workers.
    pub(super) fn blame_timeouts(&mut self, turn: &mut EntryTurn, ticket: CallerTicket) {
        let Some(request) = self.desk.get(ticket) else {
            return;
        };
        let now = turn.now.mono;
        let late: Vec<AttemptRecord> = request
            .attempts
            .iter()
            .filter_map(|counter| self.desk.attempt(*counter))
            .filter(|attempt| now.since(attempt.sent_at) >= BLAMED_WAIT)
            .cloned()
            .collect();
        for attempt in &late {
            self.blame(turn, attempt);
        }
    }

    fn match_reply(&mut self, from: SocketAddr, id: &RequestId) -> Option<AttemptRecord> {
        let counter = own_counter(&self.place, id)?;
        let attempt = self.desk.attempt(counter)?;
        match attempt.to == from {
            true => self.desk.end_attempt(counter),
            false => None,
        }
    }

    fn finish(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord, answer: EndpointAnswer) {
        match answer.status {
            _ if !attempt.runs_there => {}
            FIRST_FAILURE_STATUS.. => self.blame(turn, attempt),
            _ => self.praise(turn, attempt),
        }
        let Some(request) = self.desk.close(attempt.ticket) else {
            return;
        };
        if attempt.runs_there {
            let taken = turn.now.mono.since(attempt.sent_at);
            let traffic = self.traffic_of(&request.request.service);
            traffic.latency.add(taken);
        }
        self.cancel_attempts(turn, &request);
        turn.push(EntryEffect::AnswerCaller {
            ticket: attempt.ticket,
            answer: CallerAnswer::Answered(answer),
        });
    }

    fn take_not_run(
        &mut self,
        turn: &mut EntryTurn,
        attempt: &AttemptRecord,
        refusal: LastRefusal,
    ) {
        let ticket = attempt.ticket;
        if let Some(request) = self.desk.get_mut(ticket) {
            request.refusal = Some(refusal);
        }
        let keyed = self.desk.get(ticket).is_some_and(OpenRequest::keyed);
        let worth = match keyed {
            true => worth_another_arbiter(refusal.reason),
            false => worth_another(refusal.reason),
        };
        let again = worth && self.go_on(turn, ticket, RetryReason::NotRun);
        if !again {
            self.end_unless_open(turn, ticket, refusal.reason);
        }
    }

    fn take_unknown(
        &mut self,
        turn: &mut EntryTurn,
        attempt: &AttemptRecord,
        reason: RefusalReason,
        retry: RetryReason,
    ) {
        let ticket = attempt.ticket;
        let Some(request) = self.desk.get_mut(ticket) else {
            return;
        };
        request.may_have_run = true;
        // What an arbiter says of a key is final; only a lost answer is asked for again.
        let decided = request.keyed() && retry != RetryReason::LinkBroken;
        let repeatable = request.repeatable() && !decided;
        let again = repeatable && self.go_on(turn, ticket, retry);
        if !again {
            self.end_unless_open(turn, ticket, reason);
        }
    }

    /// Goes on with a request: later for a keyed one, whose arbiter may be changing, else now.
    fn go_on(&mut self, turn: &mut EntryTurn, ticket: CallerTicket, reason: RetryReason) -> bool {
        match self.desk.get(ticket) {
            // The next look at the arbiter sends it again.
            Some(request) if request.keyed() => request.next_look != MonoTime::MAX,
            Some(_) => self.retry(turn, ticket, reason),
            None => false,
        }
    }

    /// Gives a request up unless another attempt of it is in progress.
    pub(super) fn end_unless_open(
        &mut self,
        turn: &mut EntryTurn,
        ticket: CallerTicket,
        reason: RefusalReason,
    ) {
        let waiting = self
            .desk
            .get(ticket)
            .is_some_and(|request| !request.attempts.is_empty());
        if !waiting {
            self.give_up(turn, ticket, reason);
        }
    }

    fn suspect(&mut self, turn: &mut EntryTurn, link: SocketAddr) {
        let Some(member) = self.directory.by_link_mut(link) else {
            return;
        };
        if member.suspect {
            return;
        }
        member.suspect = true;
        let host = member.announce.host.clone();
        self.explain_member(turn, &host, "suspect_link");
        self.ask_for_announce(turn, &host);
    }

    fn praise(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord) {
        let now = turn.now.mono;
        let Some(member) = self.directory.by_link_mut(attempt.to) else {
            return;
        };
        if member.health.note_success() {
            member.since = now;
            self.explain_member(turn, &attempt.host, "ejection_over");
        }
    }

    fn blame(&mut self, turn: &mut EntryTurn, attempt: &AttemptRecord) {
        if !attempt.runs_there {
            return;
        }
        let now = turn.now.mono;
        let Some(member) = self.directory.by_link_mut(attempt.to) else {
            return;
        };
        member.health.note_failure(now);
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
        self.explain_member(turn, &host, "eject_failing");
    }
}

/// Returns whether a keyed request is worth sending again: its arbiter may change or come back.
fn worth_another_arbiter(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoArbiter | RefusalReason::Leaving | RefusalReason::LinkBroken
    )
}

/// Returns whether another worker may take what this one refused.
fn worth_another(reason: RefusalReason) -> bool {
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
        | RefusalReason::BudgetSpent => false,
    }
}
