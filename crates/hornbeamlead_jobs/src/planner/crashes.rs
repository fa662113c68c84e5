//! Workers that crash, and the attempts that may have caused it.

use super::{PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, RunName, WorkerIncarnation};
use crate::operators::OperatorFormat;
use std::time::Duration;

/// Time for which an attempt has to be seen running before a crash is put down to attempts that
/// started after it. Hosts report every 300 ms, and the lists may be 500 ms old when a worker has
/// crashed without closing its connections.
const FRESH_TIME: Duration = Duration::from_millis(600);

/// Time for which an attempt has to be seen running to show that its task does not crash workers.
const SOUND_TIME: Duration = Duration::from_secs(5);

/// How far an attempt on a worker has got, as evidence of what a crash of the worker is due to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RunMaturity {
    /// May have just started.
    Fresh,
    /// Has run for a while.
    Young,
    /// Has run for long enough to be ruled out.
    Sound,
}

impl RunView {
    pub(super) fn maturity(&self) -> RunMaturity {
        match self.seen_for() {
            span if span < FRESH_TIME => RunMaturity::Fresh,
            span if span < SOUND_TIME => RunMaturity::Young,
            _ => RunMaturity::Sound,
        }
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Logs how a worker has ended, and with which attempts on it.
    pub(super) fn note_worker_end(
        &mut self,
        host: &HostName,
        incarnation: &WorkerIncarnation,
        runs: &[RunName],
    ) {
        let drained = self.hosts.get(host).and_then(|view| view.drained.as_ref());
        if drained == Some(incarnation) {
            let detail = format!("host={host} attempts={}", runs.len());
            return self.log("worker_left", incarnation, detail);
        }
        // An attempt whose order was not sent cannot have begun.
        let views = runs.iter().filter_map(|run| self.runs.get(run));
        let begun = views.filter(|view| view.order_number.is_some());
        let maturities: Vec<_> = begun.map(RunView::maturity).collect();
        let count = |maturity| maturities.iter().filter(|it| **it == maturity).count();
        let detail = format!(
            "host={host} attempts={} fresh={} young={} sound={}",
            runs.len(),
            count(RunMaturity::Fresh),
            count(RunMaturity::Young),
            count(RunMaturity::Sound),
        );
        self.log("worker_crashed", incarnation, detail);
        self.effects.push(Effect::Count("worker_crashed"));
    }
}
