//! Outlier ejection: workers with consecutive failures are ejected and return through probes.

use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Consecutive failures after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

/// Failures of a worker as one entry observes them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRecord {
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonoTime>,
    probing: bool,
}

impl HealthRecord {
    /// Returns whether the worker has reached the number of consecutive failures for an ejection.
    pub(crate) fn failing(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }

    /// Returns whether the worker is ejected; it may still receive probes.
    pub(crate) fn ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the ejection time is over and no probe is in progress.
    pub(crate) fn probe_due(&self, now: MonoTime) -> bool {
        let over = self.ejected_until.is_some_and(|until| now >= until);
        over && !self.probing
    }

    /// Records that a request was sent to the worker; for an ejected worker it is a probe.
    pub(crate) fn record_sent(&mut self) {
        self.probing = self.ejected();
    }

    /// Records the end of a request that says nothing about the worker's health.
    pub(crate) fn record_neutral(&mut self) {
        self.probing = false;
    }

    /// Records a success; returns whether it ended an ejection.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_ejected = self.ejected();
        *self = Self::default();
        was_ejected
    }

    /// Records a failure; a failed probe extends the ejection.
    pub(crate) fn record_failure(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.ejected() {
            self.eject(now);
        }
    }

    /// Ejects the worker, for twice as long with each consecutive ejection.
    pub(crate) fn eject(&mut self, now: MonoTime) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.plus(FIRST_EJECTION * 2_u32.pow(doublings)));
        self.ejections = self.ejections.saturating_add(1);
    }
}
