//! Isolation: a task under which workers have crashed starts where nothing else has just started, and
//! nothing else starts there until it has run for a while. If the worker crashes again, the cause is
//! certain.
//!
//! It is isolated in time, not in space: what runs on the worker stays there, so that isolation costs
//! the fleet little while many workers crash by themselves.

use super::PlannerMachine;
use super::crashes::RunMaturity;
use super::hosts::HostView;
use super::placement::{Candidate, TaskDemand};
use super::ready::ReadyStep;
use crate::effect::Effect;
use crate::ids::{RunName, TaskName};
use crate::job::StepSpec;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::cmp::Reverse;
use std::time::Duration;

/// Share of the hosts that may be in use for isolated tasks, those among them whose workers have just
/// crashed: the next crashes must not take the room of all others.
const MAX_ISOLATED_SHARE: f64 = 1.0 / 3.0;

/// Time after a crash within which a worker usually comes back.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Time for which a long-running task waits for a host of its own. The platform's specification counts it
/// as lost if it could run and has not for 3 s.
const TRIAL_WAIT: Duration = Duration::from_secs(2);

/// Weight of a suspect from which on it starts again on hosts whose workers have crashed under it.
const REPEATED_WEIGHT: u32 = 2;

/// Which tasks may start on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostAccess {
    /// All that are not isolated.
    Open,
    /// None, as an isolated task has started there.
    Closed,
    /// An isolated task, and other members of its gang.
    Reserved(TaskName),
}

/// Weights of the suspects on a host, ordered by what another suspect is least told apart from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspectLoad {
    heaviest: u32,
    total: u32,
}

impl SuspectLoad {
    /// Adds a task, which is no suspect if its weight is 0.
    pub(super) fn add(&mut self, weight: u32) {
        self.heaviest = self.heaviest.max(weight);
        self.total += weight;
    }
}

/// What speaks against a host for a suspect that starts beside others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrialChoice {
    suspects: SuspectLoad,
    /// Whether a crash there would tell less than elsewhere.
    tells_less: bool,
}

/// Where a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartScope {
    /// On open hosts, and on those that are reserved for other members of its gang.
    Shared,
    /// On the host that is reserved for it.
    Reserved,
    /// On open hosts, as the isolated task has waited for a host of its own for long enough.
    Waited,
    /// On open hosts, first on those with the least suspects.
    Spread,
    /// Nowhere, as long as no host is reserved for it.
    Nowhere,
}

