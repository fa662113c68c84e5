//! Snapshots of the ledger in the store, split into parts of one record each.

use crate::ids::{
    HostName, JobId, PlannerEpoch, RunNumber, StreamOffset, TaskName, TaskSlot, WorkerIncarnation,
};
use crate::job::JobPhase;
use crate::ledger::{
    CrashHistory, EndedAges, IndexRanges, JobLedger, JobState, LearnedInterference,
    OccurrenceState, StepState, TaskCrashes, TaskPlacement, TaskState, WorkerFailures,
};
use crate::placed::PlacedReport;
use crate::record::{DecodeError, decode_after, decode_first, encode, encode_after, take_value};
use crate::store::{NewRecord, ReadRecord};
use bytes::Bytes;
use imbl::OrdMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a part, in bytes; the store limits a record to 256 KiB.
const PART_BYTES: usize = 200 * 1024;

/// First byte of a ledger. Versions before list all tasks, and must not take this one for theirs: they
/// would start again what is done.
const LEDGER_VERSION: u8 = 2;

/// Keys under which the parts of a snapshot are stored. Successive planners use different ones, as
/// a late snapshot of a deposed planner would otherwise replace a part of its successor's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SnapshotSet {
    /// Keys of versions that know no sets.
    #[default]
    First,
    /// The other keys.
    Second,
}

impl SnapshotSet {
    /// Returns the set of the next planner.
    #[must_use]
    pub fn next(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }

    /// Returns the set of the newest snapshot that [`read_snapshot`] finds in the records.
    #[must_use]
    pub fn of_newest(records: &[ReadRecord]) -> Self {
        let (complete, _) = complete_snapshots(records);
        complete.first().map_or(Self::default(), |(set, _)| *set)
    }

    /// Returns the set of a key; `None` for a key of another writer.
    fn of_key(key: &str) -> Option<Self> {
        let sets = [Self::First, Self::Second];
        sets.into_iter().find(|set| key.starts_with(set.prefix()))
    }

    fn prefix(self) -> &'static str {
        match self {
            Self::First => "part/",
            Self::Second => "part2/",
        }
    }
}

/// What precedes the content of a part.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PartHeader {
    /// Offset of the plan stream before which all records are included in the snapshot.
    plan_offset: StreamOffset,
    /// Index of this part, from 0.
    number: u32,
    /// Number of parts of the snapshot.
    parts: u32,
    /// Length of the content, in bytes.
    length: u64,
}

/// Part of a snapshot.
#[derive(Clone, Debug)]
struct SnapshotPart {
    header: PartHeader,
    /// Slice of the encoded ledger, which is followed by what is known of leases.
    content: Bytes,
}

impl SnapshotPart {
    fn encode(header: PartHeader, content: &[u8]) -> Bytes {
        [&encode(&header), content].concat().into()
    }

    fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (header, rest) = decode_first::<PartHeader>(bytes)?;
        let length = usize::try_from(header.length).unwrap_or(usize::MAX);
        let content = rest.get(..length).ok_or_else(|| DecodeError::Malformed {
            cause: "a part is cut off".into(),
        })?;
        Ok(Self {
            header,
            content: bytes.slice_ref(content),
        })
    }
}

#[derive(Serialize, Deserialize)]
struct StoredPlacement {
    run: RunNumber,
    host: HostName,
    incarnation: WorkerIncarnation,
}

#[derive(Serialize, Deserialize)]
struct StoredTask {
    last_run: RunNumber,
    failures: u16,
    saved: Option<Box<str>>,
    done: bool,
    placements: Vec<StoredPlacement>,
}

#[derive(Serialize, Deserialize)]
struct StoredStep {
    count: u32,
    last_run: RunNumber,
    waiting: IndexRanges,
    touched: BTreeMap<u32, StoredTask>,
}

#[derive(Serialize, Deserialize)]
struct StoredJob {
    queue: Box<str>,
    phase: JobPhase,
    occurrences: BTreeMap<u32, Vec<StoredStep>>,
    completed: IndexRanges,
}

/// Job in a snapshot of an earlier version, which lists all tasks.
#[derive(Deserialize)]
struct ListedJob {
    queue: Box<str>,
    phase: JobPhase,
    occurrences: BTreeMap<u32, Vec<Vec<StoredTask>>>,
}

