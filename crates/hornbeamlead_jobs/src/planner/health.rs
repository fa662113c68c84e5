//! Worker health, derived from the outcomes of attempts.

use super::batch::HEARTBEAT_INTERVAL;
use super::{HostView, PlannerMachine, RunView};
use crate::ids::{HostName, RunName};
use crate::job::RunEnd;
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Consecutive failures after which a worker is put on probation. One attempt in twenty fails on a
/// healthy worker, so three in a row are rare there.
const PROBATION_FAILURES: u32 = 3;

/// Pause after a failure before a worker on probation gets another task.
const PROBATION_BACKOFF: Duration = Duration::from_millis(1500);

/// Most tasks on a worker on probation whose outcome is still open.
const PROBATION_TASKS: u32 = 1;

/// Time without progress after which an attempt counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time within which a long-running task must report that it is operational.
const LONG_RUNNING_START_TIMEOUT: Duration = Duration::from_millis(3000);

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn update_health(
        &mut self,
        now: MonoTime,
        run: RunName,
        host: &HostName,
        end: RunEnd,
    ) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.runs.remove(&run);
            match end {
                RunEnd::Done => {
                    view.consecutive_failures = 0;
                    view.probation = false;
                }
                RunEnd::Failed => {
                    view.consecutive_failures += 1;
                    if view.consecutive_failures >= PROBATION_FAILURES {
                        view.probation = true;
                        view.not_before = now.plus(PROBATION_BACKOFF);
                        let detail = format!("strikes={}", view.consecutive_failures);
                        self.log("worker_on_probation", host, detail);
                    }
                }
                _ => {}
            }
        }
    }

    /// Takes over what the plan tells of the failures of a worker whose first report has arrived, or
    /// of none.
    pub(super) fn adopt_failures(&mut self, now: MonoTime, host: &HostName) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let incarnation = view.incarnation();
        let known = incarnation.and_then(|worker| self.ledger.failures_of(host, worker));
        view.consecutive_failures = known.map_or(0, |failures| failures.count);
        view.probation = view.consecutive_failures >= PROBATION_FAILURES;
        view.not_before = match known {
            Some(failures) if view.probation => {
                let elapsed = HEARTBEAT_INTERVAL * failures.heartbeats;
                let remaining = PROBATION_BACKOFF.saturating_sub(elapsed);
                self.plan_ended_at.plus(remaining).max(now)
            }
            _ => now,
        };
        if view.probation {
            let detail = format!("strikes={} since=takeover", view.consecutive_failures);
            self.log("worker_on_probation", host, detail);
        }
    }

    /// Returns the most tasks that may be on a worker. Long-running tasks that are operational do not
    /// count on probation: they never end, so the worker would get no task with which to end it.
    pub(super) fn task_limit(&self, view: &HostView) -> u32 {
        if !view.probation {
            return u32::MAX;
        }
        let operational = view.runs.iter().filter(|(run, demand)| {
            let run_view = self.runs.get(run);
            demand.long_running && run_view.is_some_and(RunView::is_operational)
        });
        operational.count() as u32 + PROBATION_TASKS
    }

    /// Has the next attempt of a task start on another host than the present one, if possible.
    pub(super) fn avoid_host(&mut self, run: RunName) {
        let Some(placement) = self.ledger.placement(run) else {
            return;
        };
        let host = placement.host.clone();
        self.ledger.avoid_host(run.task, host);
    }

    /// Stops attempts that make no progress, so that they resume on another host.
    pub(super) fn check_stalls(&mut self, now: MonoTime) {
        let mut stalled = Vec::new();
        for view in self.hosts.values().filter(|view| view.is_reachable(now)) {
            for (run, demand) in &view.runs {
                let Some(run_view) = self.runs.get(run).filter(|run_view| run_view.listed) else {
                    continue;
                };
                let idle = now.since(run_view.progressed_at);
                let is_stalled = match (demand.long_running, demand.best_effort) {
                    (true, _) => !run_view.is_operational() && idle > LONG_RUNNING_START_TIMEOUT,
                    // A best-effort task may be throttled to a standstill.
                    (false, true) => false,
                    (false, false) => idle > STALL_TIMEOUT,
                };
                if is_stalled && run_view.stop_number.is_none() {
                    stalled.push((*run, view.host.clone()));
                }
            }
        }
        for (run, host) in &stalled {
            let detail = format!("host={host}");
            self.log("task_stalled", run, detail);
            self.record(now, PlanRecord::Stalled { run: *run });
            if let Some(view) = self.hosts.get_mut(host) {
                view.consecutive_failures += 1;
                view.probation |= view.consecutive_failures >= PROBATION_FAILURES;
                if view.probation {
                    view.not_before = now.plus(PROBATION_BACKOFF);
                }
            }
        }
        let runs = stalled.into_iter().map(|(run, _)| run).collect();
        self.stop_runs(runs, "stalled");
    }
}
