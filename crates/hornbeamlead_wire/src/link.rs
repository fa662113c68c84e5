//! Form of the messages on links.

use crate::error::WireError;
use crate::request::{ForwardForm, IdForm, KeyAnswerForm, QueryForm, ReplyForm};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{LogOffset, Revision};
use hornbeamlead_core::message::request::{LinkMessage, NoteCopy};
use serde::{Deserialize, Serialize};

/// Form of [`NoteCopy`].
#[derive(Serialize, Deserialize)]
pub(crate) struct CopyForm {
    offset: u64,
    payload: Bytes,
}

impl From<&NoteCopy> for CopyForm {
    fn from(copy: &NoteCopy) -> Self {
        Self {
            offset: copy.offset.0,
            payload: copy.payload.clone(),
        }
    }
}

impl From<CopyForm> for NoteCopy {
    fn from(form: CopyForm) -> Self {
        Self {
            offset: LogOffset(form.offset),
            payload: form.payload,
        }
    }
}

/// Form of [`LinkMessage`].
#[derive(Serialize, Deserialize)]
pub(crate) enum LinkForm {
    Request(ForwardForm),
    Reply(ReplyForm),
    Cancel(IdForm),
    KeyQuery(QueryForm),
    KeyAnswer(KeyAnswerForm),
    NotesRequest(u64),
    Notes(Vec<CopyForm>),
}

impl LinkForm {
    /// Converts a message, with deadlines as the time left at `now`.
    pub(crate) fn new(message: &LinkMessage, now: MonoTime) -> Self {
        match message {
            LinkMessage::Request(request) => Self::Request(ForwardForm::new(request, now)),
            LinkMessage::Reply(reply) => Self::Reply(reply.into()),
            LinkMessage::Cancel(id) => Self::Cancel(id.into()),
            LinkMessage::KeyQuery(query) => Self::KeyQuery(query.into()),
            LinkMessage::KeyAnswer(answer) => Self::KeyAnswer(answer.into()),
            LinkMessage::NotesRequest(from) => Self::NotesRequest(from.0),
            LinkMessage::Notes(copies) => Self::Notes(copies.iter().map(CopyForm::from).collect()),
        }
    }

    /// Converts back, with deadlines counted from `now`.
    pub(crate) fn resolve(self, now: MonoTime) -> Result<LinkMessage, WireError> {
        Ok(match self {
            Self::Request(form) => LinkMessage::Request(form.resolve(now)?),
            Self::Reply(form) => LinkMessage::Reply(form.try_into()?),
            Self::Cancel(form) => LinkMessage::Cancel(form.try_into()?),
            Self::KeyQuery(form) => LinkMessage::KeyQuery(form.try_into()?),
            Self::KeyAnswer(form) => LinkMessage::KeyAnswer(form.try_into()?),
            Self::NotesRequest(from) => LinkMessage::NotesRequest(Revision(from)),
            Self::Notes(copies) => {
                LinkMessage::Notes(copies.into_iter().map(NoteCopy::from).collect())
            }
        })
    }
}
