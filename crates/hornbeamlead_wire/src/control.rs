//! Form of the datagrams.

use crate::announce::{AnnounceForm, AnnounceReplyForm};
use crate::error::WireError;
use crate::heartbeat::{HeartbeatForm, HeartbeatReplyForm};
use crate::promise::{AskForm, GrantForm};
use hornbeamlead_core::message::control::ControlMessage;
use serde::{Deserialize, Serialize};

/// Form of [`ControlMessage`].
#[derive(Serialize, Deserialize)]
pub(crate) enum ControlForm {
    Announce(AnnounceForm),
    AnnounceReply(AnnounceReplyForm),
    Heartbeat(HeartbeatForm),
    HeartbeatReply(HeartbeatReplyForm),
    PromiseRequest(AskForm),
    PromiseGrant(GrantForm),
}

impl From<&ControlMessage> for ControlForm {
    fn from(message: &ControlMessage) -> Self {
        match message {
            ControlMessage::Announce(announce) => Self::Announce(announce.into()),
            ControlMessage::AnnounceReply(reply) => Self::AnnounceReply(reply.into()),
            ControlMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            ControlMessage::HeartbeatReply(reply) => Self::HeartbeatReply(reply.into()),
            ControlMessage::PromiseRequest(ask) => Self::PromiseRequest(ask.into()),
            ControlMessage::PromiseGrant(grant) => Self::PromiseGrant(grant.into()),
        }
    }
}

impl TryFrom<ControlForm> for ControlMessage {
    type Error = WireError;

    fn try_from(form: ControlForm) -> Result<Self, WireError> {
        Ok(match form {
            ControlForm::Announce(form) => Self::Announce(form.try_into()?),
            ControlForm::AnnounceReply(form) => Self::AnnounceReply(form.try_into()?),
            ControlForm::Heartbeat(form) => Self::Heartbeat(form.try_into()?),
            ControlForm::HeartbeatReply(form) => Self::HeartbeatReply(form.try_into()?),
            ControlForm::PromiseRequest(form) => Self::PromiseRequest(form.try_into()?),
            ControlForm::PromiseGrant(form) => Self::PromiseGrant(form.try_into()?),
        })
    }
}
