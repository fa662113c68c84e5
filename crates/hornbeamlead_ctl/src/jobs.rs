//! Progress of jobs across all cells.

use crate::failure::ToolFailure;
use crate::fleet_view::KnownProcess;
use crate::notes_reader::NotesReader;
use crate::replay::replay;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CellId, JobName, TaskId};
use hornbeamlead_core::note::JobSpec;
use hornbeamlead_core::record::StreamName;
use hornbeamlead_core::task::TaskPhase;
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_schedule::cell_log::{AttemptState, CellState, LatestAttempt};
use hornbeamlead_schedule::job_log::{JobState, TaskLedger};
use hornbeamlead_wire::{decode_cell, decode_job};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Task counts of a job, summed over the cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct JobProgress {
    pub(crate) waiting: u64,
    /// Tasks with a started attempt, according to the log or the planners.
    pub(crate) running: u64,
    /// Tasks that ended successfully.
    pub(crate) finished: u64,
    /// Tasks that ended in any other phase.
    pub(crate) failed: u64,
    /// Attempts beyond the first of each task; `None` while the log is down.
    pub(crate) resumed: Option<u64>,
    /// Reason why a cell can never run the job.
    pub(crate) infeasible: Option<Box<str>>,
}

/// Progress by job name.
pub(crate) type ProgressTable = BTreeMap<Box<str>, JobProgress>;

/// Returns the progress of each job, from the log or, while that is down, from the planners.
pub(crate) async fn query_progress(log: &LogClient, known: &[KnownProcess]) -> ProgressTable {
    let reported = sum_progress(known);
    match read_progress(log).await {
        Ok(mut read) => {
            for (job, progress) in &mut read {
                progress.infeasible = reported
                    .get(job)
                    .and_then(|reported| reported.infeasible.clone());
            }
            read
        }
        Err(_) => reported,
    }
}

/// Computes the progress from the notes, jobs and cell streams of the log.
async fn read_progress(log: &LogClient) -> Result<ProgressTable, ToolFailure> {
    let mut notes = NotesReader::for_configuration(log.clone());
    notes.read_to_end().await?;
    let jobs: JobState = replay(log, &StreamName::Jobs, decode_job).await?;
    let mut cells = BTreeMap::new();
    for cell in owning_cells(&jobs) {
        let state: CellState = replay(log, &StreamName::Cell(cell), decode_cell).await?;
        cells.insert(cell, state);
    }
    Ok(summarize_jobs(notes.fleet(), &jobs, &cells))
}

fn owning_cells(jobs: &JobState) -> BTreeSet<CellId> {
    let ledgers = jobs.jobs().values().flat_map(BTreeMap::values);
    let owners = ledgers.filter_map(|ledger| ledger.owner);
    owners.map(|owner| owner.cell).collect()
}

fn summarize_jobs(
    fleet: &FleetState,
    jobs: &JobState,
    cells: &BTreeMap<CellId, CellState>,
) -> ProgressTable {
    fleet
        .jobs()
        .values()
        .map(|spec| {
            let name: Box<str> = spec.name.as_str().into();
            (name, summarize_job(spec, jobs, cells))
        })
        .collect()
}

fn summarize_job(
    spec: &JobSpec,
    jobs: &JobState,
    cells: &BTreeMap<CellId, CellState>,
) -> JobProgress {
    let mut progress = JobProgress {
        resumed: Some(0),
        ..JobProgress::default()
    };
    for index in 0..spec.tasks {
        let task = task_id(&spec.name, index);
        let ledger = jobs.task(&task);
        let latest = ledger.and_then(|ledger| latest_attempt(&task, ledger, cells));
        progress.count(ledger, latest);
    }
    progress
}

fn task_id(job: &JobName, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        index,
    }
}

fn latest_attempt<'a>(
    task: &TaskId,
    ledger: &TaskLedger,
    cells: &'a BTreeMap<CellId, CellState>,
) -> Option<&'a LatestAttempt> {
    cells.get(&ledger.owner?.cell)?.attempts().get(task)
}

impl JobProgress {
    /// Adds one task; its end in the jobs stream takes precedence over its cell's stream.
    fn count(&mut self, ledger: Option<&TaskLedger>, latest: Option<&LatestAttempt>) {
        let ended = ledger.and_then(|ledger| ledger.ended.as_ref());
        let released = ledger.and_then(|ledger| ledger.released.as_ref());
        match (ended, latest.map(|latest| &latest.state)) {
            (Some(ended), _) => self.count_end(ended.phase),
            (None, Some(AttemptState::Ended(phase))) => self.count_end(*phase),
            (None, Some(AttemptState::Started { .. })) => self.running += 1,
            (None, Some(AttemptState::Released) | None) => self.waiting += 1,
        }
        let attempt_numbers = [
            ended.map(|ended| ended.attempt.number),
            released.map(|released| released.attempt.number),
            latest.map(|latest| latest.number),
        ];
        let latest_number = attempt_numbers.into_iter().flatten().max().unwrap_or(0);
        let resumed = u64::from(latest_number.saturating_sub(1));
        self.resumed = self.resumed.map(|sum| sum + resumed);
    }

    fn count_end(&mut self, phase: TaskPhase) {
        match phase {
            TaskPhase::Finished => self.finished += 1,
            _ => self.failed += 1,
        }
    }
}

/// Sums the progress that the planners report for each job.
fn sum_progress(known: &[KnownProcess]) -> ProgressTable {
    let mut progress = ProgressTable::new();
    let statuses = known.iter().filter_map(|process| process.status.as_ref());
    for status in statuses.clone() {
        for job in &status.configuration.jobs {
            progress.entry(job.clone()).or_default();
        }
    }
    let schedules = statuses.filter_map(|status| status.schedule.as_ref());
    let cells = schedules.filter_map(|schedule| schedule.planning.as_ref());
    for job in cells.flat_map(|cell| &cell.jobs) {
        let sum = progress.entry(job.job.clone()).or_default();
        sum.waiting += u64::from(job.waiting);
        sum.running += u64::from(job.running);
        // Each planner counts the ended tasks of all cells, so the sum would count them several
        // times; the maximum is the count of the most up-to-date planner.
        sum.finished = sum.finished.max(u64::from(job.finished));
        sum.failed = sum.failed.max(u64::from(job.failed));
        if sum.infeasible.is_none() {
            sum.infeasible.clone_from(&job.infeasible);
        }
    }
    progress
}
