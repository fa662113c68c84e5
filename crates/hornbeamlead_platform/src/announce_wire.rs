//! JSON announcement of an endpoint to the agent of its host.

use crate::worker_wire::SizeWire;
use hornbeamlead_core::event::EndpointAnnounce;
use hornbeamlead_core::ids::{Incarnation, NameError, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Body of `POST /announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceWire {
    /// Life of the endpoint.
    pub incarnation: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for tasks.
    pub worker_address: SocketAddr,
    /// Services it runs.
    pub services: Vec<Box<str>>,
    /// Slots for requests.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
    /// All that the host has.
    pub capacity: SizeWire,
    /// True once the endpoint is leaving.
    pub leaving: bool,
}

impl TryFrom<AnnounceWire> for EndpointAnnounce {
    type Error = NameError;

    fn try_from(wire: AnnounceWire) -> Result<Self, Self::Error> {
        let services: Result<Vec<_>, _> = wire
            .services
            .iter()
            .map(|name| ServiceName::new(name))
            .collect();
        Ok(Self {
            incarnation: Incarnation(wire.incarnation),
            address: wire.address,
            worker_address: wire.worker_address,
            services: services?,
            slots: wire.slots,
            connections: wire.connections,
            capacity: wire.capacity.into(),
            leaving: wire.leaving,
        })
    }
}
