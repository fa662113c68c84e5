//! JSON announcement of an endpoint to the agent of its host.

use crate::worker_wire::SizeWire;
use hornbeamlead_core::event::EndpointAnnounce;
use hornbeamlead_core::ids::{Incarnation, NameError, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Body of `POST /announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceWire {
    /// Incarnation of the endpoint: one run of its process.
    pub incarnation: u64,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Address that takes calls about tasks.
    pub worker_address: SocketAddr,
    /// Names of the services that the endpoint runs.
    pub services: Vec<Box<str>>,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of open connections.
    pub connections: u16,
    /// Total resources of the host.
    pub capacity: SizeWire,
    /// Whether the endpoint is shutting down.
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