/// What follows the jobs in a ledger.
#[derive(Serialize, Deserialize)]
struct StoredRest {
    ended: BTreeMap<JobId, JobPhase>,
    hosts: BTreeMap<HostName, SocketAddr>,
    jobs_read: StreamOffset,
    learned: Vec<LearnedInterference>,
}

/// What is known of leases. Follows the ledger, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredLeases {
    confirmed_grants: bool,
    /// Lease bounds in milliseconds.
    lease_bounds: BTreeMap<HostName, u32>,
}

/// Planner that wrote the snapshot. Follows the leases, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredOrigin {
    journaled: Option<PlannerEpoch>,
}

/// Failures of workers and tasks. Follow the origin, since earlier versions ignore what does.
#[derive(Default, PartialEq, Serialize, Deserialize)]
struct StoredFailures {
    workers: BTreeMap<HostName, WorkerFailures>,
    tasks: BTreeMap<TaskName, Vec<HostName>>,
}

/// Jobs that are placed and not known to have begun. Follow the failures, since earlier versions
/// ignore what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredPlaced {
    report: Option<PlacedReport>,
}

/// Crashes of workers under tasks. Follow the placed jobs, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredCrashes {
    tasks: BTreeMap<TaskSlot, TaskCrashes>,
}

/// Moments of crashes, and crashes in a row under tasks. Follow the crashes, since earlier versions ignore
/// what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredHistory {
    history: CrashHistory,
}

/// Ages of ended jobs. Follow the history, since earlier versions ignore what does.
#[derive(Default, Serialize, Deserialize)]
struct StoredAges {
    ages: EndedAges,
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
        let (count, last_run, waiting, touched) = step.parts();
        let touched = touched.iter();
        Self {
            count,
            last_run,
            waiting: waiting.clone(),
            touched: touched.map(|(&index, task)| (index, task.into())).collect(),
        }
    }
}

