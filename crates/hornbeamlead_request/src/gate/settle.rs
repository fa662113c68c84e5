//! Settling of a key by its arbiter: whoever may know it is asked before it runs.

use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use crate::keys::arbiter::{AskedQuestion, KeyPhase};
use crate::keys::history::KeyWitnesses;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::HostId;
use hornbeamlead_core::message::request::{KeyAnswer, KeyQuery, KeyState, LinkMessage};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two questions about one key.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);

impl RequestGate {
    /// Looks at a key whose timer came.
    pub(super) fn look_at_key(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        let now = turn.now.mono;
        for waiter in self.arbiter.take_waiters(name, now) {
            self.tell_unknown(turn, &waiter, RefusalReason::DeadlinePassed);
        }
        let Some(record) = self.arbiter.get(name) else {
            return;
        };
        let awaited = !record.waiters.is_empty();
        match record.phase.clone() {
            KeyPhase::Settling { .. } if !awaited => self.arbiter.remove(name),
            KeyPhase::Settling { pending } => self.ask_all(turn, name, &pending),
            KeyPhase::Followed { runner, .. } if awaited => self.follow_runner(turn, name, &runner),
            KeyPhase::Followed { .. }
            | KeyPhase::Handed { .. }
            | KeyPhase::Answered(_)
            | KeyPhase::Unknown => {}
        }
    }

    /// Looks again at all keys that are being settled, under a new view.
    pub(super) fn settle_under_new_view(&mut self, turn: &mut GateTurn<'_>) {
        for name in self.arbiter.settling() {
            if let Some(record) = self.arbiter.get_mut(&name) {
                record.asked.clear();
            }
            match self.may_arbitrate(turn, &name) {
                Ok(()) => self.settle(turn, &name),
                Err(reason) => self.end_not_run(turn, &name, reason),
            }
        }
    }

    /// Takes a peer's answer about a key.
    pub(super) fn take_key_answer(&mut self, turn: &mut GateTurn<'_>, answer: &KeyAnswer) {
        let Some(question) = self.arbiter.end_question(answer.query) else {
            turn.push(AgentEffect::CountRefusal(RefusalReason::StrayAnswer));
            return;
        };
        let now = turn.now.mono;
        self.history.learn(now, &self.place, answer);
        self.homes.learn(now, &answer.homes);
        let same_life = question.host == answer.host && question.incarnation == answer.incarnation;
        let phase = self.arbiter.get(&question.name).map(|record| &record.phase);
        match phase {
            Some(KeyPhase::Settling { .. }) => {
                let same_view = question.view == self.history.number();
                if same_life && same_view {
                    self.settle_with(turn, &question, &answer.key_state);
                }
            }
            Some(KeyPhase::Followed { runner, handed }) if *runner == question.host => {
                let handed = *handed;
                let key_state = match same_life {
                    true => answer.key_state.clone(),
                    false => KeyState::Unknown,
                };
                self.follow_with(turn, &question.name, handed, &key_state);
            }
            Some(
                KeyPhase::Followed { .. }
                | KeyPhase::Handed { .. }
                | KeyPhase::Answered(_)
                | KeyPhase::Unknown,
            )
            | None => {}
        }
    }

    /// Asks whoever may know a key, or hands it over if it is certain that it has not run.
    pub(super) fn settle(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        let own = self.runner.key_state(name);
        match own {
            KeyState::Absent => {}
            KeyState::Running => {
                let runner = self.place.host.clone();
                if let Some(record) = self.arbiter.get_mut(name) {
                    record.phase = KeyPhase::Followed {
                        runner: runner.clone(),
                        handed: false,
                    };
                }
                return self.follow_runner(turn, name, &runner);
            }
            KeyState::Answered(answer) => return self.end_answered(turn, name, &answer),
            KeyState::Unknown => {
                return self.end_unknown(turn, name, RefusalReason::KeyHistoryLost);
            }
        }
        let witnesses = match self.history.complete(turn.now.mono) {
            true => self.history.witnesses(&self.place, name),
            false => KeyWitnesses::Ask(self.history.others(&self.place)),
        };
        match witnesses {
            KeyWitnesses::Lost => self.end_lost(turn, name),
            KeyWitnesses::Ask(hosts) if hosts.is_empty() => self.decide(turn, name),
            KeyWitnesses::Ask(hosts) => self.ask_all(turn, name, &hosts),
        }
    }

