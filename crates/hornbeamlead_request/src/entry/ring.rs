//! Workers of one service in the fixed order in which an entry prefers them.

use crate::rendezvous;
use hornbeamlead_core::ids::{DataCentreName, HostId};
use std::collections::BTreeSet;

/// Place of a worker in the order; smaller goes first.
type RankedHost = (u64, HostId);

/// Workers of one service, ranked by rendezvous hash so that each entry keeps to the same ones.
#[derive(Debug, Default)]
pub(crate) struct ServiceRing {
    local: BTreeSet<RankedHost>,
    away: BTreeSet<RankedHost>,
}

/// Entry whose preference is ranked.
#[derive(Clone, Debug)]
pub(crate) struct RingOwner {
    /// Host of the entry.
    pub(crate) host: HostId,
    /// Its data centre.
    pub(crate) data_centre: DataCentreName,
}

impl ServiceRing {
    /// Adds a worker.
    pub(crate) fn insert(&mut self, owner: &RingOwner, host: &HostId, centre: &DataCentreName) {
        let ranked = rank(owner, host);
        match *centre == owner.data_centre {
            true => self.local.insert(ranked),
            false => self.away.insert(ranked),
        };
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, owner: &RingOwner, host: &HostId) {
        let ranked = rank(owner, host);
        self.local.remove(&ranked);
        self.away.remove(&ranked);
    }

    /// Returns whether no worker is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.local.is_empty() && self.away.is_empty()
    }

    /// Returns the workers of the entry's own data centre, most preferred first.
    pub(crate) fn local(&self) -> impl Iterator<Item = &HostId> {
        self.local.iter().map(|(_, host)| host)
    }

    /// Returns the workers of other data centres, most preferred first.
    pub(crate) fn away(&self) -> impl Iterator<Item = &HostId> {
        self.away.iter().map(|(_, host)| host)
    }
}

fn rank(owner: &RingOwner, host: &HostId) -> RankedHost {
    (
        rendezvous::weigh(&[owner.host.as_str()], host.as_str()),
        host.clone(),
    )
}