impl From<StoredStep> for StepState {
    fn from(stored: StoredStep) -> Self {
        let touched = stored.touched.into_iter();
        let touched = touched.map(|(index, task)| (index, task.into())).collect();
        Self::from_parts(stored.count, stored.last_run, stored.waiting, touched)
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

/// Encodes a snapshot job by job, so that the encoding of a large ledger can be spread over time.
#[derive(Debug)]
pub struct SnapshotEncoder {
    ledger: JobLedger,
    plan_offset: StreamOffset,
    /// Last job that is encoded.
    last: Option<JobId>,
    content: Vec<u8>,
}

impl SnapshotEncoder {
    /// Begins the snapshot of a ledger that includes all records of the plan before an offset.
    #[must_use]
    pub fn new(ledger: JobLedger, plan_offset: StreamOffset) -> Self {
        // A map is encoded as its length and its entries.
        let content = encode_after(LEDGER_VERSION, &(ledger.jobs.len() as u64)).to_vec();
        Self {
            ledger,
            plan_offset,
            last: None,
            content,
        }
    }

    /// Offset of the plan before which all records are included.
    #[must_use]
    pub fn plan_offset(&self) -> StreamOffset {
        self.plan_offset
    }

    /// Encodes more jobs, until they take so many bytes. Returns whether all are encoded.
    pub fn advance(&mut self, bytes: usize) -> bool {
        let from = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let most = self.content.len().saturating_add(bytes);
        for (&job, state) in self.ledger.jobs.range((from, Bound::Unbounded)) {
            if self.content.len() >= most {
                return false;
            }
            let row = (job, StoredJob::from(&**state));
            // Writing to a vector does not fail.
            let content = std::mem::take(&mut self.content);
            self.content = postcard::to_extend(&row, content).unwrap_or_default();
            self.last = Some(job);
        }
        true
    }

    /// Returns the records of the snapshot. Those under one set of keys replace each other.
    #[must_use]
    pub fn finish(mut self, set: SnapshotSet) -> Vec<NewRecord> {
        self.advance(usize::MAX);
        let rest = StoredRest::from(&self.ledger);
        let mut content = postcard::to_extend(&rest, self.content).unwrap_or_default();
        content.extend(encode(&StoredLeases::from(&self.ledger)));
        content.extend(encode_optional(&self.ledger));
        let parts = content.chunks(PART_BYTES);
        let count = parts.len() as u32;
        let record = |(number, content): (usize, &[u8])| NewRecord {
            key: Some(format!("{}{number}", set.prefix()).into()),
            value: Some(SnapshotPart::encode(
                PartHeader {
                    plan_offset: self.plan_offset,
                    number: number as u32,
                    parts: count,
                    length: content.len() as u64,
                },
                content,
            )),
        };
        parts.enumerate().map(record).collect()
    }
}

/// Encodes a snapshot as records.
#[must_use]
pub fn snapshot_records(
    ledger: &JobLedger,
    plan_offset: StreamOffset,
    set: SnapshotSet,
) -> Vec<NewRecord> {
    SnapshotEncoder::new(ledger.clone(), plan_offset).finish(set)
}

/// Encodes what snapshots of earlier versions lack, up to the last part that is not empty: each
/// is known by its position.
fn encode_optional(ledger: &JobLedger) -> Vec<u8> {
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

/// Returns the parts of all complete snapshots in order, with their sets, and the error of a part that
/// cannot be decoded. The newest snapshot is the first.
fn complete_snapshots(
    records: &[ReadRecord],
) -> (Vec<(SnapshotSet, Vec<SnapshotPart>)>, Option<DecodeError>) {
    let mut snapshots = BTreeMap::<StreamOffset, (SnapshotSet, Vec<SnapshotPart>)>::new();
    let mut unreadable = None;
    for record in records {
        let (Some(value), Some(set)) = (&record.value, SnapshotSet::of_key(&record.key)) else {
            continue;
        };
        match SnapshotPart::decode(value) {
            Ok(part) => {
                let snapshot = snapshots.entry(part.header.plan_offset);
                let (_, parts) = snapshot.or_insert_with(|| (set, Vec::new()));
                parts.push(part);
            }
            Err(error) => unreadable = Some(error),
        }
    }
    let is_complete = |parts: &[SnapshotPart]| {
        let expected = parts.first().map(|part| part.header.parts as usize);
        expected == Some(parts.len())
    };
    let newest_first = snapshots.into_values().rev();
    let mut complete: Vec<_> = newest_first
        .filter(|(_, parts)| is_complete(parts))
        .collect();
    for (_, parts) in &mut complete {
        parts.sort_by_key(|part| part.header.number);
    }
    (complete, unreadable)
}

/// Assembles the newest complete snapshot that can be decoded and returns it with its plan offset.
/// Returns `None` if no snapshot is complete, as when parts of it were replaced by those of another.
///
/// # Errors
/// Returns [`DecodeError`] if no snapshot can be decoded, because a part or a ledger has another version
/// or is malformed.
pub fn read_snapshot(records: &[ReadRecord]) -> SnapshotOutcome {
    let mut reader = SnapshotReader::new(records);
    loop {
        if let Some(outcome) = reader.advance(usize::MAX) {
            return outcome;
        }
    }
}

/// Outcome of [`read_snapshot`].
pub type SnapshotOutcome = Result<Option<(JobLedger, StreamOffset)>, DecodeError>;

/// Decodes the newest complete snapshot job by job, so that the decoding of a large one can be spread
/// over time.
#[derive(Clone, Debug)]
pub struct SnapshotReader {
    /// Complete snapshots that have not been tried, the newest first.
    complete: VecDeque<Vec<SnapshotPart>>,
    current: Option<LedgerDecoder>,
    unreadable: Option<DecodeError>,
}

impl SnapshotReader {
    /// Creates a reader of the newest records of the snapshots stream.
    #[must_use]
    pub fn new(records: &[ReadRecord]) -> Self {
        let (complete, unreadable) = complete_snapshots(records);
        Self {
            complete: complete.into_iter().map(|(_, parts)| parts).collect(),
            current: None,
            unreadable,
        }
    }

    /// Decodes more jobs, until they take so many bytes, and returns what [`read_snapshot`] does once that
    /// is known.
    pub fn advance(&mut self, bytes: usize) -> Option<SnapshotOutcome> {
        let decoder = match &mut self.current {
            Some(decoder) => decoder,
            None => match self.complete.pop_front() {
                Some(parts) => self.current.insert(LedgerDecoder::new(parts)),
                None => return Some(self.unreadable.take().map_or(Ok(None), Err)),
            },
        };
        match decoder.advance(bytes) {
            Ok(true) => {
                let decoder = self.current.take()?;
                let offset = decoder.plan_offset;
                match decoder.finish() {
                    Ok(ledger) => return Some(Ok(Some((ledger, offset)))),
                    Err(error) => self.unreadable = Some(error),
                }
            }
            Ok(false) => {}
            Err(error) => {
                self.unreadable = Some(error);
                self.current = None;
            }
        }
        None
    }
}

/// Decodes the ledger of a complete snapshot.
#[derive(Clone, Debug)]
struct LedgerDecoder {
    plan_offset: StreamOffset,
    content: Vec<u8>,
    /// Length of what is decoded.
    position: usize,
    /// Whether the snapshot is of an earlier version, which lists all tasks.
    is_listed: bool,
    /// Number of jobs that are not decoded yet, once it is known.
    jobs_left: Option<u64>,
    jobs: OrdMap<JobId, Arc<JobState>>,
}

impl LedgerDecoder {
    fn new(parts: Vec<SnapshotPart>) -> Self {
        let plan_offset = parts.first().map_or(0, |part| part.header.plan_offset);
        let contents: Vec<_> = parts.into_iter().map(|part| part.content).collect();
        let content = contents.concat();
        Self {
            plan_offset,
            is_listed: content.first() != Some(&LEDGER_VERSION),
            content,
            position: 0,
            jobs_left: None,
            jobs: OrdMap::new(),
        }
    }

    /// Decodes more jobs, until they take so many bytes. Returns whether all are decoded.
    fn advance(&mut self, bytes: usize) -> Result<bool, DecodeError> {
        let mut left = match self.jobs_left {
            Some(left) => left,
            None => self.take_count()?,
        };
        let most = self.position.saturating_add(bytes);
        while left > 0 && self.position < most {
            let (job, state) = match self.is_listed {
                true => self
                    .take::<(JobId, ListedJob)>()
                    .map(|(job, it)| (job, it.into()))?,
                false => self
                    .take::<(JobId, StoredJob)>()
                    .map(|(job, it)| (job, it.into()))?,
            };
            self.jobs.insert(job, Arc::new(state));
            left -= 1;
        }
        self.jobs_left = Some(left);
        Ok(left == 0)
    }

    /// Decodes the number of jobs, after the version.
    fn take_count(&mut self) -> Result<u64, DecodeError> {
        let (count, rest) = match self.is_listed {
            true => decode_first::<u64>(&self.content)?,
            false => decode_after::<u64>(LEDGER_VERSION, &self.content)?,
        };
        self.position = self.content.len() - rest.len();
        Ok(count)
    }

    fn take<T: DeserializeOwned>(&mut self) -> Result<T, DecodeError> {
        let bytes = self.content.get(self.position..).unwrap_or_default();
        let (value, rest) = take_value(bytes)?;
        self.position = self.content.len() - rest.len();
        Ok(value)
    }

    /// Decodes what follows the jobs.
    fn finish(mut self) -> Result<JobLedger, DecodeError> {
        let base = self.take::<StoredRest>()?;
        let rest = self.content.get(self.position..).unwrap_or_default();
        let (leases, rest) = decode_optional::<StoredLeases>(rest)?;
        let (origin, rest) = decode_optional::<StoredOrigin>(rest)?;
        let (failures, rest) = decode_optional::<StoredFailures>(rest)?;
        let (placed, rest) = decode_optional::<StoredPlaced>(rest)?;
        let (crashes, rest) = decode_optional::<StoredCrashes>(rest)?;
        let (moments, rest) = decode_optional::<StoredHistory>(rest)?;
        let (stored_ages, _) = decode_optional::<StoredAges>(rest)?;
        let bounds = leases.lease_bounds.into_iter();
        Ok(JobLedger {
            jobs: self.jobs,
            confirmed_grants: leases.confirmed_grants,
            lease_bounds: bounds
                .map(|(host, ms)| (host, Duration::from_millis(ms.into())))
                .collect(),
            journaled: origin.journaled,
            worker_failures: failures.workers,
            failed_hosts: failures.tasks,
            placed: placed.report,
            crashes: crashes.tasks,
            crash_history: moments.history,
            ages: stored_ages.ages.restored(),
            ..base.into()
        })
    }
}

/// Decodes a value that snapshots of earlier versions lack.
fn decode_optional<T: Default + DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        bytes => decode_first(bytes),
    }
}
