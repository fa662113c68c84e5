//! Form in which a ledger is stored.

use crate::ids::{
    HostName, JobId, PlannerEpoch, RunNumber, StreamOffset, TaskName, TaskSlot, WorkerIncarnation,
};
use crate::job::JobPhase;
use crate::ledger::{
    CrashHistory, EndedAges, IndexRanges, JobLedger, JobState, LearnedInterference,
    OccurrenceState, StepState, TaskCrashes, TaskPlacement, TaskState, WorkerFailures,
};
use crate::placed::PlacedReport;
use crate::record::{DecodeError, decode_first, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// First byte of a ledger. Versions before list all tasks, and must not take this one for theirs: they
/// would start again what is done.
pub(super) const LEDGER_VERSION: u8 = 2;

#[derive(Serialize, Deserialize)]
pub(super) struct StoredPlacement {
    pub(super) run: RunNumber,
    pub(super) host: HostName,
    pub(super) incarnation: WorkerIncarnation,
}

#[derive(Serialize, Deserialize)]
pub(super) struct StoredTask {
    pub(super) last_run: RunNumber,
    pub(super) failures: u16,
    pub(super) saved: Option<Box<str>>,
    pub(super) done: bool,
    pub(super) placements: Vec<StoredPlacement>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct StoredStep {
    pub(super) count: u32,
    pub(super) last_run: RunNumber,
    pub(super) newest_saved: Option<Box<str>>,
    pub(super) waiting: IndexRanges,
    pub(super) touched: BTreeMap<u32, StoredTask>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct StoredJob {
    pub(super) queue: Box<str>,
    pub(super) phase: JobPhase,
    pub(super) occurrences: BTreeMap<u32, Vec<StoredStep>>,
    pub(super) completed: IndexRanges,
}

/// Job in a snapshot of an earlier version, which lists all tasks.
#[derive(Deserialize)]
pub(super) struct ListedJob {
    pub(super) queue: Box<str>,
    pub(super) phase: JobPhase,
    pub(super) occurrences: BTreeMap<u32, Vec<Vec<StoredTask>>>,
}

/// What follows the jobs in a ledger.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredRest {
    pub(super) ended: BTreeMap<JobId, JobPhase>,
    pub(super) hosts: BTreeMap<HostName, SocketAddr>,
    pub(super) jobs_read: StreamOffset,
    pub(super) learned: Vec<LearnedInterference>,
}

/// What is known of leases. Follows the ledger, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredLeases {
    pub(super) confirmed_grants: bool,
    /// Lease bounds in milliseconds.
    pub(super) lease_bounds: BTreeMap<HostName, u32>,
}

/// Planner that wrote the snapshot. Follows the leases, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredOrigin {
    pub(super) journaled: Option<PlannerEpoch>,
}

/// Failures of workers and tasks. Follow the origin, since earlier versions ignore what does.
#[derive(Default, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredFailures {
    pub(super) workers: BTreeMap<HostName, WorkerFailures>,
    pub(super) tasks: BTreeMap<TaskName, Vec<HostName>>,
}

/// Jobs that are placed and not known to have begun. Follow the failures, since earlier versions
/// ignore what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredPlaced {
    pub(super) report: Option<PlacedReport>,
}

/// Crashes of workers under tasks. Follow the placed jobs, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredCrashes {
    pub(super) tasks: BTreeMap<TaskSlot, TaskCrashes>,
}

/// Moments of crashes, and crashes in a row under tasks. Follow the crashes, since earlier versions ignore
/// what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredHistory {
    pub(super) history: CrashHistory,
}

/// Ages of ended jobs. Follow the history, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct StoredAges {
    pub(super) ages: EndedAges,
}

impl From<&JobLedger> for StoredFailures {
    fn from(ledger: &JobLedger) -> Self {
        Self {
            workers: ledger.worker_failures.clone(),
            tasks: ledger.failed_hosts.clone(),
        }
    }
}

impl From<&JobLedger> for StoredLeases {
    fn from(ledger: &JobLedger) -> Self {
        let bounds = ledger.lease_bounds.iter();
        Self {
            confirmed_grants: ledger.confirmed_grants,
            lease_bounds: bounds
                .map(|(host, remaining)| (host.clone(), remaining.as_millis() as u32))
                .collect(),
        }
    }
}

impl From<&TaskState> for StoredTask {
    fn from(task: &TaskState) -> Self {
        let placement = |placement: &TaskPlacement| StoredPlacement {
            run: placement.run,
            host: placement.host.clone(),
            incarnation: placement.incarnation.clone(),
        };
        Self {
            last_run: task.last_run,
            failures: task.failures,
            saved: task.saved.clone(),
            done: task.done,
            placements: task.placements.iter().map(placement).collect(),
        }
    }
}

