//! Workers of one service in an entry's fixed preference order.

use crate::rendezvous;
use hornbeamlead_core::ids::{DataCentreName, HostId};
use std::collections::BTreeSet;

/// Weight and host of a worker; lower weights are preferred.
type RankedHost = (u64, HostId);

/// Workers of one service, ranked by rendezvous hash so that an entry keeps a stable subset.
#[derive(Debug, Default)]
pub(crate) struct ServiceRing {
    local: BTreeSet<RankedHost>,
    remote: BTreeSet<RankedHost>,
}

/// Entry that the workers are ranked for.
#[derive(Clone, Debug)]
pub(crate) struct RingOwner {
    pub(crate) host: HostId,
    /// Data centre of the entry.
    pub(crate) data_centre: DataCentreName,
}

impl ServiceRing {
    pub(crate) fn insert(&mut self, owner: &RingOwner, host: &HostId, centre: &DataCentreName) {
        let ranked = rank(owner, host);
        match *centre == owner.data_centre {
            true => self.local.insert(ranked),
            false => self.remote.insert(ranked),
        };
    }

    pub(crate) fn remove(&mut self, owner: &RingOwner, host: &HostId) {
        let ranked = rank(owner, host);
        self.local.remove(&ranked);
        self.remote.remove(&ranked);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Returns the workers of the entry's own data centre in preference order.
    pub(crate) fn local(&self) -> impl Iterator<Item = &HostId> {
        self.local.iter().map(|(_, host)| host)
    }

    /// Returns the workers of other data centres in preference order.
    pub(crate) fn remote(&self) -> impl Iterator<Item = &HostId> {
        self.remote.iter().map(|(_, host)| host)
    }
}

fn rank(owner: &RingOwner, host: &HostId) -> RankedHost {
    (
        rendezvous::weight(&[owner.host.as_str()], host.as_str()),
        host.clone(),
    )
}
