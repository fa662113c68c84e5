//! Tasks owned by a cell, as the jobs stream and the cell's stream together show them.

use crate::cell_log::{AttemptState, CellState, LatestAttempt};
use crate::job_log::{JobState, TaskLedger};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CellId, TaskId};
use hornbeamlead_core::note::JobSpec;
use hornbeamlead_core::record::ReleasedTask;
use hornbeamlead_core::task::CheckpointToken;

/// State of a task that the cell owns, as recorded on the two streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task can be started in a new attempt.
    Waiting,
    /// Its newest attempt was started, and no end is recorded.
    Started,
    /// It ended in this cell, which the jobs stream does not show yet.
    Ended,
}

/// Task that the cell owns.
#[derive(Clone, Debug)]
pub(crate) struct OwnedTask<'a> {
    /// Id of the task.
    pub(crate) task: TaskId,
    /// Rank of the claim.
    pub(crate) rank: u64,
    /// Declaration; `None` once withdrawn.
    pub(crate) spec: Option<&'a JobSpec>,
    /// State of the task.
    pub(crate) state: TaskState,
    /// Number of the newest attempt; 0 for none.
    pub(crate) number: u32,
    /// Newest checkpoint.
    pub(crate) token: Option<CheckpointToken>,
    /// Newest attempt in this cell; `None` if it has none.
    pub(crate) latest: Option<&'a LatestAttempt>,
}

/// Returns the tasks that a cell owns.
pub(crate) fn owned_tasks<'a>(
    cell_id: CellId,
    jobs: &'a JobState,
    cell: &'a CellState,
    fleet: &'a FleetState,
) -> Vec<OwnedTask<'a>> {
    jobs.owned_by(cell_id)
        .map(|(task, ledger)| owned_task(task, ledger, cell, fleet))
        .collect()
}

fn owned_task<'a>(
    task: TaskId,
    ledger: &'a TaskLedger,
    cell: &'a CellState,
    fleet: &'a FleetState,
) -> OwnedTask<'a> {
    let latest = cell.attempts().get(&task);
    let (number, token) = history(latest, ledger.released.as_ref());
    let state = match latest.map(|latest| &latest.state) {
        Some(AttemptState::Started { .. }) => TaskState::Started,
        Some(AttemptState::Ended(_)) => TaskState::Ended,
        Some(AttemptState::Released) | None => TaskState::Waiting,
    };
    OwnedTask {
        rank: ledger.owner.map_or(0, |owner| owner.rank),
        spec: fleet.jobs().get(&task.job),
        task,
        state,
        number,
        token,
        latest,
    }
}

/// Returns the newest attempt and checkpoint, whether of this cell or released by another.
fn history(
    latest: Option<&LatestAttempt>,
    released: Option<&ReleasedTask>,
) -> (u32, Option<CheckpointToken>) {
    let here = latest.map_or(0, |latest| latest.number);
    match released {
        Some(task) if task.attempt.number > here => (task.attempt.number, task.token.clone()),
        Some(_) | None => (here, latest.and_then(|latest| latest.token.clone())),
    }
}
