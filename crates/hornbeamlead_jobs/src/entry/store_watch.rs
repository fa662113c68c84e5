//! Whether the store answers this entry, as its calls show.

use crate::effect::Effect;
use crate::store::StoreOutcome;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time for which the store counts as unavailable after a refused or unanswered call.
const UNAVAILABLE_DURATION: Duration = Duration::from_millis(400);

/// Time after the last failed call for which the outcome of an append may be unknown to another
/// entry, whose caller then comes here with the same job.
const TROUBLE_DURATION: Duration = Duration::from_secs(3);

/// Failures of calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreWatch {
    /// Time of the first failed call since the last success.
    failing_since: Option<MonoTime>,
    last_failure: Option<MonoTime>,
}

impl StoreWatch {
    /// Takes the outcome of a call; returns a log line if the store was lost or regained with it.
    pub(super) fn take(&mut self, now: MonoTime, outcome: &StoreOutcome) -> Option<Effect> {
        let failure_cause = match outcome {
            StoreOutcome::Refused { cause } | StoreOutcome::Unanswered { cause } => Some(cause),
            _ => None,
        };
        match failure_cause {
            Some(cause) => {
                self.last_failure = Some(now);
                let is_first = self.failing_since.is_none();
                self.failing_since.get_or_insert(now);
                let detail = format!("cause={cause:?}");
                is_first.then(|| Effect::log("store_lost", "store", detail))
            }
            None => {
                let since = self.failing_since.take()?;
                let detail = format!("away_ms={}", now.since(since).as_millis());
                Some(Effect::log("store_regained", "store", detail))
            }
        }
    }

    /// Returns whether the last call failed, less than [`UNAVAILABLE_DURATION`] ago.
    pub(super) fn is_unavailable(&self, now: MonoTime) -> bool {
        let last = self.last_failure.filter(|_| self.failing_since.is_some());
        last.is_some_and(|at| now.since(at) < UNAVAILABLE_DURATION)
    }

    /// Returns how long all calls have failed.
    pub(super) fn outage(&self, now: MonoTime) -> Duration {
        let since = self.failing_since.map(|since| now.since(since));
        since.unwrap_or_default()
    }

    /// Returns whether no call has failed for [`TROUBLE_DURATION`].
    pub(super) fn is_calm(&self, now: MonoTime) -> bool {
        let last = self.last_failure;
        last.is_none_or(|at| now.since(at) > TROUBLE_DURATION)
    }
}
