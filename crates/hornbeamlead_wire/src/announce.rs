//! Wire types of agent announcements and of a cell's view.

use crate::convert::{from_wire, from_wire_option, micros, parse_name, parse_names, text, to_wire};
use crate::error::WireError;
use crate::request::WireLoadSample;
use hornbeamlead_core::ids::{CellId, Incarnation, Revision};
use hornbeamlead_core::message::control::{AgentAnnounce, AnnounceReply, CellView, ViewMember};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Wire type of [`ViewMember`].
#[derive(Serialize, Deserialize)]
struct WireViewMember {
    host: Box<str>,
    incarnation: u64,
    link_address: SocketAddr,
}

impl From<&ViewMember> for WireViewMember {
    fn from(member: &ViewMember) -> Self {
        Self {
            host: text(&member.host),
            incarnation: member.incarnation.0,
            link_address: member.link_address,
        }
    }
}

impl TryFrom<WireViewMember> for ViewMember {
    type Error = WireError;

    fn try_from(wire: WireViewMember) -> Result<Self, WireError> {
        Ok(Self {
            host: parse_name(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            link_address: wire.link_address,
        })
    }
}

/// Wire type of [`CellView`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireCellView {
    number: u64,
    members: Vec<WireViewMember>,
}

impl From<&CellView> for WireCellView {
    fn from(view: &CellView) -> Self {
        Self {
            number: view.number,
            members: to_wire(&view.members),
        }
    }
}

impl TryFrom<WireCellView> for CellView {
    type Error = WireError;

    fn try_from(wire: WireCellView) -> Result<Self, WireError> {
        Ok(Self {
            number: wire.number,
            members: from_wire(wire.members)?,
        })
    }
}

/// Wire type of [`AgentAnnounce`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireAgentAnnounce {
    host: Box<str>,
    incarnation: u64,
    sequence: u64,
    data_centre: Box<str>,
    rack: Box<str>,
    cell: u32,
    link_address: SocketAddr,
    operator_address: SocketAddr,
    services: Vec<Box<str>>,
    load: WireLoadSample,
    revision: u64,
    view: Option<WireCellView>,
}

impl From<&AgentAnnounce> for WireAgentAnnounce {
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
            view: announce.view.as_ref().map(WireCellView::from),
        }
    }
}

impl TryFrom<WireAgentAnnounce> for AgentAnnounce {
    type Error = WireError;

    fn try_from(wire: WireAgentAnnounce) -> Result<Self, WireError> {
        Ok(Self {
            host: parse_name(&wire.host)?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            data_centre: parse_name(&wire.data_centre)?,
            rack: parse_name(&wire.rack)?,
            cell: CellId(wire.cell),
            link_address: wire.link_address,
            operator_address: wire.operator_address,
            services: parse_names(&wire.services)?,
            load: wire.load.into(),
            revision: Revision(wire.revision),
            view: from_wire_option(wire.view)?,
        })
    }
}

/// Wire type of [`AnnounceReply`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireAnnounceReply {
    entry: Box<str>,
    sequence: u64,
    revision: u64,
    link_address: SocketAddr,
    next_after_us: u64,
}

impl From<&AnnounceReply> for WireAnnounceReply {
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

impl TryFrom<WireAnnounceReply> for AnnounceReply {
    type Error = WireError;

    fn try_from(wire: WireAnnounceReply) -> Result<Self, WireError> {
        Ok(Self {
            entry: parse_name(&wire.entry)?,
            sequence: wire.sequence,
            revision: Revision(wire.revision),
            link_address: wire.link_address,
            next_after: Duration::from_micros(wire.next_after_us),
        })
    }
}
