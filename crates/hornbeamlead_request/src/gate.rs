//! Request side of an agent: sole admission authority for the requests of its worker.

use hornbeamlead_core::clock::ClockReading;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::policy::{AgentPolicy, ProcessPlace};
use hornbeamlead_core::status::{GateStatus, HostStanding};

/// What the gate may look at while it handles an event.
#[derive(Clone, Copy, Debug)]
pub struct GateContext<'a> {
    /// Configuration in force.
    pub fleet: &'a FleetState,
    /// Lease and view of the host.
    pub standing: &'a HostStanding,
}

/// Request side of an agent.
#[derive(Debug)]
pub struct RequestGate {
    place: ProcessPlace,
    policy: AgentPolicy,
}

impl RequestGate {
    /// Makes the gate of a process that has just started.
    #[must_use]
    pub fn new(place: ProcessPlace, policy: AgentPolicy) -> Self {
        Self { place, policy }
    }

    /// Takes one event; adds what the driver is to do, with one wake-up wish at the end.
    pub fn handle(
        &mut self,
        now: ClockReading,
        context: GateContext<'_>,
        event: &AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let _ = (now, context, event, effects, &self.place, &self.policy);
    }

    /// Returns whether no request is queued or in progress.
    #[must_use]
    pub fn idle(&self) -> bool {
        true
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> GateStatus {
        GateStatus::default()
    }
}
