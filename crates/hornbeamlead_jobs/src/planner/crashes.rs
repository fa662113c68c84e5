//! Workers that crash, and the attempts that may have caused it.

use super::{PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, RunName, WorkerIncarnation};
use crate::ledger::{CrashAge, CrashSuspicion, FleetUnrest, TaskCrashes};
use crate::message::HostReport;
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time for which an attempt has to be seen running before a crash is put down to attempts that
/// started after it. Lists are up to 500 ms old when a worker has crashed without closing its
/// connections.
const FRESH_TIME: Duration = Duration::from_millis(600);

/// Time before the last start on a worker within which starts count as the last ones.
const LATEST_TIME: Duration = Duration::from_millis(100);

/// Time for which a crash that no start preceded counts as a sign that workers crash by themselves.
const UNREST_TIME: Duration = Duration::from_secs(20);

/// Most crashes that are counted.
const MAX_SELF_CRASHES: usize = 1000;

/// Most attempts that are likely causes of a crash. More than these cannot be isolated soon.
const MAX_LIKELY: usize = 8;

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
    age: CrashAge,
    /// When this planner sent the order, if it has.
    ordered_at: Option<MonoTime>,
    /// Whether the worker was gone before it listed the attempt, which takes 300 ms, however late that
    /// was noticed.
    prompt: bool,
    /// Crashes under the task before.
    crashes: TaskCrashes,
    gang: bool,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Records under which attempts a worker has crashed by a report, before their ends are recorded.
    pub(super) fn note_worker_end(
        &mut self,
        now: MonoTime,
        (host, report): (&HostName, &HostReport),
        incarnation: &WorkerIncarnation,
        runs: &[RunName],
    ) {
        let drained = self.hosts.get(host).and_then(|view| view.drained.as_ref());
        if drained == Some(incarnation) {
            let detail = format!("host={host} attempts={}", runs.len());
            return self.log("worker_left", incarnation, detail);
        }
        let crashed = self.crashed_runs(now, runs, report.orders_seen);
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
        if let Some(view) = self.hosts.get_mut(host) {
            view.crashed = Some(incarnation.clone());
            view.crashes += 1;
        }
        // The members of a gang that has just started are suspects together.
        let is_member = |it: &CrashedRun| it.gang && it.maturity == RunMaturity::Fresh;
        let by_gang = !crashed.is_empty() && crashed.iter().all(is_member);
        if culprit.is_none() && !by_gang && !crashed.iter().any(|it| it.prompt) {
            self.note_self_crash(now);
        }
        let attempts: Vec<_> = crashed.iter().map(|it| (it.run, it.age)).collect();
        self.record_worker_crash(now, host, &attempts);
        for (run, suspicion) in suspicions(&crashed, culprit) {
            self.record_crash(now, host, run, suspicion);
        }
    }

    /// Notes that another worker runs on a host. If nothing ran on the one before, it has crashed by
    /// itself, unless it had left.
    pub(super) fn note_replaced_worker(&mut self, now: MonoTime, host: &HostName) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let earlier = view.earlier_incarnation.as_ref();
        if earlier.is_some() && earlier != view.crashed.as_ref() && earlier != view.drained.as_ref()
        {
            view.crashes += 1;
            self.note_self_crash(now);
            self.record_worker_crash(now, host, &[]);
        }
    }

    /// Records that the worker of attempts was lost while its agent went on. It may have crashed.
    pub(super) fn note_worker_lost(&mut self, now: MonoTime, host: &HostName, runs: &[RunName]) {
        let crashed = self.crashed_runs(now, runs, u64::MAX);
        let suspects = crashed
            .iter()
            .filter(|it| it.maturity != RunMaturity::Sound);
        for suspect in suspects {
            self.record_crash(now, host, suspect.run, CrashSuspicion::Possible);
        }
    }

    fn note_self_crash(&mut self, now: MonoTime) {
        self.self_crashes.push_back(now);
        self.self_crashes.truncate(MAX_SELF_CRASHES);
    }

    /// Returns how often workers have crashed by themselves lately.
    pub(super) fn unrest(&mut self, now: MonoTime) -> FleetUnrest {
        let is_old = |at: &MonoTime| now.since(*at) > UNREST_TIME;
        while self.self_crashes.pop_front_if(|at| is_old(at)).is_some() {}
        match self.self_crashes.len() {
            0 => FleetUnrest::Calm,
            count if count * 2 < self.hosts.len() => FleetUnrest::Some,
            _ => FleetUnrest::Severe,
        }
    }

    /// Returns how far an attempt has got.
    pub(super) fn maturity_of(&self, run: RunName) -> Option<RunMaturity> {
        self.runs.get(&run).map(RunView::maturity)
    }

    fn record_crash(
        &mut self,
        now: MonoTime,
        host: &HostName,
        run: RunName,
        suspicion: CrashSuspicion,
    ) {
        self.record(now, PlanRecord::Crashed { run, suspicion });
        let crashes = self.ledger.crashes_under(run.task.into());
        let detail = format!(
            "host={host} suspicion={suspicion} crashes={} certain={} isolated={}",
            crashes.count,
            crashes.certain,
            crashes.is_isolated()
        );
        self.log("crash_counted", run, detail);
        if suspicion == CrashSuspicion::Certain {
            self.effects.push(Effect::Count("crash_attributed"));
        }
    }

    /// Returns the attempts that may have begun: those whose orders have reached the agent.
    fn crashed_runs(&self, now: MonoTime, runs: &[RunName], orders_seen: u64) -> Vec<CrashedRun> {
        let crashed = |run: &RunName| {
            let run_view = self.runs.get(run)?;
            let spec = self.ledger.task(run.task)?.0.spec(run.task.step);
            let number = run_view.order_number.filter(|it| *it <= orders_seen);
            number.map(|_| CrashedRun {
                run: *run,
                maturity: run_view.maturity(),
                age: run_view.age_at_crash(now),
                ordered_at: run_view.ordered_at,
                prompt: !run_view.listed && run_view.ordered_at.is_some(),
                crashes: self.ledger.crashes_under(run.task.into()),
                gang: spec.is_some_and(|spec| spec.gang),
            })
        };
        runs.iter().filter_map(crashed).collect()
    }

    /// Records that an attempt has run for long if crashes under its task are known.
    pub(super) fn check_soundness(&mut self, now: MonoTime, run: RunName) {
        let is_suspect = self.ledger.crashes_under(run.task.into()).count > 0;
        if is_suspect && self.maturity_of(run) == Some(RunMaturity::Sound) {
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

/// Returns how likely each attempt has caused a crash, except for those that are ruled out.
fn suspicions(crashed: &[CrashedRun], culprit: Option<RunName>) -> Vec<(RunName, CrashSuspicion)> {
    let last_start = crashed.iter().filter_map(|it| it.ordered_at).max();
    let is_latest = |it: &&CrashedRun| {
        let starts = it.ordered_at.zip(last_start);
        it.maturity == RunMaturity::Fresh
            && starts.is_some_and(|(at, last)| last.since(at) <= LATEST_TIME)
    };
    let few_latest = crashed.iter().filter(is_latest).count() <= MAX_LIKELY;
    let suspects = crashed
        .iter()
        .filter(|it| it.maturity != RunMaturity::Sound);
    let suspicion = |it: &CrashedRun| match it {
        _ if culprit == Some(it.run) && it.prompt => CrashSuspicion::Certain,
        _ if culprit == Some(it.run) => CrashSuspicion::Alone,
        _ if culprit.is_some() => CrashSuspicion::Unlikely,
        _ if few_latest && is_latest(&it) => CrashSuspicion::Likely,
        _ if it.maturity == RunMaturity::Fresh => CrashSuspicion::Possible,
        _ => CrashSuspicion::Unlikely,
    };
    suspects.map(|it| (it.run, suspicion(it))).collect()
}

/// Returns whether two attempts are members of the same gang.
fn is_beside(one: &CrashedRun, other: &CrashedRun) -> bool {
    one.run.task.step == other.run.task.step
}
