//! From a request to the endpoint and back.

use super::admission::{QueueVerdict, QueuedRequest, RunningRequest};
use super::endpoint::EndpointRecord;
use super::fence::FencedEnd;
use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::EndpointOutcome;
use hornbeamlead_core::ids::{LinkId, RequestId};
use hornbeamlead_core::message::request::{ForwardedRequest, RequestOutcome, RequestSafety};
use std::time::Duration;

/// Longest time for which a broken exchange keeps its slot.
const MAX_LINGER: Duration = Duration::from_secs(1);

impl RequestGate {
    /// Takes a request: refuses it at once, lets it wait, or hands it to the endpoint.
    pub(super) fn take_request(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        request: &ForwardedRequest,
    ) {
        if self.answer_copy(turn, link, &request.id) {
            return;
        }
        let keyed = KeyName::of(&request.request)
            .filter(|_| request.request.safety == RequestSafety::NonIdempotent);
        match (keyed, &request.granted) {
            (Some(name), Some(grant)) => self.take_granted(turn, link, request, &name, grant),
            (Some(name), None) => self.arbitrate(turn, link, request, &name),
            (None, _) => match self.check(turn, request) {
                Ok(()) => self.admit(turn, link, request),
                Err(reason) => self.refuse(turn, link, &request.id, reason),
            },
        }
    }

    /// Drops a request that the endpoint was not given yet, and fences its id.
    ///
    /// Whoever cancels has closed the request, so there is nobody to answer.
    pub(super) fn cancel(&mut self, turn: &mut GateTurn<'_>, id: &RequestId) {
        if let Some(waiter) = self.arbiter.take_waiter(id) {
            return self.fences.add(turn.now.mono, waiter.id, FencedEnd::Ran);
        }
        let queued = self.admission.remove(id).is_some();
        if !queued && self.admission.holds(id) {
            return;
        }
        self.runner.cancel(id);
        let end = FencedEnd::NotRun(RefusalReason::Fenced);
        self.fences.add(turn.now.mono, id.clone(), end);
    }

    /// Takes what the endpoint did with a request.
    pub(super) fn take_outcome(
        &mut self,
        turn: &mut GateTurn<'_>,
        id: &RequestId,
        outcome: &EndpointOutcome,
    ) {
        let Some(running) = self.admission.finish(id) else {
            turn.push(AgentEffect::CountRefusal(RefusalReason::StrayAnswer));
            return;
        };
        let now = turn.now.mono;
        match outcome {
            EndpointOutcome::Answered(answer) => {
                self.limit.note_answer(now, now.since(running.started));
                self.fences.add(now, id.clone(), FencedEnd::Ran);
                self.runner.answered(id, answer);
                let outcome = RequestOutcome::Answered(answer.clone());
                self.reply(turn, running.link, id, outcome);
            }
            EndpointOutcome::Unreachable => {
                self.refuse(turn, running.link, id, RefusalReason::EndpointUnreachable);
            }
            EndpointOutcome::Broken => {
                let linger = self.limit.service_time().min(MAX_LINGER);
                self.admission.linger(now.plus(linger));
                self.fences.add(now, id.clone(), FencedEnd::Ran);
                self.runner.broken(id);
                let reason = RefusalReason::EndpointBroken;
                turn.push(AgentEffect::CountRefusal(reason));
                self.reply(turn, running.link, id, RequestOutcome::Unknown { reason });
            }
        }
    }

    /// Refuses what waits once no new work is taken; a planned stop lets it end instead.
    pub(super) fn refuse_queued_if_closed(&mut self, turn: &mut GateTurn<'_>) {
        if self.stopping {
            return;
        }
        let Some(reason) = self.closed(turn.context.fleet) else {
            return;
        };
        for queued in self.admission.drain() {
            self.refuse(turn, queued.link, &queued.request.id, reason);
        }
    }

    /// Refuses what has waited past its deadline.
    pub(super) fn refuse_expired(&mut self, turn: &mut GateTurn<'_>) {
        while let Some(queued) = self.admission.pop_expired(turn.now.mono) {
            let reason = RefusalReason::DeadlinePassed;
            self.refuse(turn, queued.link, &queued.request.id, reason);
        }
    }

    /// Hands waiting requests to the endpoint while slots are free.
    pub(super) fn fill_slots(&mut self, turn: &mut GateTurn<'_>) {
        self.admission.free_lingering(turn.now.mono);
        self.limit.forget(turn.now.mono);
        while self.slot_free() {
            let Some(queued) = self.admission.pop() else {
                return;
            };
            self.call_endpoint(turn, queued.link, queued.request);
        }
    }

