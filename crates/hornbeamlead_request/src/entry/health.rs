//! Notices workers that fail all they are given, and lets them back by probes.

use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Failures in a row after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Doublings of the ejection at most.
const MAX_DOUBLINGS: u32 = 5;

/// Record of a worker's failures as one entry sees them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRecord {
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonoTime>,
    probing: bool,
}

impl HealthRecord {
    /// Returns whether the worker has failed often enough in a row to be ejected.
    pub(crate) fn failing(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }

    /// Returns whether the worker is ejected, probes aside.
    pub(crate) fn ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether an ejected worker may be given one request as a probe.
    pub(crate) fn wants_probe(&self, now: MonoTime) -> bool {
        let over = self.ejected_until.is_some_and(|until| now >= until);
        over && !self.probing
    }

    /// Takes note that a request was sent to the worker.
    pub(crate) fn note_sent(&mut self) {
        self.probing = self.ejected();
    }

    /// Takes note that a request ended without telling anything about the worker.
    pub(crate) fn note_neutral(&mut self) {
        self.probing = false;
    }

    /// Takes note of a good answer; returns whether that ended an ejection.
    pub(crate) fn note_success(&mut self) -> bool {
        let returned = self.ejected();
        *self = Self::default();
        returned
    }

    /// Takes note of a failure; a failed probe lengthens the ejection.
    pub(crate) fn note_failure(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.ejected() {
            self.eject(now);
        }
    }

    /// Ejects the worker, each time in a row for longer.
    pub(crate) fn eject(&mut self, now: MonoTime) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.plus(FIRST_EJECTION * 2_u32.pow(doublings)));
        self.ejections = self.ejections.saturating_add(1);
    }
}
