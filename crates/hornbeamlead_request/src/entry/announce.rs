//! Announcements of agents to an entry, and what their silence means.

use super::directory::AnnounceVerdict;
use super::{EntryMachine, EntryTurn};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::ids::{HostId, Revision};
use hornbeamlead_core::message::control::{AgentAnnounce, AnnounceReply, ControlMessage};
use hornbeamlead_core::message::request::LinkMessage;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two questions for missing notes.
const NOTES_ASK_INTERVAL: Duration = Duration::from_secs(1);

impl EntryMachine {
    pub(super) fn take_datagram(
        &mut self,
        turn: &mut EntryTurn,
        from: SocketAddr,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Announce(announce) => self.take_announce(turn, from, announce),
            ControlMessage::AnnounceReply(_)
            | ControlMessage::Heartbeat(_)
            | ControlMessage::HeartbeatReply(_)
            | ControlMessage::PromiseRequest(_)
            | ControlMessage::PromiseGrant(_) => {
                turn.push(EntryEffect::CountRefusal(RefusalReason::StrayAnswer));
            }
        }
    }

    /// Marks silent agents, asks them once more, and drops those that stay silent.
    pub(super) fn pass_silence(&mut self, turn: &mut EntryTurn) {
        let now = turn.now.mono;
        let silent = self.directory.pass_silence(now);
        for host in silent.suspected {
            self.explain_member(turn, &host, "suspect_silent");
            self.ask_for_announce(turn, &host);
        }
        for host in silent.dropped {
            self.explain_member(turn, &host, "drop_silent");
        }
    }

    /// Writes down a decision about an agent.
    pub(super) fn explain_member(&self, turn: &mut EntryTurn, host: &HostId, rule: &'static str) {
        let inputs = match self.directory.get(host) {
            Some(member) => format!("state={} own={}", member.state(), member.own),
            None => "state=dropped".to_owned(),
        };
        turn.push(EntryEffect::Decide(DecisionRecord {
            at: turn.now.wall,
            subject: format!("host:{host}").into(),
            rule,
            inputs: inputs.into(),
            revision: self.keeper.revision(),
        }));
    }

    /// Asks an agent to announce itself now.
    pub(super) fn ask_for_announce(&self, turn: &mut EntryTurn, host: &HostId) {
        let Some(member) = self.directory.get(host) else {
            return;
        };
        let reply = self.announce_reply(member.announce.sequence, Duration::ZERO);
        turn.push(EntryEffect::SendDatagram {
            to: member.control,
            message: reply,
        });
    }

    fn take_announce(&mut self, turn: &mut EntryTurn, from: SocketAddr, announce: AgentAnnounce) {
        let host = announce.host.clone();
        let sequence = announce.sequence;
        let revision = announce.revision;
        let link_address = announce.link_address;
        match self.directory.announce(turn.now.mono, from, announce) {
            AnnounceVerdict::Stale => {
                turn.push(EntryEffect::CountRefusal(RefusalReason::Fenced));
                return;
            }
            AnnounceVerdict::Fresh => self.explain_member(turn, &host, "member_announced"),
            AnnounceVerdict::Known => {}
        }
        let next_after = self.directory.pace(turn.now.mono, &host, &self.policy);
        turn.push(EntryEffect::SendDatagram {
            to: from,
            message: self.announce_reply(sequence, next_after),
        });
        self.ask_for_notes(turn, revision, link_address);
    }

    fn announce_reply(&self, sequence: u64, next_after: Duration) -> ControlMessage {
        ControlMessage::AnnounceReply(AnnounceReply {
            entry: self.place.host.clone(),
            sequence,
            revision: self.keeper.revision(),
            link_address: self.place.link_address,
            next_after,
        })
    }

    /// Asks an agent for notes if it has newer ones and the log does not give them.
    fn ask_for_notes(&mut self, turn: &mut EntryTurn, revision: Revision, to: SocketAddr) {
        let now: MonoTime = turn.now.mono;
        let behind = revision > self.keeper.revision();
        if !behind || self.reader.log_up() || now < self.notes_asked_until {
            return;
        }
        self.notes_asked_until = now.plus(NOTES_ASK_INTERVAL);
        let wanted = Revision(self.keeper.fleet().next().0);
        turn.push(EntryEffect::SendLink {
            to,
            message: LinkMessage::NotesRequest(wanted),
        });
    }
}
