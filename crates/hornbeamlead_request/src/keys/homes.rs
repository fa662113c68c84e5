//! Data centres in service within the key lifetime: whether the home of a key has moved.

use crate::keys::KeyName;
use crate::keys::route;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{DataCentreName, Revision};
use std::time::Duration;

/// Current and past sets of data centres in service.
#[derive(Debug)]
pub(crate) struct HomeHistory {
    lifetime: Duration,
    revision: Revision,
    current: Vec<DataCentreName>,
    past: Vec<PastHomes>,
}

#[derive(Clone, Debug)]
struct PastHomes {
    centres: Vec<DataCentreName>,
    expires_at: MonoTime,
}

impl HomeHistory {
    /// Creates the history of a newly started process.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            revision: Revision(0),
            current: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Applies the fleet configuration in force.
    pub(crate) fn update(&mut self, now: MonoTime, fleet: &FleetState) {
        self.past.retain(|past| past.expires_at > now);
        if fleet.revision() == self.revision {
            return;
        }
        self.revision = fleet.revision();
        let in_service = fleet.data_centres().values();
        let in_service = in_service.filter(|spec| spec.in_service);
        let centres: Vec<DataCentreName> = in_service.map(|spec| spec.name.clone()).collect();
        if centres == self.current {
            return;
        }
        let replaced = std::mem::replace(&mut self.current, centres);
        if !replaced.is_empty() {
            self.insert_past(now, replaced);
        }
    }

    /// Merges the sets of a peer.
    pub(crate) fn merge(&mut self, now: MonoTime, past: &[Vec<DataCentreName>]) {
        for centres in past {
            let known = self.past.iter().any(|past| past.centres == *centres);
            if !known && *centres != self.current {
                self.insert_past(now, centres.clone());
            }
        }
    }

    /// Returns the current and the unexpired past sets: a peer may already have a newer current one.
    pub(crate) fn known(&self) -> Vec<Vec<DataCentreName>> {
        let past = self.past.iter().map(|past| &past.centres);
        past.chain([&self.current])
            .filter(|centres| !centres.is_empty())
            .cloned()
            .collect()
    }

    /// Returns the home data centre of a key.
    pub(crate) fn home(&self, name: &KeyName) -> Option<&DataCentreName> {
        route::home_of(&name.service, &name.key, self.current.iter())
    }

    /// Returns whether the home of a key may have changed within the key lifetime.
    pub(crate) fn moved(&self, name: &KeyName) -> bool {
        let home = self.home(name);
        self.past.iter().any(|past| {
            let past_home = route::home_of(&name.service, &name.key, past.centres.iter());
            past_home != home
        })
    }

    fn insert_past(&mut self, now: MonoTime, centres: Vec<DataCentreName>) {
        self.past.push(PastHomes {
            centres,
            expires_at: now.plus(self.lifetime),
        });
    }
}
