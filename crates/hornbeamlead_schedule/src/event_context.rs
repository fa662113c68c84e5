//! Context in which the batch side handles one event.

use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::explain::DecisionRecord;
use hornbeamlead_core::fleet::FleetState;

/// Clock readings, configuration and collected effects of one event.
#[derive(Debug)]
pub(crate) struct EventContext<'a> {
    /// Clock readings at the event.
    pub(crate) now: ClockReading,
    /// Configuration in force.
    pub(crate) fleet: &'a FleetState,
    /// Effects requested so far.
    pub(crate) effects: &'a mut Vec<AgentEffect>,
}

impl EventContext<'_> {
    /// Returns the monotonic clock reading.
    pub(crate) fn mono(&self) -> MonoTime {
        self.now.mono
    }

    /// Requests an effect from the driver.
    pub(crate) fn emit(&mut self, effect: AgentEffect) {
        self.effects.push(effect);
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&mut self, reason: RefusalReason) {
        self.emit(AgentEffect::CountRefusal(reason));
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&mut self, reason: RetryReason) {
        self.emit(AgentEffect::CountRetry(reason));
    }

    /// Logs a decision with its rule and inputs.
    pub(crate) fn log_decision(&mut self, rule: &'static str, subject: String, inputs: String) {
        let record = DecisionRecord {
            at: self.now.wall,
            subject: subject.into(),
            rule,
            inputs: inputs.into(),
            revision: self.fleet.revision(),
        };
        self.emit(AgentEffect::Decide(record));
    }
}
