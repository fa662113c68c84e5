//! Batch side of an agent: keeper of its worker's tasks and, while elected, planner of its cell.

use hornbeamlead_core::clock::ClockReading;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::policy::{AgentPolicy, ProcessPlace};
use hornbeamlead_core::status::{HostStanding, ScheduleStatus};

/// Batch side of an agent.
#[derive(Debug)]
pub struct ScheduleMachine {
    place: ProcessPlace,
    policy: AgentPolicy,
    standing: HostStanding,
}

impl ScheduleMachine {
    /// Makes the batch side of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessPlace, policy: AgentPolicy) -> Self {
        Self {
            place,
            policy,
            standing: HostStanding::default(),
        }
    }

    /// Takes one event; adds what the driver is to do, with one wake-up wish at the end.
    pub fn handle(
        &mut self,
        now: ClockReading,
        fleet: &FleetState,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let _ = (now, fleet, event, effects, &self.place, &self.policy);
    }

    /// Returns the host's lease and view.
    #[must_use]
    pub fn standing(&self) -> &HostStanding {
        &self.standing
    }

    /// Returns whether this process may exit: nothing runs that nobody else looks after.
    #[must_use]
    pub fn idle(&self) -> bool {
        true
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> ScheduleStatus {
        ScheduleStatus::default()
    }
}
