//! Snapshot of the ledger in the store, in parts that fit one record each.

use crate::ids::{HostName, JobId, RunNumber, StreamOffset, WorkerIncarnation};
use crate::job::JobPhase;
use crate::ledger::{
    JobLedger, JobState, LearnedInterference, OccurrenceState, TaskPlacement, TaskState,
};
use crate::record::{DecodeError, decode, encode};
use crate::store::{NewRecord, ReadRecord};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Largest part, in bytes; below the store's limit of 256 KiB a record.
const PART_BYTES: usize = 200 * 1024;

/// Part of a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotPart {
    /// Offset of the plan stream up to which the snapshot holds everything.
    plan_offset: StreamOffset,
    /// Number of this part.
    number: u32,
    /// Number of parts.
    parts: u32,
    /// Bytes of this part.
    content: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct PlacementForm {
    run: RunNumber,
    host: HostName,
    incarnation: WorkerIncarnation,
}

#[derive(Serialize, Deserialize)]
struct TaskForm {
    last_run: RunNumber,
    failures: u16,
    saved: Option<Box<str>>,
    done: bool,
    placements: Vec<PlacementForm>,
}

#[derive(Serialize, Deserialize)]
struct JobForm {
    queue: Box<str>,
    phase: JobPhase,
    occurrences: BTreeMap<u32, Vec<Vec<TaskForm>>>,
}

#[derive(Serialize, Deserialize)]
struct LedgerForm {
    jobs: BTreeMap<JobId, JobForm>,
    ended: BTreeMap<JobId, JobPhase>,
    hosts: BTreeMap<HostName, SocketAddr>,
    jobs_read: StreamOffset,
    learned: Vec<LearnedInterference>,
}

impl From<&TaskState> for TaskForm {
    fn from(task: &TaskState) -> Self {
        let placement = |placement: &TaskPlacement| PlacementForm {
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

impl From<TaskForm> for TaskState {
    fn from(form: TaskForm) -> Self {
        let placement = |form: PlacementForm| TaskPlacement {
            run: form.run,
            host: form.host,
            incarnation: form.incarnation,
        };
        Self {
            last_run: form.last_run,
            failures: form.failures,
            saved: form.saved,
            done: form.done,
            placements: form.placements.into_iter().map(placement).collect(),
        }
    }
}

impl From<&JobState> for JobForm {
    fn from(job: &JobState) -> Self {
        let tasks = |tasks: &Vec<TaskState>| tasks.iter().map(TaskForm::from).collect();
        let steps = |state: &OccurrenceState| state.steps.iter().map(tasks).collect();
        let occurrences = job
            .occurrences
            .iter()
            .map(|(&key, state)| (key, steps(state)));
        Self {
            queue: job.queue.clone(),
            phase: job.phase,
            occurrences: occurrences.collect(),
        }
    }
}

impl From<JobForm> for JobState {
    fn from(form: JobForm) -> Self {
        let tasks = |tasks: Vec<TaskForm>| tasks.into_iter().map(TaskState::from).collect();
        let state = |steps: Vec<Vec<TaskForm>>| OccurrenceState {
            steps: steps.into_iter().map(tasks).collect(),
        };
        let occurrences = form.occurrences.into_iter();
        Self {
            record: None,
            queue: form.queue,
            phase: form.phase,
            occurrences: occurrences
                .map(|(key, steps)| (key, state(steps)))
                .collect(),
        }
    }
}

impl From<&JobLedger> for LedgerForm {
    fn from(ledger: &JobLedger) -> Self {
        Self {
            jobs: ledger
                .jobs
                .iter()
                .map(|(&job, state)| (job, state.into()))
                .collect(),
            ended: ledger.ended.clone(),
            hosts: ledger.hosts.clone(),
            jobs_read: ledger.jobs_read,
            learned: ledger.learned.clone(),
        }
    }
}

impl From<LedgerForm> for JobLedger {
    fn from(form: LedgerForm) -> Self {
        let jobs = form.jobs.into_iter();
        Self {
            jobs: jobs.map(|(job, state)| (job, state.into())).collect(),
            ended: form.ended,
            hosts: form.hosts,
            jobs_read: form.jobs_read,
            learned: form.learned,
        }
    }
}

/// Makes the records of a snapshot, to be appended together.
#[must_use]
pub fn snapshot_records(ledger: &JobLedger, plan_offset: StreamOffset) -> Vec<NewRecord> {
    let content = encode(&LedgerForm::from(ledger));
    let parts = content.chunks(PART_BYTES);
    let count = parts.len() as u32;
    let record = |(number, content): (usize, &[u8])| NewRecord {
        key: Some(format!("part/{number}").into()),
        value: Some(encode(&SnapshotPart {
            plan_offset,
            number: number as u32,
            parts: count,
            content: content.to_vec(),
        })),
    };
    parts.enumerate().map(record).collect()
}

/// Puts a snapshot together; none where there is none or its parts belong to different ones.
///
/// # Errors
/// Returns [`DecodeError`] for bytes of another writer.
pub fn read_snapshot(
    records: &[ReadRecord],
) -> Result<Option<(JobLedger, StreamOffset)>, DecodeError> {
    let values = records.iter().filter_map(|record| record.value.as_ref());
    let parts = values.map(|value: &Bytes| decode::<SnapshotPart>(value));
    let mut parts = parts.collect::<Result<Vec<_>, _>>()?;
    let Some(newest) = parts.iter().map(|part| part.plan_offset).max() else {
        return Ok(None);
    };
    parts.retain(|part| part.plan_offset == newest);
    parts.sort_by_key(|part| part.number);
    let expected = parts.first().map_or(0, |part| part.parts as usize);
    if parts.len() != expected {
        return Ok(None);
    }
    let content: Vec<u8> = parts.into_iter().flat_map(|part| part.content).collect();
    let form: LedgerForm = decode(&content)?;
    Ok(Some((form.into(), newest)))
}
