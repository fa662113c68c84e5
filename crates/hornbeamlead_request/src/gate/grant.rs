//! Keys handed to runners, keys run here for an arbiter, and questions of other arbiters.

use super::fence::FencedEnd;
use super::{GateTurn, RequestGate};
use crate::keys::KeyName;
use crate::keys::arbiter::KeyPhase;
use crate::keys::history;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::{HostId, LinkId, RequestId};
use hornbeamlead_core::message::control::ViewMember;
use hornbeamlead_core::message::request::{
    ForwardedRequest, KeyAnswer, KeyGrant, KeyQuery, KeyState, LinkMessage, LoadSample,
    RequestOutcome, RequestReply,
};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Runners that one key is offered to at most.
const MAX_RUNNERS: usize = 3;

/// Time for which the load that came back with a reply is believed.
const LOAD_VALIDITY: Duration = Duration::from_secs(2);

/// Load of a peer as its last reply told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerLoad {
    sample: LoadSample,
    valid_until: MonoTime,
    granted: u32,
}

impl PeerLoad {
    /// Returns how busy the peer looks; a leaving one goes last.
    fn busy(&self, now: MonoTime) -> u32 {
        let sampled = match now < self.valid_until {
            true if self.sample.leaving => u32::from(u16::MAX),
            true => u32::from(self.sample.in_flight) + u32::from(self.sample.queued),
            false => 0,
        };
        sampled.max(self.granted)
    }
}

impl RequestGate {
    /// Hands a key to a runner on another host of the view.
    pub(super) fn hand_over(&mut self, turn: &mut GateTurn<'_>, name: &KeyName) {
        let Some(record) = self.arbiter.get(name) else {
            return;
        };
        let Some(deadline) = record.deadline() else {
            return self.arbiter.remove(name);
        };
        let request = record.request.clone();
        let chosen = self.choose_runner(turn.now.mono, name);
        let Some(runner) = chosen else {
            return self.end_not_run(turn, name, RefusalReason::NoWorker);
        };
        let counter = self.arbiter.new_grant(name);
        if let Some(record) = self.arbiter.get_mut(name) {
            record.phase = KeyPhase::Handed {
                counter,
                runner: runner.host.clone(),
                to: runner.link_address,
            };
        }
        self.peers.entry(runner.host).or_default().granted += 1;
        let forwarded = ForwardedRequest {
            id: self.grant_id(counter),
            request,
            deadline,
            granted: Some(KeyGrant {
                arbiter: self.place.host.clone(),
                view: self.history.number(),
            }),
        };
        turn.push(AgentEffect::SendLink {
            to: runner.link_address,
            message: LinkMessage::Request(forwarded),
        });
    }

    /// Takes a runner's reply.
    pub(super) fn take_runner_reply(
        &mut self,
        turn: &mut GateTurn<'_>,
        from: SocketAddr,
        reply: &RequestReply,
    ) {
        let Some((name, runner)) = self.end_grant(&reply.id, from) else {
            turn.push(AgentEffect::CountRefusal(RefusalReason::StrayAnswer));
            return;
        };
        let peer = self.peers.entry(runner.clone()).or_default();
        peer.sample = reply.load;
        peer.valid_until = turn.now.mono.plus(LOAD_VALIDITY);
        match &reply.outcome {
            RequestOutcome::Answered(answer) => self.end_answered(turn, &name, answer),
            RequestOutcome::NotRun { reason, .. } => {
                self.try_other_runner(turn, &name, runner, *reason);
            }
            RequestOutcome::Unknown { reason } => self.end_unknown(turn, &name, *reason),
        }
    }

    /// Takes note that a link to a peer could not be opened: grants over it did not run.
    pub(super) fn take_peer_refusal(
        &mut self,
        turn: &mut GateTurn<'_>,
        to: SocketAddr,
        unsent: &[RequestId],
    ) {
        for id in unsent {
            if let Some((name, runner)) = self.end_grant(id, to) {
                self.try_other_runner(turn, &name, runner, RefusalReason::LinkBroken);
            }
        }
    }

    /// Takes note that a link to a peer broke: grants over it may run, so the peer is asked.
    pub(super) fn take_peer_break(&mut self, turn: &mut GateTurn<'_>, to: SocketAddr) {
        for name in self.arbiter.handed_over(to) {
            let phase = self.arbiter.get(&name).map(|record| record.phase.clone());
            let Some(KeyPhase::Handed {
                counter, runner, ..
            }) = phase
            else {
                continue;
            };
            self.arbiter.end_grant(counter);
            self.release_peer(&runner);
            if let Some(record) = self.arbiter.get_mut(&name) {
                record.phase = KeyPhase::Followed {
                    runner,
                    handed: true,
                };
            }
            self.arbiter.look_at(&name, turn.now.mono);
        }
    }

    /// Takes a key that an arbiter handed over.
    pub(super) fn take_granted(
        &mut self,
        turn: &mut GateTurn<'_>,
        link: LinkId,
        request: &ForwardedRequest,
        name: &KeyName,
        grant: &KeyGrant,
    ) {
        let id = &request.id;
        if grant.view < self.history.number() {
            return self.refuse(turn, link, id, RefusalReason::NoArbiter);
        }
        match self.runner.key_state(name) {
            KeyState::Absent => {}
            KeyState::Answered(answer) => {
                self.fences.add(turn.now.mono, id.clone(), FencedEnd::Ran);
                return self.reply(turn, link, id, RequestOutcome::Answered(answer));
            }
            KeyState::Running | KeyState::Unknown => {
                let reason = RefusalReason::Fenced;
                self.fences.add(turn.now.mono, id.clone(), FencedEnd::Ran);
                return self.reply(turn, link, id, RequestOutcome::Unknown { reason });
            }
        }
        if let Err(reason) = self.check(turn, request) {
            return self.refuse(turn, link, id, reason);
        }
        match self.runner.begin(turn.now.mono, name, id, grant.view) {
            Ok(()) => self.admit(turn, link, request),
            Err(reason) => self.refuse(turn, link, id, reason),
        }
    }

