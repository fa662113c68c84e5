//! Judges workers by what becomes of the attempts on them.

use super::PlannerMachine;
use crate::ids::{HostName, RunName};
use crate::job::RunEnd;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Failures without a success after which a worker is on probation. One attempt in twenty fails
/// on a sound worker, so three in a row are rare there.
const PROBATION_STRIKES: u32 = 3;

/// Pause before a worker on probation is tried again.
const PROBATION_PAUSE: Duration = Duration::from_millis(1500);

/// Time without progress after which an attempt counts as standing still.
const STALL_SPAN: Duration = Duration::from_millis(2000);

/// Time in which a lasting task has to be at work.
const LASTING_START_SPAN: Duration = Duration::from_millis(3000);

/// Hosts that are remembered for a task that failed.
const MAX_FAILED_HOSTS: usize = 4;

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn note_health(
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
                    view.strikes = 0;
                    view.probation = false;
                }
                RunEnd::Failed => {
                    view.strikes += 1;
                    if view.strikes >= PROBATION_STRIKES {
                        view.probation = true;
                        view.not_before = now.plus(PROBATION_PAUSE);
                        let detail = format!("strikes={}", view.strikes);
                        self.log("worker_on_probation", host, detail);
                    }
                }
                _ => {}
            }
        }
        match end {
            RunEnd::Failed => {
                let hosts = self.failed_hosts.entry(run.task).or_default();
                hosts.push(host.clone());
                if hosts.len() > MAX_FAILED_HOSTS {
                    hosts.remove(0);
                }
            }
            RunEnd::Done => {
                self.failed_hosts.remove(&run.task);
            }
            _ => {}
        }
    }

    /// Stops attempts that make no progress, so that they resume elsewhere.
    pub(super) fn check_stalls(&mut self, now: MonoTime) {
        let mut stalled = Vec::new();
        for view in self.hosts.values().filter(|view| view.is_open(now)) {
            for (run, demand) in &view.runs {
                let Some(known) = self.runs.get(run).filter(|known| known.listed) else {
                    continue;
                };
                let still = now.since(known.progressed);
                // A filler that is paced down stands still by order.
                let stands = match (demand.long_running, demand.best_effort) {
                    (true, _) => known.percent < 100 && still > LASTING_START_SPAN,
                    (false, true) => false,
                    (false, false) => still > STALL_SPAN,
                };
                if stands && known.stopped.is_none() {
                    stalled.push((*run, view.host.clone()));
                }
            }
        }
        for (run, host) in &stalled {
            let detail = format!("host={host}");
            self.log("task_stalled", run, detail);
            let hosts = self.failed_hosts.entry(run.task).or_default();
            hosts.push(host.clone());
            if let Some(view) = self.hosts.get_mut(host) {
                view.strikes += 1;
                view.probation |= view.strikes >= PROBATION_STRIKES;
                if view.probation {
                    view.not_before = now.plus(PROBATION_PAUSE);
                }
            }
        }
        let runs = stalled.into_iter().map(|(run, _)| run).collect();
        self.stop_runs(runs, "stalled");
    }
}