impl Candidate<'_> {
    /// Returns whether isolation lets a task start on the host.
    pub(super) fn accepts(&self, task: TaskName, spec: &StepSpec, scope: StartScope) -> bool {
        match (self.access, scope) {
            (HostAccess::Reserved(owner), StartScope::Reserved) => owner == task && self.fresh == 0,
            (HostAccess::Reserved(owner), StartScope::Shared) => {
                spec.gang && owner.step == task.step
            }
            (HostAccess::Open, scope) => {
                scope != StartScope::Nowhere && scope != StartScope::Reserved
            }
            _ => false,
        }
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Returns which tasks may start on a host, and the number of attempts that have just started
    /// there.
    pub(super) fn access_to(&self, view: &HostView) -> (HostAccess, u32) {
        if self.knows_no_crash() {
            return (HostAccess::Open, 0);
        }
        let access = match view.runs.keys().any(|run| self.is_trial(*run)) {
            true => HostAccess::Closed,
            false => HostAccess::Open,
        };
        let fresh = view.runs.keys().filter(|run| self.is_fresh(**run));
        (access, fresh.count() as u32)
    }

    pub(super) fn knows_no_crash(&self) -> bool {
        self.ledger.crashes.is_empty() && self.ledger.crash_history.chains.is_empty()
    }

    /// Returns whether nothing may start beside an attempt of an isolated task for now.
    fn is_trial(&self, run: RunName) -> bool {
        let Some(run_view) = self.runs.get(&run).filter(|it| !it.shared) else {
            return false;
        };
        let crashes = self.ledger.crashes_under(run.task.into());
        match run_view.maturity() {
            RunMaturity::Fresh => crashes.is_isolated(),
            RunMaturity::Young => crashes.is_repeated(),
            RunMaturity::Sound => false,
        }
    }

    /// Returns the suspects on a host.
    pub(super) fn suspects_on(&self, view: &HostView) -> SuspectLoad {
        let mut suspects = SuspectLoad::default();
        if !self.ledger.crash_history.chains.is_empty() {
            let tasks = view.runs.keys().map(|run| run.task.into());
            tasks.for_each(|slot| suspects.add(self.chain_weight(slot)));
        }
        suspects
    }

    /// Returns what speaks against a host for a suspect. It first starts on several hosts, as one may be bad,
    /// and then on these again, as workers that restart one after the other do so once.
    pub(super) fn trial_on(&self, task: TaskName, candidate: &Candidate<'_>) -> TrialChoice {
        let slot = task.into();
        let chain = self.ledger.crash_chain(slot);
        let is_known = chain.is_some_and(|chain| chain.is_known_host(&candidate.view.host));
        TrialChoice {
            suspects: candidate.suspects,
            tells_less: is_known != (self.chain_weight(slot) >= REPEATED_WEIGHT),
        }
    }

    /// Notes since when isolated tasks have been waiting for a host of their own, and which have just
    /// started.
    pub(super) fn note_trial_waits(&mut self, now: MonoTime, steps: &[ReadyStep]) {
        self.fresh_trials.clear();
        if self.knows_no_crash() {
            return self.trial_waits.clear();
        }
        let placed = self.hosts.values().flat_map(|view| view.runs.keys());
        let fresh = placed.filter(|run| self.is_isolated(run.task) && self.is_fresh(**run));
        self.fresh_trials = fresh.map(|run| run.task.into()).collect();
        let waiting = steps.iter().flat_map(|step| self.isolated_tasks(step));
        let since = |task| (task, self.trial_waits.get(&task).copied().unwrap_or(now));
        self.trial_waits = waiting.map(since).collect();
    }

    fn is_fresh(&self, run: RunName) -> bool {
        self.maturity_of(run) == Some(RunMaturity::Fresh)
    }

    /// Reserves hosts for the isolated tasks of the steps, in their order.
    pub(super) fn reserve_hosts(
        &self,
        now: MonoTime,
        steps: &[ReadyStep],
        candidates: &mut [Candidate<'_>],
    ) {
        if self.knows_no_crash() {
            return;
        }
        let down = self.hosts.values().filter(|view| {
            let seen = view.worker_seen && now.since(view.worker_seen_at) <= RETURN_TIME;
            view.worker.is_none() && seen
        });
        let down = down.count();
        let most = ((candidates.len() + down) as f64 * MAX_ISOLATED_SHARE).ceil() as usize;
        for step in steps {
            let Some(spec) = step.record.step(step.name) else {
                continue;
            };
            let demand = TaskDemand::new(step.name, spec);
            for task in self.isolated_tasks(step) {
                if self.has_fresh_attempt(task) {
                    continue;
                }
                let is_open = |candidate: &&mut Candidate<'_>| candidate.access == HostAccess::Open;
                let closed = candidates.len() - candidates.iter_mut().filter(is_open).count();
                let is_exhausted = match spec {
                    // All members of a gang start at the same time.
                    spec if spec.gang => closed >= candidates.len().div_ceil(2),
                    // Long-running tasks must not wait for other workers.
                    spec if spec.long_running => closed >= most,
                    _ => closed + down >= most,
                };
                if is_exhausted {
                    break;
                }
                let service = &*step.record.terms.service;
                let failed = self.ledger.failed_hosts.get(&task);
                let best = candidates
                    .iter_mut()
                    .filter(is_open)
                    .filter(|candidate| candidate.suits(&demand, spec, service))
                    .min_by_key(|candidate| {
                        let has_room = candidate.admits(&demand, spec, service);
                        let host = &candidate.view.host;
                        let failed = failed.is_some_and(|hosts| hosts.contains(host));
                        let crashes = candidate.view.crashes;
                        (
                            !has_room,
                            candidate.fresh,
                            failed,
                            crashes,
                            candidate.load.count,
                        )
                    });
                if let Some(candidate) = best {
                    candidate.access = HostAccess::Reserved(task);
                }
            }
        }
    }

    /// Returns where a task may start. Members of a gang that find no host for themselves start beside
    /// others, as the gang would not start otherwise.
    pub(super) fn scope_of(
        &self,
        now: MonoTime,
        task: TaskName,
        spec: &StepSpec,
        candidates: &[Candidate<'_>],
    ) -> StartScope {
        let reserved = HostAccess::Reserved(task);
        let since = self.trial_waits.get(&task);
        let has_waited = since.is_some_and(|since| now.since(*since) > TRIAL_WAIT);
        match self.is_isolated(task) {
            _ if self.awaits_verdict(task) => StartScope::Nowhere,
            false if self.chain_weight(task.into()) > 0 => StartScope::Spread,
            false => StartScope::Shared,
            true if candidates.iter().any(|it| it.access == reserved) => StartScope::Reserved,
            true if spec.gang && !self.has_fresh_attempt(task) => StartScope::Shared,
            true if spec.long_running && has_waited && !self.has_fresh_attempt(task) => {
                StartScope::Waited
            }
            true => StartScope::Nowhere,
        }
    }

    /// Returns the waiting tasks of a step that are isolated, first those with the most crashes.
    fn isolated_tasks(&self, step: &ReadyStep) -> Vec<TaskName> {
        let name = |&index: &u32| TaskName {
            step: step.name,
            index,
        };
        let tasks = step.tasks.iter().map(name);
        let mut tasks: Vec<_> = tasks.filter(|task| self.is_isolated(*task)).collect();
        tasks.sort_by_key(|task| Reverse(self.ledger.crashes_under((*task).into())));
        tasks
    }

    /// Returns whether a task is a suspect, whose attempt the system itself does not move: that would end
    /// the trial, and the next one would be a trial as well.
    pub(super) fn is_on_trial(&self, task: TaskName) -> bool {
        self.is_isolated(task) || self.chain_weight(task.into()) > 0
    }

    /// Returns whether a task starts apart from others only.
    pub(super) fn is_isolated(&self, task: TaskName) -> bool {
        self.ledger.crashes_under(task.into()).is_isolated()
    }

    /// Returns whether an attempt of an isolated task has just started in any occurrence of its job.
    fn has_fresh_attempt(&self, task: TaskName) -> bool {
        self.fresh_trials.contains(&task.into())
    }

    /// Logs the start of an isolated task.
    pub(super) fn log_isolated(&mut self, run: RunName, host: &str) {
        let crashes = self.ledger.crashes_under(run.task.into());
        if crashes.is_isolated() {
            let (count, certain) = (crashes.count, crashes.certain);
            let detail = format!("host={host} crashes={count} certain={certain}");
            self.log("task_isolated", run, detail);
            self.effects.push(Effect::Count("task_isolated"));
        }
    }
}
