//! Resolution of a key: its arbiter queries all hosts that may know the key before it runs.

use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use crate::keys::arbiter::{KeyPhase, PendingQuery};
use crate::keys::history::KeyWitnesses;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::HostId;
use hornbeamlead_core::message::request::{KeyAnswer, KeyQuery, KeyState, LinkMessage};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two queries about one key.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl RequestGate {
    /// Handles a key's timer.
    pub(super) fn check_key(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        let now = turn.now.mono;
        for waiter in self.arbiter.take_waiters(name, now) {
            self.reply_unknown(turn, &waiter, RefusalReason::DeadlinePassed);
        }
        let Some(record) = self.arbiter.get(name) else {
            return;
        };
        let awaited = !record.waiters.is_empty();
        match record.phase.clone() {
            KeyPhase::Resolving { .. } if !awaited => self.arbiter.remove(name),
            KeyPhase::Resolving { pending } => self.query_all(turn, name, &pending),
            KeyPhase::Polled { runner, .. } if awaited => self.poll_runner(turn, name, &runner),
            KeyPhase::Polled { .. }
            | KeyPhase::Granted { .. }
            | KeyPhase::Answered(_)
            | KeyPhase::Unknown => {}
        }
    }

    /// Restarts the resolution of all keys being resolved, under a new view.
    pub(super) fn resolve_under_new_view(&mut self, turn: &mut GateTurn<'_>) {
        for name in self.arbiter.resolving() {
            if let Some(record) = self.arbiter.get_mut(&name) {
                record.absent_at.clear();
            }
            match self.may_arbitrate(turn, &name) {
                Ok(()) => self.resolve(turn, &name),
                Err(reason) => self.end_not_run(turn, &name, reason),
            }
        }
    }

    /// Handles a peer's answer to a key query.
    pub(super) fn handle_key_answer(&mut self, turn: &mut GateTurn<'_>, answer: &KeyAnswer) {
        let Some(query) = self.arbiter.remove_query(answer.query) else {
            turn.push(AgentEffect::CountRefusal(RefusalReason::StrayAnswer));
            return;
        };
        let now = turn.now.mono;
        self.history.merge(now, &self.identity, answer);
        self.homes.merge(now, &answer.homes);
        let same_incarnation = query.host == answer.host && query.incarnation == answer.incarnation;
        let phase = self.arbiter.get(&query.name).map(|record| &record.phase);
        match phase {
            Some(KeyPhase::Resolving { .. }) => {
                let same_view = query.view == self.history.number();
                if same_incarnation && same_view {
                    self.resolve_with(turn, &query, &answer.key_state);
                }
            }
            Some(KeyPhase::Polled {
                runner,
                granted_here,
            }) if *runner == query.host => {
                let granted_here = *granted_here;
                let key_state = match same_incarnation {
                    true => answer.key_state.clone(),
                    false => KeyState::Unknown,
                };
                self.handle_poll(turn, &query.name, granted_here, &key_state);
            }
            Some(
                KeyPhase::Polled { .. }
                | KeyPhase::Granted { .. }
                | KeyPhase::Answered(_)
                | KeyPhase::Unknown,
            )
            | None => {}
        }
    }

    /// Queries the hosts that may know a key, or grants it if it is certain not to have run.
    pub(super) fn resolve(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        let local_state = self.runner.key_state(name);
        match local_state {
            KeyState::Absent => {}
            KeyState::Running => {
                let runner = self.identity.host.clone();
                if let Some(record) = self.arbiter.get_mut(name) {
                    record.phase = KeyPhase::Polled {
                        runner: runner.clone(),
                        granted_here: false,
                    };
                }
                return self.poll_runner(turn, name, &runner);
            }
            KeyState::Answered(answer) => return self.end_answered(turn, name, &answer),
            KeyState::Unknown => {
                return self.end_unknown(turn, name, RefusalReason::KeyHistoryLost);
            }
        }
        let witnesses = match self.history.complete(turn.now.mono) {
            true => self.history.witnesses(&self.identity, name),
            false => KeyWitnesses::Query(self.history.other_members(&self.identity)),
        };
        match witnesses {
            KeyWitnesses::Lost => self.end_lost(turn, name),
            KeyWitnesses::Query(hosts) if hosts.is_empty() => self.grant_if_allowed(turn, name),
            KeyWitnesses::Query(hosts) => self.query_all(turn, name, &hosts),
        }
    }

    /// Continues the resolution with a queried host's answer.
    fn resolve_with(
        &mut self,
        turn: &mut GateTurn<'_>,
        query: &PendingQuery,
        key_state: &KeyState,
    ) {
        let name = &query.name;
        match key_state {
            KeyState::Absent => self.record_absent(turn, query),
            KeyState::Running => {
                if let Some(record) = self.arbiter.get_mut(name) {
                    record.phase = KeyPhase::Polled {
                        runner: query.host.clone(),
                        granted_here: false,
                    };
                }
                let next_query_at = turn.now.mono.plus(QUERY_INTERVAL);
                self.arbiter.schedule_check(name, next_query_at);
            }
            KeyState::Answered(answer) => self.end_answered(turn, name, answer),
            KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::KeyHistoryLost);
            }
        }
    }

    /// Continues with the state of the key at the host that runs it.
    fn handle_poll(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        granted_here: bool,
        key_state: &KeyState,
    ) {
        match key_state {
            KeyState::Running => {
                let next_query_at = turn.now.mono.plus(QUERY_INTERVAL);
                self.arbiter.schedule_check(name, next_query_at);
            }
            KeyState::Answered(answer) => self.end_answered(turn, name, answer),
            // The key has not run there and is fenced there, so all hosts are queried again.
            KeyState::Absent if !granted_here => self.resolve_again(turn, name),
            KeyState::Absent | KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::LinkBroken);
            }
        }
    }

    fn resolve_again(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        if let Some(record) = self.arbiter.get_mut(name) {
            record.absent_at.clear();
        }
        match self.may_arbitrate(turn, name) {
            Ok(()) => self.resolve(turn, name),
            Err(_) => self.end_lost(turn, name),
        }
    }

    /// Records that a host does not know a key; grants it once all queried hosts have said so.
    fn record_absent(&mut self, turn: &mut GateTurn<'_>, query: &PendingQuery) {
        let name = &query.name;
        let Some(record) = self.arbiter.get_mut(name) else {
            return;
        };
        record.absent_at.insert(query.host.clone());
        let absent_at = record.absent_at.clone();
        let KeyPhase::Resolving { pending } = &mut record.phase else {
            return;
        };
        pending.remove(&query.host);
        if !pending.is_empty() {
            return;
        }
        if !self.history.complete(turn.now.mono) || self.homes.moved(name) {
            return self.end_lost(turn, name);
        }
        // The answers may have contained views whose members were not all queried.
        match self.history.witnesses(&self.identity, name) {
            KeyWitnesses::Lost => self.end_lost(turn, name),
            KeyWitnesses::Query(hosts) if hosts.is_subset(&absent_at) => {
                self.grant_if_allowed(turn, name)
            }
            KeyWitnesses::Query(hosts) => {
                let missing = hosts.difference(&absent_at).cloned().collect();
                self.query_all(turn, name, &missing);
            }
        }
    }

    /// Grants a key that has not run, if this process may still arbitrate it.
    fn grant_if_allowed(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        match self.may_arbitrate(turn, name) {
            Ok(()) if !self.history.complete(turn.now.mono) => self.end_lost(turn, name),
            Ok(()) => self.grant_key(turn, name),
            Err(reason) => self.end_not_run(turn, name, reason),
        }
    }

    fn query_all(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, hosts: &BTreeSet<HostId>) {
        if let Some(record) = self.arbiter.get_mut(name) {
            record.phase = KeyPhase::Resolving {
                pending: hosts.clone(),
            };
        }
        for host in hosts {
            self.query_host(turn, name, host);
        }
        let next_query_at = turn.now.mono.plus(QUERY_INTERVAL);
        self.arbiter.schedule_check(name, next_query_at);
    }

    fn poll_runner(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, runner: &HostId) {
        let next_query_at = turn.now.mono.plus(QUERY_INTERVAL);
        self.arbiter.schedule_check(name, next_query_at);
        if *runner != self.identity.host {
            return self.query_host(turn, name, runner);
        }
        match self.runner.key_state(name) {
            KeyState::Running => {}
            KeyState::Answered(answer) => self.end_answered(turn, name, &answer),
            KeyState::Absent => self.resolve_again(turn, name),
            KeyState::Unknown => {
                self.end_unknown(turn, name, RefusalReason::EndpointBroken);
            }
        }
    }

    fn query_host(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, host: &HostId) {
        let Some(member) = self.history.member(host) else {
            return;
        };
        let to = member.link_address;
        let number = self.arbiter.add_query(PendingQuery {
            name: name.clone(),
            host: host.clone(),
            incarnation: member.incarnation,
            view: self.history.number(),
        });
        let query = KeyQuery {
            query: number,
            arbiter: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
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