    /// Answers another arbiter's question about a key, and fences the key for older views.
    pub(super) fn answer_query(&mut self, turn: &mut GateTurn<'_>, link: LinkId, query: &KeyQuery) {
        let name = KeyName {
            service: query.service.clone(),
            key: query.key.clone(),
        };
        let key_state = self.knowledge_for(turn, &name, query.view);
        let now = turn.now.mono;
        let mut past = self.history.past();
        past.extend(self.history.current().cloned());
        let answer = KeyAnswer {
            query: query.query,
            host: self.place.host.clone(),
            incarnation: self.place.incarnation,
            key_state,
            observed_for: self.history.observed_for(now),
            past,
            homes: self.homes.known(),
        };
        turn.push(AgentEffect::ReplyLink {
            link,
            message: LinkMessage::KeyAnswer(answer),
        });
    }

    fn knowledge_for(&mut self, turn: &mut GateTurn<'_>, name: &KeyName, view: u64) -> KeyState {
        let phase = self.arbiter.get(name).map(|record| record.phase.clone());
        match phase {
            Some(KeyPhase::Settling { .. }) if view > self.history.number() => {
                self.end_not_run(turn, name, RefusalReason::NoArbiter);
            }
            Some(
                KeyPhase::Settling { .. } | KeyPhase::Handed { .. } | KeyPhase::Followed { .. },
            ) => return KeyState::Running,
            Some(KeyPhase::Answered(answer)) => return KeyState::Answered(answer),
            Some(KeyPhase::Unknown) => return KeyState::Unknown,
            None => {}
        }
        let fenced = self.runner.fence(turn.now.mono, name, view);
        match self.runner.key_state(name) {
            KeyState::Absent if !fenced => KeyState::Unknown,
            known => known,
        }
    }

    fn try_other_runner(
        &mut self,
        turn: &mut GateTurn<'_>,
        name: &KeyName,
        runner: HostId,
        reason: RefusalReason,
    ) {
        let now = turn.now.mono;
        let Some(record) = self.arbiter.get_mut(name) else {
            return;
        };
        record.tried.insert(runner);
        let tried = record.tried.len();
        let in_time = record.deadline().is_some_and(|deadline| now < deadline);
        let others_left = self.choose_runner(now, name).is_some();
        let elsewhere = match reason {
            RefusalReason::NoArbiter | RefusalReason::DeadlinePassed => false,
            _ => tried < MAX_RUNNERS && in_time && others_left,
        };
        if !elsewhere {
            return self.end_not_run(turn, name, reason);
        }
        match self.may_arbitrate(turn, name) {
            Ok(()) => {
                turn.push(AgentEffect::CountRetry(RetryReason::NotRun));
                self.hand_over(turn, name);
            }
            Err(reason) => self.end_not_run(turn, name, reason),
        }
    }

    /// Chooses the less busy of two members drawn at random, this host only if it is alone.
    fn choose_runner(&mut self, now: MonoTime, name: &KeyName) -> Option<ViewMember> {
        let tried = &self.arbiter.get(name)?.tried;
        let view = self.history.current()?;
        let alone = view.members.len() == 1;
        let candidates: Vec<&ViewMember> = view
            .members
            .iter()
            .filter(|member| alone || !history::is_self(&self.place, member))
            .filter(|member| !tried.contains(&member.host))
            .collect();
        let first = self.random.random_range(0..candidates.len().max(1));
        let step = self.random.random_range(1..candidates.len().max(2));
        let second = (first + step) % candidates.len().max(1);
        let drawn = [candidates.get(first), candidates.get(second)];
        let busy = |member: &&&ViewMember| {
            let peer = self.peers.get(&member.host);
            peer.map_or(0, |peer| peer.busy(now))
        };
        drawn
            .into_iter()
            .flatten()
            .min_by_key(busy)
            .map(|member| (*member).clone())
    }

    /// Ends the grant of an id that came back over the link it was sent on.
    fn end_grant(&mut self, id: &RequestId, from: SocketAddr) -> Option<(KeyName, HostId)> {
        let own = id.entry == self.place.host && id.incarnation == self.place.incarnation;
        let name = self.arbiter.granted(id.counter).filter(|_| own)?.clone();
        let record = self.arbiter.get(&name)?;
        match &record.phase {
            KeyPhase::Handed {
                counter,
                runner,
                to,
            } if *counter == id.counter && *to == from => {
                let runner = runner.clone();
                self.arbiter.end_grant(id.counter);
                self.release_peer(&runner);
                Some((name, runner))
            }
            KeyPhase::Handed { .. }
            | KeyPhase::Settling { .. }
            | KeyPhase::Followed { .. }
            | KeyPhase::Answered(_)
            | KeyPhase::Unknown => None,
        }
    }

    fn release_peer(&mut self, host: &HostId) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.granted = peer.granted.saturating_sub(1);
        }
    }

    fn grant_id(&self, counter: u64) -> RequestId {
        RequestId {
            entry: self.place.host.clone(),
            incarnation: self.place.incarnation,
            counter,
        }
    }
}
