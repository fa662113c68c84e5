//! Path of a request through admission to the endpoint and back.

use super::admission::{QueueVerdict, QueuedRequest, RunningRequest};
use super::endpoint::EndpointRecord;
use super::fence::FencedOutcome;
use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::EndpointOutcome;
use hornbeamlead_core::ids::{LinkId, RequestId};
use hornbeamlead_core::message::request::{ForwardedRequest, RequestOutcome, RequestSafety};
use std::time::Duration;

/// Longest time for which a broken exchange holds its slot.
const MAX_SLOT_HOLD: Duration = Duration::from_secs(1);

impl RequestGate {
    /// Handles a request: refuses it, queues it, or passes it to the endpoint.
    pub(super) fn handle_request(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        request: &ForwardedRequest,
    ) {
        if self.answer_duplicate(turn, link, &request.id) {
            return;
        }
        let keyed = KeyName::of(&request.request)
            .filter(|_| request.request.safety == RequestSafety::NonIdempotent);
        match (keyed, &request.granted) {
            (Some(name), Some(grant)) => self.handle_granted(turn, link, request, &name, grant),
            (Some(name), None) => self.arbitrate(turn, link, request, &name),
            (None, _) => match self.check(turn, request) {
                Ok(()) => self.admit(turn, link, request),
                Err(reason) => self.refuse(turn, link, &request.id, reason),
            },
        }
    }

    /// Cancels a request that the endpoint has not received, and fences its id.
    ///
    /// The sender has already closed the request, so no reply is sent.
    pub(super) fn cancel(&mut self, turn: &mut GateTurn<'_>, id: &RequestId) {
        if let Some(waiter) = self.arbiter.take_waiter(id) {
            return self
                .fences
                .add(turn.now.mono, waiter.id, FencedOutcome::Ran);
        }
        let queued = self.admission.remove(id).is_some();
        if !queued && self.admission.contains(id) {
            return;
        }
        self.runner.cancel(id);
        let outcome = FencedOutcome::NotRun(RefusalReason::Fenced);
        self.fences.add(turn.now.mono, id.clone(), outcome);
    }

    /// Handles the outcome of a request at the endpoint.
    pub(super) fn handle_outcome(
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
                self.limit.record_answer(now, now.since(running.started));
                self.fences.add(now, id.clone(), FencedOutcome::Ran);
                self.runner.record_answer(id, answer);
                let outcome = RequestOutcome::Answered(answer.clone());
                self.reply(turn, running.link, id, outcome);
            }
            EndpointOutcome::Unreachable => {
                self.refuse(turn, running.link, id, RefusalReason::EndpointUnreachable);
            }
            EndpointOutcome::Broken => {
                let hold_for = self.limit.service_time().min(MAX_SLOT_HOLD);
                self.admission.hold_slot(now.plus(hold_for));
                self.fences.add(now, id.clone(), FencedOutcome::Ran);
                self.runner.record_broken(id);
                let reason = RefusalReason::EndpointBroken;
                turn.push(AgentEffect::CountRefusal(reason));
                self.reply(turn, running.link, id, RequestOutcome::Unknown { reason });
            }
        }
    }

    /// Refuses queued requests once the gate is closed; during a planned stop they still run.
    pub(super) fn refuse_queued_if_closed(&mut self, turn: &mut GateTurn<'_>) {
        if self.stopping {
            return;
        }
        let Some(reason) = self.closed_reason(turn.context.fleet) else {
            return;
        };
        for queued in self.admission.drain() {
            self.refuse(turn, queued.link, &queued.request.id, reason);
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, turn: &mut GateTurn<'_>) {
        while let Some(queued) = self.admission.pop_expired(turn.now.mono) {
            let reason = RefusalReason::DeadlinePassed;
            self.refuse(turn, queued.link, &queued.request.id, reason);
        }
    }

    /// Passes queued requests to the endpoint while slots are free.
    pub(super) fn fill_slots(&mut self, turn: &mut GateTurn<'_>) {
        self.admission.release_held_slots(turn.now.mono);
        self.limit.decay_idle(turn.now.mono);
        while self.slot_free() {
            let Some(queued) = self.admission.pop() else {
                return;
            };
            self.call_endpoint(turn, queued.link, queued.request);
        }
    }

    /// Handles a duplicate of a request id; returns false if the id is new.
    fn answer_duplicate(&mut self, turn: &mut GateTurn<'_>, link: LinkId, id: &RequestId) -> bool {
        if self.admission.contains(id) || self.arbiter.is_waiting(id) {
            // The first copy is still to be answered, and that is the only reply.
            turn.push(AgentEffect::CountRefusal(RefusalReason::Fenced));
            return true;
        }
        let Some(outcome) = self.fences.get(id) else {
            return false;
        };
        turn.push(AgentEffect::CountRefusal(RefusalReason::Fenced));
        let outcome = match outcome {
            FencedOutcome::NotRun(reason) => self.not_run(reason),
            FencedOutcome::Ran => RequestOutcome::Unknown {
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
        if let Some(reason) = self.closed_reason(turn.context.fleet) {
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
        match request.deadline < self.expected_completion(now) {
            true => Err(RefusalReason::DeadlineUnreachable),
            false => Ok(()),
        }
    }

    /// Passes a request to the endpoint, queues it, or refuses it.
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
            QueueVerdict::Queued => {}
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

    /// Refuses a request that the endpoint has not received; its id can never run from now on.
    pub(super) fn refuse(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        id: &RequestId,
        reason: RefusalReason,
    ) {
        let now = turn.now.mono;
        self.fences
            .add(now, id.clone(), FencedOutcome::NotRun(reason));
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

    /// Returns when a request accepted now is expected to be answered.
    fn expected_completion(&self, now: MonoTime) -> MonoTime {
        now.plus(self.expected_wait())
            .plus(self.limit.service_time())
    }

    /// Returns how long a request accepted now is expected to wait for a slot.
    fn expected_wait(&self) -> Duration {
        if self.slot_free() && self.admission.queued() == 0 {
            return Duration::ZERO;
        }
        let ahead = u32::from(self.admission.queued()) + 1;
        self.limit.service_time() * ahead / u32::from(self.usable_slots().max(1))
    }
}
