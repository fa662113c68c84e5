//! Forms of announcements and of the view of a cell.

use crate::convert::{forms, micros, name, names, optional, text, values};
use crate::error::WireError;
use crate::request::LoadForm;
use hornbeamlead_core::ids::{CellId, Incarnation, Revision};
use hornbeamlead_core::message::control::{AgentAnnounce, AnnounceReply, CellView, ViewMember};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Form of [`ViewMember`].
#[derive(Serialize, Deserialize)]
struct MemberForm {
    host: Box<str>,
    incarnation: u64,
    link_address: SocketAddr,
}

impl From<&ViewMember> for MemberForm {
    fn from(member: &ViewMember) -> Self {
        Self {
            host: text(&member.host),
            incarnation: member.incarnation.0,
            link_address: member.link_address,
        }
    }
}

impl TryFrom<MemberForm> for ViewMember {
    type Error = WireError;

    fn try_from(form: MemberForm) -> Result<Self, WireError> {
        Ok(Self {
            host: name(&form.host)?,
            incarnation: Incarnation(form.incarnation),
            link_address: form.link_address,
        })
    }
}

/// Form of [`CellView`].
#[derive(Serialize, Deserialize)]
pub(crate) struct ViewForm {
    number: u64,
    members: Vec<MemberForm>,
}

impl From<&CellView> for ViewForm {
    fn from(view: &CellView) -> Self {
        Self {
            number: view.number,
            members: forms(&view.members),
        }
    }
}

impl TryFrom<ViewForm> for CellView {
    type Error = WireError;

    fn try_from(form: ViewForm) -> Result<Self, WireError> {
        Ok(Self {
            number: form.number,
            members: values(form.members)?,
        })
    }
}

/// Form of [`AgentAnnounce`].
#[derive(Serialize, Deserialize)]
pub(crate) struct AnnounceForm {
    host: Box<str>,
    incarnation: u64,
    sequence: u64,
    data_centre: Box<str>,
    rack: Box<str>,
    cell: u32,
    link_address: SocketAddr,
    operator_address: SocketAddr,
    services: Vec<Box<str>>,
    load: LoadForm,
    revision: u64,
    view: Option<ViewForm>,
}

impl From<&AgentAnnounce> for AnnounceForm {
    fn from(announce: &AgentAnnounce) -> Self {
        Self {
            host: text(&announce.host),
            incarnation: announce.incarnation.0,
            sequence: announce.sequence,
            data_centre: text(&announce.data_centre),
            rack: text(&announce.rack),
            cell: announce.cell.0,
            link_address: announce.link_address,
            operator_address: announce.operator_address,
            services: announce.services.iter().map(text).collect(),
            load: (&announce.load).into(),
            revision: announce.revision.0,
            view: announce.view.as_ref().map(ViewForm::from),
        }
    }
}

impl TryFrom<AnnounceForm> for AgentAnnounce {
    type Error = WireError;

    fn try_from(form: AnnounceForm) -> Result<Self, WireError> {
        Ok(Self {
            host: name(&form.host)?,
            incarnation: Incarnation(form.incarnation),
            sequence: form.sequence,
            data_centre: name(&form.data_centre)?,
            rack: name(&form.rack)?,
            cell: CellId(form.cell),
            link_address: form.link_address,
            operator_address: form.operator_address,
            services: names(&form.services)?,
            load: form.load.into(),
            revision: Revision(form.revision),
            view: optional(form.view)?,
        })
    }
}

/// Form of [`AnnounceReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct AnnounceReplyForm {
    entry: Box<str>,
    sequence: u64,
    revision: u64,
    link_address: SocketAddr,
    next_after_us: u64,
}

impl From<&AnnounceReply> for AnnounceReplyForm {
    fn from(reply: &AnnounceReply) -> Self {
        Self {
            entry: text(&reply.entry),
            sequence: reply.sequence,
            revision: reply.revision.0,
            link_address: reply.link_address,
            next_after_us: micros(reply.next_after),
        }
    }
}

impl TryFrom<AnnounceReplyForm> for AnnounceReply {
    type Error = WireError;

    fn try_from(form: AnnounceReplyForm) -> Result<Self, WireError> {
        Ok(Self {
            entry: name(&form.entry)?,
            sequence: form.sequence,
            revision: Revision(form.revision),
            link_address: form.link_address,
            next_after: Duration::from_micros(form.next_after_us),
        })
    }
}
