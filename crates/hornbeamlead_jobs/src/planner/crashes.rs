//! Workers that crash, and the attempts that may have caused it.

use super::{PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, RunName, WorkerIncarnation};
use crate::ledger::TaskCrashes;
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
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

/// Attempt that was on a worker when it crashed.
#[derive(Clone, Copy, Debug)]
struct CrashedRun {
    run: RunName,
    maturity: RunMaturity,
    /// Crashes under the task before.
    crashes: TaskCrashes,
    gang: bool,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Records under which attempts a worker has crashed, before their ends are recorded.
    pub(super) fn note_worker_end(
        &mut self,
        now: MonoTime,
        host: &HostName,
        incarnation: &WorkerIncarnation,
        runs: &[RunName],
    ) {
        let drained = self.hosts.get(host).and_then(|view| view.drained.as_ref());
        if drained == Some(incarnation) {
            let detail = format!("host={host} attempts={}", runs.len());
            return self.log("worker_left", incarnation, detail);
        }
        let crashed = self.crashed_runs(runs);
        let culprit = find_culprit(&crashed);
        let count = |maturity| crashed.iter().filter(|it| it.maturity == maturity).count();
        let attributed = culprit.map_or("none".into(), |run| run.to_string());
        let detail = format!(
            "host={host} attempts={} fresh={} young={} sound={} attributed={attributed}",
            runs.len(),
            count(RunMaturity::Fresh),
            count(RunMaturity::Young),
            count(RunMaturity::Sound),
        );
        self.log("worker_crashed", incarnation, detail);
        self.effects.push(Effect::Count("worker_crashed"));
        let suspects = crashed
            .iter()
            .filter(|it| it.maturity != RunMaturity::Sound);
        for suspect in suspects.map(|it| it.run) {
            self.record_crash(now, host, suspect, culprit == Some(suspect));
        }
    }

    /// Records that the worker of attempts was lost while its agent went on. It may have crashed.
    pub(super) fn note_worker_lost(&mut self, now: MonoTime, host: &HostName, runs: &[RunName]) {
        let crashed = self.crashed_runs(runs);
        let suspects = crashed
            .iter()
            .filter(|it| it.maturity != RunMaturity::Sound);
        for suspect in suspects {
            self.record_crash(now, host, suspect.run, false);
        }
    }

    /// Returns how far an attempt has got.
    pub(super) fn maturity_of(&self, run: RunName) -> Option<RunMaturity> {
        self.runs.get(&run).map(RunView::maturity)
    }

    fn record_crash(&mut self, now: MonoTime, host: &HostName, run: RunName, attributed: bool) {
        self.record(now, PlanRecord::Crashed { run, attributed });
        let crashes = self.ledger.crashes_under(run.task.into());
        let detail = format!(
            "host={host} crashes={} attributed={} isolated={}",
            crashes.count,
            crashes.attributed,
            crashes.is_isolated()
        );
        self.log("crash_counted", run, detail);
        if attributed {
            self.effects.push(Effect::Count("crash_attributed"));
        }
    }

    /// Returns the attempts that may have begun: those whose orders were sent.
    fn crashed_runs(&self, runs: &[RunName]) -> Vec<CrashedRun> {
        let crashed = |run: &RunName| {
            let run_view = self.runs.get(run)?;
            let spec = self.ledger.task(run.task)?.0.spec(run.task.step);
            run_view.order_number.map(|_| CrashedRun {
                run: *run,
                maturity: run_view.maturity(),
                crashes: self.ledger.crashes_under(run.task.into()),
                gang: spec.is_some_and(|spec| spec.gang),
            })
        };
        runs.iter().filter_map(crashed).collect()
    }

    /// Records that an attempt has run for long if crashes under its task are known.
    pub(super) fn check_soundness(&mut self, now: MonoTime, run: RunName) {
        let is_sound = self.maturity_of(run) == Some(RunMaturity::Sound);
        if is_sound && self.ledger.crashes_under(run.task.into()).count > 0 {
            self.log("crashes_forgotten", run, String::new());
            self.record(now, PlanRecord::Sound { run });
        }
    }
}

/// Returns the attempt that has caused a crash if no other can have: the only one that had just
/// started, or the only one if none had. Members of a gang always start together, so of these it is
/// the one under which more workers have crashed than under the others.
fn find_culprit(crashed: &[CrashedRun]) -> Option<RunName> {
    let latest = crashed.iter().map(|it| it.maturity).min()?;
    let suspects = crashed.iter().filter(|it| it.maturity == latest);
    let suspects: Vec<_> = suspects.collect();
    match *suspects {
        _ if latest == RunMaturity::Sound => None,
        [only] => Some(only.run),
        [first, ..] if first.gang && suspects.iter().all(|it| is_beside(it, first)) => {
            let most = suspects.iter().map(|it| it.crashes.count).max()?;
            let mut prime = suspects.iter().filter(|it| it.crashes.count == most);
            let culprit = prime.next().map(|it| it.run);
            culprit.filter(|_| most > 0 && prime.next().is_none())
        }
        _ => None,
    }
}

/// Returns whether two attempts are members of the same gang.
fn is_beside(one: &CrashedRun, other: &CrashedRun) -> bool {
    one.run.task.step == other.run.task.step
}