    /// Goes on with what one of the hosts asked knows.
    fn settle_with(
        &mut self,
        turn: &mut GateTurn<'_>,
        question: &AskedQuestion,
        key_state: &KeyState,
    ) {
        let name = &question.name;
        match key_state {
            KeyState::Absent => self.note_absent(turn, question),
            KeyState::Running => {
                if let Some(record) = self.arbiter.get_mut(name) {
                    record.phase = KeyPhase::Followed {
                        runner: question.host.clone(),
                        handed: false,
                    };
                }
                let again = turn.now.mono.plus(QUESTION_INTERVAL);
                self.arbiter.look_at(name, again);
            }
            KeyState::Answered(answer) => self.end_answered(turn, name, answer),
            KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::KeyHistoryLost);
            }
        }
    }

    /// Goes on with what the host that runs a key knows now.
    fn follow_with(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        handed: bool,
        key_state: &KeyState,
    ) {
        match key_state {
            KeyState::Running => {
                let again = turn.now.mono.plus(QUESTION_INTERVAL);
                self.arbiter.look_at(name, again);
            }
            KeyState::Answered(answer) => self.end_answered(turn, name, answer),
            // It has not run there and will not: all are asked anew.
            KeyState::Absent if !handed => self.settle_anew(turn, name),
            KeyState::Absent | KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::LinkBroken);
            }
        }
    }

    fn settle_anew(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        if let Some(record) = self.arbiter.get_mut(name) {
            record.asked.clear();
        }
        match self.may_arbitrate(turn, name) {
            Ok(()) => self.settle(turn, name),
            Err(_) => self.end_lost(turn, name),
        }
    }

    /// Takes note that a host does not know a key, and decides once all have said so.
    fn note_absent(&mut self, turn: &mut GateTurn<'_>, question: &AskedQuestion) {
        let name = &question.name;
        let Some(record) = self.arbiter.get_mut(name) else {
            return;
        };
        record.asked.insert(question.host.clone());
        let asked = record.asked.clone();
        let KeyPhase::Settling { pending } = &mut record.phase else {
            return;
        };
        pending.remove(&question.host);
        if !pending.is_empty() {
            return;
        }
        if !self.history.complete(turn.now.mono) || self.homes.moved(name) {
            return self.end_lost(turn, name);
        }
        // The answers may have told of views whose members were not all asked.
        match self.history.witnesses(&self.place, name) {
            KeyWitnesses::Lost => self.end_lost(turn, name),
            KeyWitnesses::Ask(hosts) if hosts.is_subset(&asked) => self.decide(turn, name),
            KeyWitnesses::Ask(hosts) => {
                let missing = hosts.difference(&asked).cloned().collect();
                self.ask_all(turn, name, &missing);
            }
        }
    }

    /// Hands a key over that has not run, if this process may still arbitrate it.
    fn decide(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        match self.may_arbitrate(turn, name) {
            Ok(()) if !self.history.complete(turn.now.mono) => self.end_lost(turn, name),
            Ok(()) => self.hand_over(turn, name),
            Err(reason) => self.end_not_run(turn, name, reason),
        }
    }

    fn ask_all(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, hosts: &BTreeSet<HostId>) {
        if let Some(record) = self.arbiter.get_mut(name) {
            record.phase = KeyPhase::Settling {
                pending: hosts.clone(),
            };
        }
        for host in hosts {
            self.ask_host(turn, name, host);
        }
        let again = turn.now.mono.plus(QUESTION_INTERVAL);
        self.arbiter.look_at(name, again);
    }

    fn follow_runner(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, runner: &HostId) {
        let again = turn.now.mono.plus(QUESTION_INTERVAL);
        self.arbiter.look_at(name, again);
        if *runner != self.place.host {
            return self.ask_host(turn, name, runner);
        }
        match self.runner.key_state(name) {
            KeyState::Running => {}
            KeyState::Answered(answer) => self.end_answered(turn, name, &answer),
            KeyState::Absent => self.settle_anew(turn, name),
            KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::EndpointBroken);
            }
        }
    }

    fn ask_host(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, host: &HostId) {
        let Some(member) = self.history.member(host) else {
            return;
        };
        let to = member.link_address;
        let number = self.arbiter.new_question(AskedQuestion {
            name: name.clone(),
            host: host.clone(),
            incarnation: member.incarnation,
            view: self.history.number(),
        });
        let query = KeyQuery {
            query: number,
            arbiter: self.place.host.clone(),
            incarnation: self.place.incarnation,
            service: name.service.clone(),
            key: name.key.clone(),
            view: self.history.number(),
        };
        turn.push(AgentEffect::SendLink {
            to,
            message: LinkMessage::KeyQuery(query),
        });
    }
}
