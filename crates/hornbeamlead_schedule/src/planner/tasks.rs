//! Tasks of the cell as jobs stream and cell stream together show them.

use crate::cell_log::{AttemptState, CellState, LatestAttempt};
use crate::job_log::{JobState, TaskLedger};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CellId, TaskId};
use hornbeamlead_core::note::JobSpec;
use hornbeamlead_core::record::ReleasedTask;
use hornbeamlead_core::task::CheckpointToken;

/// What the two streams say of a task that the cell owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It may be started, as the next attempt.
    Waiting,
    /// Its newest attempt was started and has not been seen to end.
    Started,
    /// It ended in this cell; the jobs stream does not have that yet.
    Ended,
}

/// Task that the cell owns.
#[derive(Clone, Debug)]
pub(crate) struct OwnedTask<'a> {
    /// Task.
    pub(crate) task: TaskId,
    /// Rank of the claim.
    pub(crate) rank: u64,
    /// Declaration; `None` once withdrawn.
    pub(crate) spec: Option<&'a JobSpec>,
    /// State.
    pub(crate) state: TaskState,
    /// Number of the newest attempt; 0 for none.
    pub(crate) number: u32,
    /// Newest checkpoint.
    pub(crate) token: Option<CheckpointToken>,
    /// Newest attempt in this cell.
    pub(crate) standing: Option<&'a LatestAttempt>,
}

/// Lists the tasks that a cell owns.
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
    let standing = cell.attempts().get(&task);
    let (number, token) = history(standing, ledger.released.as_ref());
    let state = match standing.map(|standing| &standing.state) {
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
        standing,
    }
}

/// Returns the newest attempt and checkpoint, known here or released by another cell.
fn history(
    standing: Option<&LatestAttempt>,
    released: Option<&ReleasedTask>,
) -> (u32, Option<CheckpointToken>) {
    let here = standing.map_or(0, |standing| standing.number);
    match released {
        Some(task) if task.attempt.number > here => (task.attempt.number, task.token.clone()),
        Some(_) | None => (here, standing.and_then(|standing| standing.token.clone())),
    }
}