impl From<StoredTask> for TaskState {
    fn from(stored: StoredTask) -> Self {
        let placement = |stored: StoredPlacement| TaskPlacement {
            run: stored.run,
            host: stored.host,
            incarnation: stored.incarnation,
        };
        Self {
            last_run: stored.last_run,
            failures: stored.failures,
            saved: stored.saved,
            done: stored.done,
            placements: stored.placements.into_iter().map(placement).collect(),
        }
    }
}

impl From<&StepState> for StoredStep {
    fn from(step: &StepState) -> Self {
        let (waiting, touched) = step.parts();
        let touched = touched.iter();
        Self {
            count: step.len() as u32,
            last_run: step.last_run(),
            newest_saved: step.newest_saved().map(Box::from),
            waiting: waiting.clone(),
            touched: touched.map(|(&index, task)| (index, task.into())).collect(),
        }
    }
}

impl From<StoredStep> for StepState {
    fn from(stored: StoredStep) -> Self {
        let touched = stored.touched.into_iter();
        let touched = touched.map(|(index, task)| (index, task.into())).collect();
        let numbers = (stored.count, stored.last_run);
        Self::from_parts(numbers, stored.newest_saved, stored.waiting, touched)
    }
}

impl From<&JobState> for StoredJob {
    fn from(job: &JobState) -> Self {
        let steps = |state: &OccurrenceState| state.steps.iter().map(StoredStep::from).collect();
        let occurrences = job
            .occurrences
            .iter()
            .map(|(&key, state)| (key, steps(state)));
        Self {
            queue: job.queue.clone(),
            phase: job.phase,
            occurrences: occurrences.collect(),
            completed: job.completed().clone(),
        }
    }
}

impl From<StoredJob> for JobState {
    fn from(stored: StoredJob) -> Self {
        let state = |steps: Vec<StoredStep>| OccurrenceState {
            steps: steps.into_iter().map(StepState::from).collect(),
        };
        let occurrences = stored.occurrences.into_iter();
        let occurrences = occurrences.map(|(key, steps)| (key, state(steps)));
        let (queue, phase) = (stored.queue, stored.phase);
        Self::restore(queue, phase, occurrences.collect(), stored.completed)
    }
}

impl From<ListedJob> for JobState {
    fn from(listed: ListedJob) -> Self {
        let step = |tasks: Vec<StoredTask>| {
            let tasks = tasks.into_iter().map(TaskState::from);
            StepState::from_tasks(tasks)
        };
        let state = |steps: Vec<Vec<StoredTask>>| OccurrenceState {
            steps: steps.into_iter().map(step).collect(),
        };
        let occurrences = listed.occurrences.into_iter();
        let occurrences = occurrences.map(|(key, steps)| (key, state(steps)));
        let (queue, phase) = (listed.queue, listed.phase);
        Self::restore(queue, phase, occurrences.collect(), IndexRanges::default())
    }
}

impl From<&JobLedger> for StoredRest {
    fn from(ledger: &JobLedger) -> Self {
        Self {
            ended: ledger
                .ended
                .iter()
                .map(|(&job, &phase)| (job, phase))
                .collect(),
            hosts: ledger.hosts.clone(),
            jobs_read: ledger.jobs_read,
            learned: ledger.learned.clone(),
        }
    }
}

impl From<StoredRest> for JobLedger {
    fn from(stored: StoredRest) -> Self {
        Self {
            ended: stored.ended.into(),
            hosts: stored.hosts,
            jobs_read: stored.jobs_read,
            learned: stored.learned,
            ..Self::default()
        }
    }
}

/// Encodes what snapshots of earlier versions lack, up to the last part that is not empty: each
/// is known by its position.
pub(super) fn encode_optional(ledger: &JobLedger) -> Vec<u8> {
    let (journaled, report) = (ledger.journaled, ledger.placed.clone());
    let (failures, tasks) = (StoredFailures::from(ledger), ledger.crashes.clone());
    let history = ledger.crash_history.clone();
    let ages = ledger.ages.clone();
    let present = [
        journaled.is_some(),
        failures != StoredFailures::default(),
        report.is_some(),
        !tasks.is_empty(),
        !history.is_empty(),
        !ages.is_empty(),
    ];
    let parts = [
        encode(&StoredOrigin { journaled }),
        encode(&failures),
        encode(&StoredPlaced { report }),
        encode(&StoredCrashes { tasks }),
        encode(&StoredHistory { history }),
        encode(&StoredAges { ages }),
    ];
    let count = present.iter().rposition(|present| *present);
    let count = count.map_or(0, |last| last + 1);
    parts[..count].concat()
}

/// Decodes a value that snapshots of earlier versions lack.
pub(super) fn decode_optional<T: Default + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), DecodeError> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        bytes => decode_first(bytes),
    }
}
