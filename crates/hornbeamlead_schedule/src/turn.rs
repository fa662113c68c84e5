//! What each part of the batch side is handed for one event.

use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;

/// Clock, configuration and effects of one event.
#[derive(Debug)]
pub(crate) struct TurnContext<'a> {
    /// Clocks at the event.
    pub(crate) now: ClockReading,
    /// Configuration in force.
    pub(crate) fleet: &'a FleetState,
    /// Effects asked for so far.
    pub(crate) effects: &'a mut Vec<AgentEffect>,
}

impl TurnContext<'_> {
    /// Returns the monotonic clock.
    pub(crate) fn mono(&self) -> MonoTime {
        self.now.mono
    }

    /// Asks the driver for an effect.
    pub(crate) fn emit(&mut self, effect: AgentEffect) {
        self.effects.push(effect);
    }

    /// Counts a refusal.
    pub(crate) fn refuse(&mut self, reason: RefusalReason) {
        self.emit(AgentEffect::CountRefusal(reason));
    }

    /// Counts a retry.
    pub(crate) fn retry(&mut self, reason: RetryReason) {
        self.emit(AgentEffect::CountRetry(reason));
    }

    /// Notes a decision with its rule and inputs.
    pub(crate) fn decide(&mut self, rule: &'static str, subject: String, inputs: String) {
        let note = DecisionRecord {
            at: self.now.wall,
            subject: subject.into(),
            rule,
            inputs: inputs.into(),
            revision: self.fleet.revision(),
        };
        self.emit(AgentEffect::Decide(note));
    }
}
