//! The gate as arbiter of keys: who may run a key, and what its copies are told.

use super::fence::FencedEnd;
use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use crate::keys::arbiter::{KeyPhase, KeyWaiter};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::LinkId;
use hornbeamlead_core::message::request::{EndpointAnswer, ForwardedRequest, RequestOutcome};
use std::collections::BTreeSet;

impl RequestGate {
    /// Takes a copy of a keyed request as the key's arbiter.
    pub(super) fn arbitrate(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        request: &ForwardedRequest,
        name: &KeyName,
    ) {
        let waiter = KeyWaiter {
            link,
            id: request.id.clone(),
            deadline: request.deadline,
        };
        if self.arbiter.get(name).is_some() {
            return self.join(turn, name, waiter);
        }
        if let Err(reason) = self.may_arbitrate(turn, name) {
            return self.refuse(turn, link, &request.id, reason);
        }
        if request.deadline <= turn.now.mono {
            return self.refuse(turn, link, &request.id, RefusalReason::DeadlinePassed);
        }
        if !self.arbiter.has_room() {
            return self.refuse(turn, link, &request.id, RefusalReason::KeysFull);
        }
        if self.homes.moved(name) {
            return self.tell_lost(turn, &waiter);
        }
        let phase = KeyPhase::Settling {
            pending: BTreeSet::new(),
        };
        self.arbiter
            .add(turn.now.mono, name, &request.request, phase);
        self.arbiter.add_waiter(name, waiter);
        self.settle(turn, name);
    }

    /// Keeps an answer and gives it to all copies that wait.
    pub(super) fn end_answered(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        answer: &EndpointAnswer,
    ) {
        self.arbiter.keep_answer(name, answer);
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.tell_answer(turn, &waiter, answer);
        }
    }

    /// Keeps that a key may have run and tells all copies that wait.
    pub(super) fn end_unknown(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        reason: RefusalReason,
    ) {
        if let Some(record) = self.arbiter.get_mut(name) {
            record.phase = KeyPhase::Unknown;
        }
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.tell_unknown(turn, &waiter, reason);
        }
    }

    /// Forgets a key that did not run and tells all copies that wait.
    pub(super) fn end_not_run(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        reason: RefusalReason,
    ) {
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.refuse(turn, waiter.link, &waiter.id, reason);
        }
        self.arbiter.remove(name);
    }

    /// Checks that this process may arbitrate a key now.
    pub(super) fn may_arbitrate(
        &self,
        turn: &GateTurn<'_>,
        name: &KeyName,
    ) -> Result<(), RefusalReason> {
        let leased = turn
            .context
            .membership
            .lease_until
            .is_some_and(|until| turn.now.mono < until);
        let here = self.homes.home(name) == Some(&self.place.data_centre);
        let fenced = self.history.number() < self.runner.fenced_below(name);
        match self.history.arbitrates(&self.place, name) {
            _ if self.stopping => Err(RefusalReason::Leaving),
            true if leased && here && !fenced => Ok(()),
            true | false => Err(RefusalReason::NoArbiter),
        }
    }

    /// Answers a copy of a key that is known here.
    fn join(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, waiter: KeyWaiter) {
        let phase = self.arbiter.get(name).map(|record| record.phase.clone());
        match phase {
            Some(KeyPhase::Answered(answer)) => self.tell_answer(turn, &waiter, &answer),
            Some(KeyPhase::Unknown) => {
                self.tell_unknown(turn, &waiter, RefusalReason::KeyHistoryLost);
            }
            Some(KeyPhase::Followed { .. }) => {
                self.arbiter.add_waiter(name, waiter);
                self.arbiter.look_at(name, turn.now.mono);
            }
            Some(KeyPhase::Settling { .. } | KeyPhase::Handed { .. }) => {
                self.arbiter.add_waiter(name, waiter);
            }
            None => {}
        }
    }

    /// Tells all copies that the key's history may be lost; a later copy is looked into again.
    pub(super) fn end_lost(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.tell_lost(turn, &waiter);
        }
        self.arbiter.remove(name);
    }

    pub(super) fn tell_lost(&mut self, turn: &mut GateTurn<'_>, waiter: &KeyWaiter) {
        self.tell_unknown(turn, waiter, RefusalReason::KeyHistoryLost);
    }

    pub(super) fn tell_unknown(
        &mut self,
        turn: &mut GateTurn<'_>,
        waiter: &KeyWaiter,
        reason: RefusalReason,
    ) {
        let now = turn.now.mono;
        self.fences.add(now, waiter.id.clone(), FencedEnd::Ran);
        turn.push(AgentEffect::CountRefusal(reason));
        self.reply(
            turn,
            waiter.link,
            &waiter.id,
            RequestOutcome::Unknown { reason },
        );
    }

    fn tell_answer(
        &mut self,
        turn: &mut GateTurn<'_>,
        waiter: &KeyWaiter,
        answer: &EndpointAnswer,
    ) {
        let now = turn.now.mono;
        self.fences.add(now, waiter.id.clone(), FencedEnd::Ran);
        let outcome = RequestOutcome::Answered(answer.clone());
        self.reply(turn, waiter.link, &waiter.id, outcome);
    }
}
