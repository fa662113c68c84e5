//! Progress of jobs over all cells.

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

/// Progress of a job, summed over the cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct JobProgress {
    /// Tasks that wait.
    pub(crate) waiting: u64,
    /// Tasks that run, as far as the log or the planners know.
    pub(crate) running: u64,
    /// Tasks that finished.
    pub(crate) finished: u64,
    /// Tasks that ended otherwise.
    pub(crate) failed: u64,
    /// Attempts beyond the first of each task; `None` while the log is down.
    pub(crate) resumed: Option<u64>,
    /// Why a cell can never run the job.
    pub(crate) infeasible: Option<Box<str>>,
}

/// Progress of jobs by name.
pub(crate) type ProgressTable = BTreeMap<Box<str>, JobProgress>;

/// Returns the progress of each job, from the log or, while that is down, from the planners.
pub(crate) async fn ask_progress(log: &LogClient, known: &[KnownProcess]) -> ProgressTable {
    let told = sum_progress(known);
    match read_progress(log).await {
        Ok(mut read) => {
            for (job, progress) in &mut read {
                progress.infeasible = told.get(job).and_then(|told| told.infeasible.clone());
            }
            read
        }
        Err(_) => told,
    }
}

/// Replays the streams of the log.
async fn read_progress(log: &LogClient) -> Result<ProgressTable, ToolFailure> {
    let mut notes = NotesReader::unwatched(log.clone());
    notes.read_to_end().await?;
    let jobs: JobState = replay(log, &StreamName::Jobs, decode_job).await?;
    let mut cells = BTreeMap::new();
    for cell in owning_cells(&jobs) {
        let state: CellState = replay(log, &StreamName::Cell(cell), decode_cell).await?;
        cells.insert(cell, state);
    }
    Ok(judge_jobs(notes.fleet(), &jobs, &cells))
}

fn owning_cells(jobs: &JobState) -> BTreeSet<CellId> {
    let ledgers = jobs.jobs().values().flat_map(BTreeMap::values);
    let owners = ledgers.filter_map(|ledger| ledger.owner);
    owners.map(|owner| owner.cell).collect()
}

fn judge_jobs(
    fleet: &FleetState,
    jobs: &JobState,
    cells: &BTreeMap<CellId, CellState>,
) -> ProgressTable {
    fleet
        .jobs()
        .values()
        .map(|spec| {
            let name: Box<str> = spec.name.as_str().into();
            (name, judge_job(spec, jobs, cells))
        })
        .collect()
}

fn judge_job(spec: &JobSpec, jobs: &JobState, cells: &BTreeMap<CellId, CellState>) -> JobProgress {
    let mut progress = JobProgress {
        resumed: Some(0),
        ..JobProgress::default()
    };
    for index in 0..spec.tasks {
        let task = task_id(&spec.name, index);
        let ledger = jobs.task(&task);
        let standing = ledger.and_then(|ledger| standing_of(&task, ledger, cells));
        progress.count(ledger, standing);
    }
    progress
}

fn task_id(job: &JobName, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        index,
    }
}

fn standing_of<'a>(
    task: &TaskId,
    ledger: &TaskLedger,
    cells: &'a BTreeMap<CellId, CellState>,
) -> Option<&'a LatestAttempt> {
    cells.get(&ledger.owner?.cell)?.attempts().get(task)
}

impl JobProgress {
    /// Counts one task by what the streams say of it.
    fn count(&mut self, ledger: Option<&TaskLedger>, standing: Option<&LatestAttempt>) {
        let ended = ledger.and_then(|ledger| ledger.ended.as_ref());
        let released = ledger.and_then(|ledger| ledger.released.as_ref());
        match (ended, standing.map(|standing| &standing.state)) {
            (Some(ended), _) => self.count_end(ended.phase),
            (None, Some(AttemptState::Ended(phase))) => self.count_end(*phase),
            (None, Some(AttemptState::Started { .. })) => self.running += 1,
            (None, Some(AttemptState::Released) | None) => self.waiting += 1,
        }
        let numbers = [
            ended.map(|ended| ended.attempt.number),
            released.map(|released| released.attempt.number),
            standing.map(|standing| standing.number),
        ];
        let newest = numbers.into_iter().flatten().max().unwrap_or(0);
        let resumed = u64::from(newest.saturating_sub(1));
        self.resumed = self.resumed.map(|sum| sum + resumed);
    }

    fn count_end(&mut self, phase: TaskPhase) {
        match phase {
            TaskPhase::Finished => self.finished += 1,
            _ => self.failed += 1,
        }
    }
}

/// Sums the planners' progress of each job.
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
        // Each planner reads the ends of all cells' tasks; the newest reader knows most.
        sum.finished = sum.finished.max(u64::from(job.finished));
        sum.failed = sum.failed.max(u64::from(job.failed));
        if sum.infeasible.is_none() {
            sum.infeasible.clone_from(&job.infeasible);
        }
    }
    progress
}
