//! Records for the jobs stream: ended tasks, releases and claims of ranges.

use crate::cell_log::AttemptState;
use crate::job_log::{JobState, is_free};
use crate::planner::tasks::{OwnedTask, TaskState};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, CellId, DataCentreName, Epoch};
use hornbeamlead_core::note::JobSpec;
use hornbeamlead_core::record::{EndedTask, JobEntry, ReleasedTask, TaskRange};
use hornbeamlead_core::resource::ResourceSize;

/// Maximum number of tasks in one record of the jobs stream.
const TASKS_PER_RECORD: usize = 256;

/// Returns a record of the tasks that ended in this cell.
pub(crate) fn ended_entry(cell: CellId, tasks: &[OwnedTask<'_>]) -> Option<JobEntry> {
    let ended: Vec<EndedTask> = tasks
        .iter()
        .filter_map(ended_task)
        .take(TASKS_PER_RECORD)
        .collect();
    (!ended.is_empty()).then_some(JobEntry::Ended { cell, tasks: ended })
}

fn ended_task(task: &OwnedTask<'_>) -> Option<EndedTask> {
    match &task.latest?.state {
        AttemptState::Ended(phase) => Some(EndedTask {
            attempt: newest_attempt(task),
            phase: *phase,
        }),
        AttemptState::Started { .. } | AttemptState::Released => None,
    }
}

fn newest_attempt(task: &OwnedTask<'_>) -> AttemptId {
    AttemptId {
        task: task.task.clone(),
        number: task.number,
    }
}

/// Returns a record that releases the waiting tasks accepted by `should_release`.
pub(crate) fn release_entry(
    cell: CellId,
    epoch: Epoch,
    tasks: &[OwnedTask<'_>],
    should_release: impl Fn(&OwnedTask<'_>) -> bool,
) -> Option<JobEntry> {
    let released: Vec<ReleasedTask> = tasks
        .iter()
        .filter(|task| task.state == TaskState::Waiting && task.spec.is_some())
        .filter(|task| should_release(task))
        .map(|task| ReleasedTask {
            attempt: newest_attempt(task),
            token: task.token.clone(),
        })
        .take(TASKS_PER_RECORD)
        .collect();
    (!released.is_empty()).then_some(JobEntry::Release {
        cell,
        epoch,
        tasks: released,
    })
}

/// Returns whether a job's declaration allows it to run in a data centre.
pub(crate) fn allows(spec: &JobSpec, data_centre: &DataCentreName) -> bool {
    spec.data_centres.is_empty() || spec.data_centres.contains(data_centre)
}

/// Returns the first contiguous range of free tasks of a job, of at most `max_count` tasks.
pub(crate) fn free_range(spec: &JobSpec, jobs: &JobState, max_count: u32) -> Option<TaskRange> {
    let ledgers = jobs.jobs().get(&spec.name);
    let free = |index: &u32| {
        ledgers
            .and_then(|ledgers| ledgers.get(index))
            .is_none_or(is_free)
    };
    let first = (0..spec.tasks).find(free)?;
    let run = (first..spec.tasks).take_while(free).count();
    let count = u32::try_from(run).unwrap_or(u32::MAX).min(max_count);
    (count > 0).then(|| TaskRange {
        job: spec.name.clone(),
        first,
        count,
    })
}

/// Returns how many tasks of a size fit into the free capacity.
pub(crate) fn fit_count(size: &ResourceSize, free: &ResourceSize) -> u32 {
    let ratio = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    let by_cpu = ratio(u64::from(size.cpu.0), u64::from(free.cpu.0));
    let by_memory = ratio(u64::from(size.memory.0), u64::from(free.memory.0));
    let by_accelerators = ratio(
        u64::from(size.accelerators.0),
        u64::from(free.accelerators.0),
    );
    let count = by_cpu.min(by_memory).min(by_accelerators);
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Jobs considered by a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimScope {
    /// Urgent jobs only; they are claimed before any other record is written.
    Urgent,
    /// All jobs.
    All,
}

/// Returns the jobs with free tasks for a data centre, in the order in which to claim them.
pub(crate) fn claimable<'a>(
    scope: ClaimScope,
    fleet: &'a FleetState,
    jobs: &JobState,
    data_centre: &DataCentreName,
) -> Vec<&'a JobSpec> {
    let mut specs: Vec<&JobSpec> = fleet
        .jobs()
        .values()
        .filter(|spec| spec.urgent || scope == ClaimScope::All)
        .filter(|spec| allows(spec, data_centre))
        .filter(|spec| free_range(spec, jobs, 1).is_some())
        .collect();
    specs.sort_by_key(|spec| (!spec.urgent, spec.deadline, u8::MAX - spec.priority));
    specs
}
