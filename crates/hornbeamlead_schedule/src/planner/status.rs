//! Status of the cell shown to operators.

use crate::cell_log::{AttemptState, CellState};
use crate::planner::CellPlanner;
use crate::planner::tasks::{OwnedTask, TaskState, owned_tasks};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::JobName;
use hornbeamlead_core::status::{CellStatus, JobSummary};
use hornbeamlead_core::task::{TaskPhase, TaskSummary};
use std::collections::BTreeMap;

impl CellPlanner {
    /// Returns the status of the cell.
    pub(crate) fn status(&self, cell: &CellState, fleet: &FleetState, now: MonoTime) -> CellStatus {
        let tasks = owned_tasks(self.cell_id(), self.jobs.state(), cell, fleet);
        let live = self
            .hosts
            .hosts()
            .iter()
            .filter(|(host, entry)| entry.renewed.is_some() && !self.is_lapsed(host, now));
        CellStatus {
            hosts: live.map(|(host, _)| host.clone()).collect(),
            quarantined: self.quarantine.quarantined().cloned().collect(),
            jobs: self.job_summaries(&tasks),
            tasks: tasks.iter().map(task_summary).collect(),
            evictions: self.evictions,
        }
    }

    fn job_summaries(&self, tasks: &[OwnedTask<'_>]) -> Vec<JobSummary> {
        let mut summaries: BTreeMap<JobName, JobSummary> = BTreeMap::new();
        for task in tasks {
            let summary = entry(&mut summaries, &task.task.job);
            match task.state {
                TaskState::Waiting => summary.waiting += 1,
                TaskState::Started => summary.running += 1,
                TaskState::Ended => {}
            }
        }
        for (job, ledgers) in self.jobs.state().jobs() {
            let summary = entry(&mut summaries, job);
            for ended in ledgers.values().filter_map(|ledger| ledger.ended.as_ref()) {
                match ended.phase {
                    TaskPhase::Finished => summary.finished += 1,
                    _ => summary.failed += 1,
                }
            }
        }
        for (job, reason) in &self.infeasible {
            entry(&mut summaries, job).infeasible = Some(reason.clone());
        }
        summaries.into_values().collect()
    }
}

fn entry<'a>(
    summaries: &'a mut BTreeMap<JobName, JobSummary>,
    job: &JobName,
) -> &'a mut JobSummary {
    summaries.entry(job.clone()).or_insert_with(|| JobSummary {
        job: job.clone(),
        waiting: 0,
        running: 0,
        finished: 0,
        failed: 0,
        infeasible: None,
    })
}

fn task_summary(task: &OwnedTask<'_>) -> TaskSummary {
    let state = match task.latest.map(|latest| &latest.state) {
        Some(AttemptState::Started { host }) => format!("started on {host}"),
        Some(AttemptState::Ended(phase)) => format!("ended: {phase:?}"),
        Some(AttemptState::Released) | None => "waiting".to_owned(),
    };
    TaskSummary {
        task: task.task.clone(),
        attempts: task.number,
        state: state.into(),
    }
}
