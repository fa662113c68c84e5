//! Arbitration of keys: decides whether a key may run, and replies to the copies of its request.

use super::fence::FencedOutcome;
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
    /// Handles a copy of a keyed request as the arbiter of its key.
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
            return self.reply_lost(turn, &waiter);
        }
        let phase = KeyPhase::Resolving {
            pending: BTreeSet::new(),
        };
        self.arbiter
            .add(turn.now.mono, name, &request.request, phase);
        self.arbiter.add_waiter(name, waiter);
        self.resolve(turn, name);
    }

    /// Stores the answer of a key and sends it to all waiting copies.
    pub(super) fn end_answered(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        answer: &EndpointAnswer,
    ) {
        self.arbiter.keep_answer(name, answer);
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.reply_answer(turn, &waiter, answer);
        }
    }

    /// Records that a key may have run and replies so to all waiting copies.
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
            self.reply_unknown(turn, &waiter, reason);
        }
    }

    /// Removes a key that did not run and refuses all waiting copies.
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
        let is_home = self.homes.home(name) == Some(&self.identity.data_centre);
        let fenced = self.history.number() < self.runner.min_view(name);
        match self.history.arbitrates(&self.identity, name) {
            _ if self.stopping => Err(RefusalReason::Leaving),
            true if leased && is_home && !fenced => Ok(()),
            true | false => Err(RefusalReason::NoArbiter),
        }
    }

    /// Handles a copy of a key that has a record here.
    fn join(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, waiter: KeyWaiter) {
        let phase = self.arbiter.get(name).map(|record| record.phase.clone());
        match phase {
            Some(KeyPhase::Answered(answer)) => self.reply_answer(turn, &waiter, &answer),
            Some(KeyPhase::Unknown) => {
                self.reply_unknown(turn, &waiter, RefusalReason::KeyHistoryLost);
            }
            Some(KeyPhase::Polled { .. }) => {
                self.arbiter.add_waiter(name, waiter);
                self.arbiter.schedule_check(name, turn.now.mono);
            }
            Some(KeyPhase::Resolving { .. } | KeyPhase::Granted { .. }) => {
                self.arbiter.add_waiter(name, waiter);
            }
            None => {}
        }
    }

    /// Replies to all waiting copies that the key's history may be lost; a later copy starts over.
    pub(super) fn end_lost(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        for waiter in self.arbiter.take_waiters(name, MonoTime::MAX) {
            self.reply_lost(turn, &waiter);
        }
        self.arbiter.remove(name);
    }

    pub(super) fn reply_lost(&mut self, turn: &mut GateTurn<'_>, waiter: &KeyWaiter) {
        self.reply_unknown(turn, waiter, RefusalReason::KeyHistoryLost);
    }

    pub(super) fn reply_unknown(
        &mut self,
        turn: &mut GateTurn<'_>,
        waiter: &KeyWaiter,
        reason: RefusalReason,
    ) {
        let now = turn.now.mono;
        self.fences.add(now, waiter.id.clone(), FencedOutcome::Ran);
        turn.push(AgentEffect::CountRefusal(reason));
        self.reply(
            turn,
            waiter.link,
            &waiter.id,
            RequestOutcome::Unknown { reason },
        );
    }

    fn reply_answer(
        &mut self,
        turn: &mut GateTurn<'_>,
        waiter: &KeyWaiter,
        answer: &EndpointAnswer,
    ) {
        let now = turn.now.mono;
        self.fences.add(now, waiter.id.clone(), FencedOutcome::Ran);
        let outcome = RequestOutcome::Answered(answer.clone());
        self.reply(turn, waiter.link, &waiter.id, outcome);
    }
}
