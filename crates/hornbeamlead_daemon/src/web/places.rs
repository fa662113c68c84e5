//! Places of a listener's connections, in the order in which they began to wait for their clients.

use super::connection::ConnectionState;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of a place in the order in which connections began to wait for their clients.
pub(super) type WaitNumber = u64;

/// Connection with its place.
pub(super) struct OpenConnection {
    pub(super) state: Arc<ConnectionState>,
    pub(super) place: ConnectionPlace,
    /// Whether a request has been answered.
    pub(super) answered: bool,
}

/// What a connection does, as far as it decides on its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPlace {
    /// Waits for its client: for a request, for the rest of one, or for an answer to be read.
    Waiting {
        number: WaitNumber,
        reads_body: bool,
    },
    /// Its request is being handled.
    Handled,
    /// Was evicted and is about to end.
    Evicted,
}

/// Open connections by the address of the client.
#[derive(Default)]
pub(super) struct ConnectionPlaces {
    pub(super) open: HashMap<SocketAddr, OpenConnection>,
    pub(super) waiting: BTreeMap<WaitNumber, SocketAddr>,
    /// Those of the waiting connections that receive a body.
    pub(super) bodies: BTreeMap<WaitNumber, SocketAddr>,
    evicted: usize,
    pub(super) handled: usize,
    last_number: WaitNumber,
}

impl ConnectionPlaces {
    pub(super) fn taken(&self) -> usize {
        self.open.len() - self.evicted
    }

    pub(super) fn next_number(&mut self) -> WaitNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Moves a connection to another place.
    pub(super) fn set_place(&mut self, peer: SocketAddr, place: ConnectionPlace) {
        let Some(connection) = self.open.get_mut(&peer) else {
            return;
        };
        let earlier = std::mem::replace(&mut connection.place, place);
        self.leave(earlier);
        match place {
            ConnectionPlace::Waiting { number, reads_body } => {
                self.waiting.insert(number, peer);
                if reads_body {
                    self.bodies.insert(number, peer);
                }
            }
            ConnectionPlace::Handled => self.handled += 1,
            ConnectionPlace::Evicted => self.evicted += 1,
        }
    }

    pub(super) fn leave(&mut self, place: ConnectionPlace) {
        match place {
            ConnectionPlace::Waiting { number, .. } => {
                self.waiting.remove(&number);
                self.bodies.remove(&number);
            }
            ConnectionPlace::Handled => self.handled -= 1,
            ConnectionPlace::Evicted => self.evicted -= 1,
        }
    }

    pub(super) fn evict(&mut self, peer: SocketAddr) {
        if let Some(connection) = self.open.get(&peer) {
            connection.state.evict();
            self.set_place(peer, ConnectionPlace::Evicted);
        }
    }

    pub(super) fn wait_number(&self, peer: SocketAddr) -> Option<WaitNumber> {
        match self.open.get(&peer)?.place {
            ConnectionPlace::Waiting { number, .. } => Some(number),
            _ => None,
        }
    }
}
