//! Sets of data centres in service within a key's lifetime: whether a key's home has moved.

use crate::keys::KeyName;
use crate::keys::route;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{DataCentreName, Revision};
use std::time::Duration;

/// Data centres in service, now and before.
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
    matters_until: MonoTime,
}

impl HomeHistory {
    /// Makes the history of a process that has just started.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            revision: Revision(0),
            current: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Takes the configuration in force.
    pub(crate) fn follow(&mut self, now: MonoTime, fleet: &FleetState) {
        self.past.retain(|past| past.matters_until > now);
        if fleet.revision() == self.revision {
            return;
        }
        self.revision = fleet.revision();
        let open = fleet.data_centres().values();
        let open = open.filter(|spec| spec.in_service);
        let centres: Vec<DataCentreName> = open.map(|spec| spec.name.clone()).collect();
        if centres == self.current {
            return;
        }
        let replaced = std::mem::replace(&mut self.current, centres);
        if !replaced.is_empty() {
            self.keep(now, replaced);
        }
    }

    /// Takes a peer's past sets.
    pub(crate) fn learn(&mut self, now: MonoTime, past: &[Vec<DataCentreName>]) {
        for centres in past {
            let known = self.past.iter().any(|past| past.centres == *centres);
            if !known && *centres != self.current {
                self.keep(now, centres.clone());
            }
        }
    }

    /// Returns the sets that still matter: a peer may know a newer one than the one followed here.
    pub(crate) fn known(&self) -> Vec<Vec<DataCentreName>> {
        let past = self.past.iter().map(|past| &past.centres);
        past.chain([&self.current])
            .filter(|centres| !centres.is_empty())
            .cloned()
            .collect()
    }

    /// Returns the home of a key.
    pub(crate) fn home(&self, name: &KeyName) -> Option<&DataCentreName> {
        route::home_of(&name.service, &name.key, self.current.iter())
    }

    /// Returns whether a key may have had another home within its lifetime.
    pub(crate) fn moved(&self, name: &KeyName) -> bool {
        let home = self.home(name);
        self.past.iter().any(|past| {
            let before = route::home_of(&name.service, &name.key, past.centres.iter());
            before != home
        })
    }

    fn keep(&mut self, now: MonoTime, centres: Vec<DataCentreName>) {
        self.past.push(PastHomes {
            centres,
            matters_until: now.plus(self.lifetime),
        });
    }
}
