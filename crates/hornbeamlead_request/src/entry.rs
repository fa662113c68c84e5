//! State machine of an entry: takes callers' requests and chooses an agent for each.

use hornbeamlead_core::clock::ClockReading;
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::EntryEvent;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::notes_keeper::NotesKeeper;
use hornbeamlead_core::policy::{EntryPolicy, ProcessPlace};
use hornbeamlead_core::status::EntryStatus;

/// State machine of an entry.
#[derive(Debug)]
pub struct EntryMachine {
    place: ProcessPlace,
    policy: EntryPolicy,
    keeper: NotesKeeper,
}

impl EntryMachine {
    /// Makes the machine of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessPlace, policy: EntryPolicy) -> Self {
        Self {
            place,
            policy,
            keeper: NotesKeeper::default(),
        }
    }

    /// Takes one event and returns what the driver is to do, in order.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent) -> Vec<EntryEffect> {
        let _ = (now, event, &self.place, &self.policy);
        Vec::new()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn fleet(&self) -> &FleetState {
        self.keeper.fleet()
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self, _now: ClockReading) -> EntryStatus {
        EntryStatus {
            revision: self.keeper.revision(),
            log_up: false,
            members: Vec::new(),
            in_progress: 0,
            stopping: false,
        }
    }
}
