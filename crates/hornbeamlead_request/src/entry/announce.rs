//! Announcements of agents to an entry, and detection of silent agents.

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

/// Minimum time between two requests to agents for missing notes.
const NOTES_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

impl EntryMachine {
    pub(super) fn handle_datagram(
        &mut self,
        turn: &mut EntryTurn,
        from: SocketAddr,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Announce(announce) => self.handle_announce(turn, from, announce),
            ControlMessage::AnnounceReply(_)
            | ControlMessage::Heartbeat(_)
            | ControlMessage::HeartbeatReply(_)
            | ControlMessage::PromiseRequest(_)
            | ControlMessage::PromiseGrant(_) => {
                turn.push(EntryEffect::CountRefusal(RefusalReason::StrayAnswer));
            }
        }
    }

    /// Marks silent agents as suspect and requests their announcement; drops those still silent.
    pub(super) fn check_silence(&mut self, turn: &mut EntryTurn) {
        let now = turn.now.mono;
        let silent = self.directory.check_silence(now);
        for host in silent.suspected {
            self.record_member_decision(turn, &host, "suspect_silent");
            self.request_announce(turn, &host);
        }
        for host in silent.dropped {
            self.record_member_decision(turn, &host, "drop_silent");
        }
    }

    /// Emits a decision record about an agent.
    pub(super) fn record_member_decision(
        &self,
        turn: &mut EntryTurn,
        host: &HostId,
        rule: &'static str,
    ) {
        let inputs = match self.directory.get(host) {
            Some(member) => format!("state={} own={}", member.state(), member.outstanding),
            None => "state=dropped".to_owned(),
        };
        turn.push(EntryEffect::Decide(DecisionRecord {
            at: turn.now.wall,
            subject: format!("host:{host}").into(),
            rule,
            inputs: inputs.into(),
            revision: self.notes.revision(),
        }));
    }

    /// Requests an immediate announcement from an agent.
    pub(super) fn request_announce(&self, turn: &mut EntryTurn, host: &HostId) {
        let Some(member) = self.directory.get(host) else {
            return;
        };
        let reply = self.announce_reply(member.announce.sequence, Duration::ZERO);
        turn.push(EntryEffect::SendDatagram {
            to: member.control_address,
            message: reply,
        });
    }

    fn handle_announce(&mut self, turn: &mut EntryTurn, from: SocketAddr, announce: AgentAnnounce) {
        let host = announce.host.clone();
        let sequence = announce.sequence;
        let revision = announce.revision;
        let link_address = announce.link_address;
        match self.directory.apply_announce(turn.now.mono, from, announce) {
            AnnounceVerdict::Stale => {
                turn.push(EntryEffect::CountRefusal(RefusalReason::Fenced));
                return;
            }
            AnnounceVerdict::Joined => self.record_member_decision(turn, &host, "member_announced"),
            AnnounceVerdict::Refreshed => {}
        }
        let next_after = self
            .directory
            .renew_timeouts(turn.now.mono, &host, &self.policy);
        turn.push(EntryEffect::SendDatagram {
            to: from,
            message: self.announce_reply(sequence, next_after),
        });
        self.request_notes(turn, revision, link_address);
    }

    fn announce_reply(&self, sequence: u64, next_after: Duration) -> ControlMessage {
        ControlMessage::AnnounceReply(AnnounceReply {
            entry: self.identity.host.clone(),
            sequence,
            revision: self.notes.revision(),
            link_address: self.identity.link_address,
            next_after,
        })
    }

    /// Requests notes from an agent that has newer ones while the log is unavailable.
    fn request_notes(&mut self, turn: &mut EntryTurn, revision: Revision, to: SocketAddr) {
        let now: MonoTime = turn.now.mono;
        let behind = revision > self.notes.revision();
        if !behind || self.reader.log_up() || now < self.next_notes_request {
            return;
        }
        self.next_notes_request = now.plus(NOTES_REQUEST_INTERVAL);
        let from_revision = Revision(self.notes.fleet().next().0);
        turn.push(EntryEffect::SendLink {
            to,
            message: LinkMessage::NotesRequest(from_revision),
        });
    }
}