    /// Answers a copy of an id that was seen before; returns whether it was one.
    fn answer_copy(&mut self, turn: &mut GateTurn<'_>, link: LinkId, id: &RequestId) -> bool {
        if self.admission.holds(id) || self.arbiter.waits(id) {
            // The one answer to the first copy is on its way.
            turn.push(AgentEffect::CountRefusal(RefusalReason::Fenced));
            return true;
        }
        let Some(end) = self.fences.get(id) else {
            return false;
        };
        turn.push(AgentEffect::CountRefusal(RefusalReason::Fenced));
        let outcome = match end {
            FencedEnd::NotRun(reason) => self.not_run(reason),
            FencedEnd::Ran => RequestOutcome::Unknown {
                reason: RefusalReason::Fenced,
            },
        };
        self.reply(turn, link, id, outcome);
        true
    }

    pub(super) fn check(
        &self,
        turn: &GateTurn<'_>,
        request: &ForwardedRequest,
    ) -> Result<(), RefusalReason> {
        if let Some(reason) = self.closed(turn.context.fleet) {
            return Err(reason);
        }
        let service = &request.request.service;
        let endpoint = self.endpoint.as_ref().ok_or(RefusalReason::NoWorker)?;
        if !endpoint.announce.services.contains(service) {
            return Err(RefusalReason::NoWorker);
        }
        let now = turn.now.mono;
        if request.deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        match request.deadline < self.expected_end(now) {
            true => Err(RefusalReason::DeadlineUnreachable),
            false => Ok(()),
        }
    }

    /// Hands a request to the endpoint, or lets it wait, or refuses it.
    pub(super) fn admit(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        request: &ForwardedRequest,
    ) {
        if self.slot_free() && self.admission.queued() == 0 {
            return self.call_endpoint(turn, link, request.clone());
        }
        let queued = QueuedRequest {
            link,
            request: request.clone(),
        };
        match self.admission.push(queued) {
            QueueVerdict::Waits => {}
            QueueVerdict::Displaced(other) => {
                let reason = RefusalReason::FairShare;
                self.refuse(turn, other.link, &other.request.id, reason);
            }
            QueueVerdict::Refused(reason) => self.refuse(turn, link, &request.id, reason),
        }
    }

    fn call_endpoint(&mut self, turn: &mut GateTurn<'_>, link: LinkId, request: ForwardedRequest) {
        let Some(endpoint) = &self.endpoint else {
            return self.refuse(turn, link, &request.id, RefusalReason::NoWorker);
        };
        let running = RunningRequest {
            link,
            service: request.request.service.clone(),
            started: turn.now.mono,
        };
        self.admission.start(request.id.clone(), running);
        turn.push(AgentEffect::CallEndpoint {
            address: endpoint.announce.address,
            request,
        });
    }

    /// Refuses a request before the endpoint has seen a byte; its id never runs from now on.
    pub(super) fn refuse(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        id: &RequestId,
        reason: RefusalReason,
    ) {
        let now = turn.now.mono;
        self.fences.add(now, id.clone(), FencedEnd::NotRun(reason));
        self.runner.cancel(id);
        turn.push(AgentEffect::CountRefusal(reason));
        let outcome = self.not_run(reason);
        self.reply(turn, link, id, outcome);
    }

    fn not_run(&self, reason: RefusalReason) -> RequestOutcome {
        RequestOutcome::NotRun {
            reason,
            retry_after: self.expected_wait() + self.limit.service_time(),
        }
    }

    fn slot_free(&self) -> bool {
        self.admission.running() < self.usable_slots()
    }

    fn usable_slots(&self) -> u16 {
        let slots = self.endpoint.as_ref().map_or(0, EndpointRecord::slots);
        self.limit.allowed(slots)
    }

    /// Returns when a request taken now would be answered, by what is known.
    fn expected_end(&self, now: MonoTime) -> MonoTime {
        now.plus(self.expected_wait())
            .plus(self.limit.service_time())
    }

    /// Returns how long a request taken now would wait for a slot.
    fn expected_wait(&self) -> Duration {
        if self.slot_free() && self.admission.queued() == 0 {
            return Duration::ZERO;
        }
        let ahead = u32::from(self.admission.queued()) + 1;
        self.limit.service_time() * ahead / u32::from(self.usable_slots().max(1))
    }
}
