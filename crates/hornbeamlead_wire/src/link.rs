//! Wire type of the messages on links.

use crate::error::WireError;
use crate::request::{
    WireForwardedRequest, WireKeyAnswer, WireKeyQuery, WireRequestId, WireRequestReply,
};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::message::request::{LinkMessage, NoteCopy};
use serde::{Deserialize, Serialize};

/// Wire type of [`NoteCopy`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireNoteCopy {
    offset: u64,
    payload: Bytes,
}

impl From<&NoteCopy> for WireNoteCopy {
    fn from(copy: &NoteCopy) -> Self {
        Self {
            offset: copy.offset.0,
            payload: copy.payload.clone(),
        }
    }
}

impl From<WireNoteCopy> for NoteCopy {
    fn from(wire: WireNoteCopy) -> Self {
        Self {
            offset: LogOffset(wire.offset),
            payload: wire.payload,
        }
    }
}

/// Wire type of [`LinkMessage`].
#[derive(Serialize, Deserialize)]
pub(crate) enum WireLinkMessage {
    Request(WireForwardedRequest),
    Reply(WireRequestReply),
    Cancel(WireRequestId),
    KeyQuery(WireKeyQuery),
    KeyAnswer(WireKeyAnswer),
    NotesRequest(u64),
    Notes(Vec<WireNoteCopy>),
}

impl WireLinkMessage {
    /// Converts a message; deadlines become the time remaining at `now`.
    pub(crate) fn new(message: &LinkMessage, now: MonoTime) -> Self {
        match message {
            LinkMessage::Request(request) => Self::Request(WireForwardedRequest::new(request, now)),
            LinkMessage::Reply(reply) => Self::Reply(reply.into()),
            LinkMessage::Cancel(id) => Self::Cancel(id.into()),
            LinkMessage::KeyQuery(query) => Self::KeyQuery(query.into()),
            LinkMessage::KeyAnswer(answer) => Self::KeyAnswer(answer.into()),
            LinkMessage::NotesRequest(from) => Self::NotesRequest(from.0),
            LinkMessage::Notes(copies) => {
                Self::Notes(copies.iter().map(WireNoteCopy::from).collect())
            }
        }
    }

    /// Converts back to a message; remaining times become deadlines counted from `now`.
    pub(crate) fn resolve(self, now: MonoTime) -> Result<LinkMessage, WireError> {
        Ok(match self {
            Self::Request(wire) => LinkMessage::Request(wire.resolve(now)?),
            Self::Reply(wire) => LinkMessage::Reply(wire.try_into()?),
            Self::Cancel(wire) => LinkMessage::Cancel(wire.try_into()?),
            Self::KeyQuery(wire) => LinkMessage::KeyQuery(wire.try_into()?),
            Self::KeyAnswer(wire) => LinkMessage::KeyAnswer(wire.try_into()?),
            Self::NotesRequest(from) => LinkMessage::NotesRequest(Revision(from)),
            Self::Notes(copies) => {
                LinkMessage::Notes(copies.into_iter().map(NoteCopy::from).collect())
            }
        })
    }
}
