//! Wire type of control datagrams.

use crate::announce::{WireAgentAnnounce, WireAnnounceReply};
use crate::error::WireError;
use crate::heartbeat::{WireHeartbeatReply, WireHostHeartbeat};
use crate::promise::{WirePromiseGrant, WirePromiseRequest};
use hornbeamlead_core::message::control::ControlMessage;
use serde::{Deserialize, Serialize};

/// Wire type of [`ControlMessage`].
#[derive(Serialize, Deserialize)]
pub(crate) enum WireControlMessage {
    Announce(WireAgentAnnounce),
    AnnounceReply(WireAnnounceReply),
    Heartbeat(WireHostHeartbeat),
    HeartbeatReply(WireHeartbeatReply),
    PromiseRequest(WirePromiseRequest),
    PromiseGrant(WirePromiseGrant),
}

impl From<&ControlMessage> for WireControlMessage {
    fn from(message: &ControlMessage) -> Self {
        match message {
            ControlMessage::Announce(announce) => Self::Announce(announce.into()),
            ControlMessage::AnnounceReply(reply) => Self::AnnounceReply(reply.into()),
            ControlMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            ControlMessage::HeartbeatReply(reply) => Self::HeartbeatReply(reply.into()),
            ControlMessage::PromiseRequest(request) => Self::PromiseRequest(request.into()),
            ControlMessage::PromiseGrant(grant) => Self::PromiseGrant(grant.into()),
        }
    }
}

impl TryFrom<WireControlMessage> for ControlMessage {
    type Error = WireError;

    fn try_from(wire: WireControlMessage) -> Result<Self, WireError> {
        Ok(match wire {
            WireControlMessage::Announce(wire) => Self::Announce(wire.try_into()?),
            WireControlMessage::AnnounceReply(wire) => Self::AnnounceReply(wire.try_into()?),
            WireControlMessage::Heartbeat(wire) => Self::Heartbeat(wire.try_into()?),
            WireControlMessage::HeartbeatReply(wire) => Self::HeartbeatReply(wire.try_into()?),
            WireControlMessage::PromiseRequest(wire) => Self::PromiseRequest(wire.try_into()?),
            WireControlMessage::PromiseGrant(wire) => Self::PromiseGrant(wire.try_into()?),
        })
    }
}
