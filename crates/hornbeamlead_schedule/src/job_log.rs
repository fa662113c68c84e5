//! Replay of the jobs stream: which cell owns each task, what was released and what ended.

use crate::stream::StreamState;
use hornbeamlead_core::ids::{CellId, Epoch, JobName, LogOffset, RecordId, TaskId};
use hornbeamlead_core::record::{
    EndedTask, JobEntry, JobRecord, JobSnapshot, LogRecord, OwnedRange, ReleasedTask, TaskRange,
    WriterPosition,
};
use std::collections::BTreeMap;

/// Owner of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskOwner {
    /// Owning cell.
    pub cell: CellId,
    /// Rank of the claim among all claims; lower ranks count against a quota first.
    pub rank: u64,
}

/// Ownership and result of a task, as recorded on the jobs stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskLedger {
    /// Owning cell; `None` while the task can be claimed or once it has ended.
    pub owner: Option<TaskOwner>,
    /// Newest release, from whose checkpoint the next owner resumes.
    pub released: Option<ReleasedTask>,
    /// Final attempt and its phase; `None` until the task has ended.
    pub ended: Option<EndedTask>,
}

/// Tasks of one job that have been claimed at least once, by index.
pub type JobLedger = BTreeMap<u32, TaskLedger>;

/// State built by replaying the jobs stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobState {
    next: LogOffset,
    ranks: u64,
    jobs: BTreeMap<JobName, JobLedger>,
    writer_positions: BTreeMap<CellId, WriterPosition>,
}

impl JobState {
    /// Returns the jobs of which a task has been claimed at least once.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobName, JobLedger> {
        &self.jobs
    }

    /// Returns the ledger of a task; `None` if it was never claimed.
    #[must_use]
    pub fn task(&self, task: &TaskId) -> Option<&TaskLedger> {
        self.jobs.get(&task.job)?.get(&task.index)
    }

    /// Returns whether a cell owns a task; no cell owns a task that has ended.
    #[must_use]
    pub fn owns(&self, cell: CellId, task: &TaskId) -> bool {
        self.task(task).is_some_and(|ledger| is_owner(ledger, cell))
    }

    /// Returns the position of the newest record that a planner of the cell wrote.
    #[must_use]
    pub fn position(&self, cell: CellId) -> Option<&WriterPosition> {
        self.writer_positions.get(&cell)
    }

    /// Returns the tasks that a cell owns.
    pub fn owned_by(&self, cell: CellId) -> impl Iterator<Item = (TaskId, &TaskLedger)> {
        self.jobs.iter().flat_map(move |(job, ledgers)| {
            ledgers
                .iter()
                .filter(move |(_, ledger)| is_owner(ledger, cell))
                .map(|(index, ledger)| (task_id(job, *index), ledger))
        })
    }

    /// Returns a snapshot of the jobs that `keep` accepts.
    pub fn snapshot(&self, keep: impl Fn(&JobName) -> bool) -> JobSnapshot {
        let kept: Vec<_> = self.jobs.iter().filter(|(job, _)| keep(job)).collect();
        let ledgers = || kept.iter().flat_map(|(_, ledgers)| ledgers.values());
        JobSnapshot {
            up_to: self.next,
            owned: owned_ranges(&kept),
            released: ledgers()
                .filter_map(|ledger| ledger.released.clone())
                .collect(),
            ended: ledgers()
                .filter_map(|ledger| ledger.ended.clone())
                .collect(),
            writer_positions: self.writer_positions.values().copied().collect(),
        }
    }

    fn apply_entry(&mut self, entry: &JobEntry) {
        match entry {
            JobEntry::Claim { cell, range, .. } => self.claim(*cell, range),
            JobEntry::Release { cell, tasks, .. } => {
                tasks.iter().for_each(|task| self.release(*cell, task));
            }
            JobEntry::Ended { cell, tasks } => {
                tasks.iter().for_each(|task| self.end(*cell, task));
            }
            JobEntry::Snapshot(_) => {}
        }
    }

    /// Assigns a range to a cell; rejected as a whole if any of its tasks is owned or has ended.
    fn claim(&mut self, cell: CellId, range: &TaskRange) {
        let indexes = range.first..range.first.saturating_add(range.count);
        let ledgers = self.jobs.entry(range.job.clone()).or_default();
        let free = ledgers
            .range(indexes.clone())
            .all(|(_, ledger)| is_free(ledger));
        if !free || range.count == 0 {
            return;
        }
        self.ranks += 1;
        let owner = TaskOwner {
            cell,
            rank: self.ranks,
        };
        for index in indexes {
            ledgers.entry(index).or_default().owner = Some(owner);
        }
    }

    fn release(&mut self, cell: CellId, task: &ReleasedTask) {
        if let Some(ledger) = self.owned_ledger(cell, &task.attempt.task) {
            ledger.owner = None;
            ledger.released = Some(task.clone());
        }
    }

    fn end(&mut self, cell: CellId, task: &EndedTask) {
        if let Some(ledger) = self.owned_ledger(cell, &task.attempt.task) {
            ledger.owner = None;
            ledger.released = None;
            ledger.ended = Some(task.clone());
        }
    }

    fn owned_ledger(&mut self, cell: CellId, task: &TaskId) -> Option<&mut TaskLedger> {
        let ledger = self.jobs.get_mut(&task.job)?.get_mut(&task.index)?;
        is_owner(ledger, cell).then_some(ledger)
    }

    /// Records the writer's position; returns false for an older or repeated record, which must
    /// be ignored.
    fn advance_position(&mut self, id: &RecordId) -> bool {
        let Some(position) = parse_writer_position(id) else {
            return false;
        };
        if self
            .writer_positions
            .get(&position.cell)
            .is_some_and(|known| *known >= position)
        {
            return false;
        }
        self.writer_positions.insert(position.cell, position);
        true
    }
}

impl StreamState for JobState {
    type Record = JobRecord;

    fn next(&self) -> LogOffset {
        self.next
    }

    fn apply(&mut self, log_record: &LogRecord<JobRecord>) {
        if log_record.offset < self.next {
            return;
        }
        self.next = LogOffset(log_record.offset.0.saturating_add(1));
        if self.advance_position(&log_record.record.id) {
            self.apply_entry(&log_record.record.entry);
        }
    }

    fn restore(record: &JobRecord) -> Option<Self> {
        let JobEntry::Snapshot(snapshot) = &record.entry else {
            return None;
        };
        let mut state = Self {
            next: snapshot.up_to,
            writer_positions: snapshot
                .writer_positions
                .iter()
                .map(|position| (position.cell, *position))
                .collect(),
            ..Self::default()
        };
        for owned in &snapshot.owned {
            state.claim(owned.cell, &owned.range);
        }
        for task in &snapshot.released {
            state.ledger_mut(&task.attempt.task).released = Some(task.clone());
        }
        for task in &snapshot.ended {
            state.ledger_mut(&task.attempt.task).ended = Some(task.clone());
        }
        Some(state)
    }

    fn id(record: &JobRecord) -> &RecordId {
        &record.id
    }
}

impl JobState {
    fn ledger_mut(&mut self, task: &TaskId) -> &mut TaskLedger {
        let ledgers = self.jobs.entry(task.job.clone()).or_default();
        ledgers.entry(task.index).or_default()
    }
}

/// Returns the record id that encodes a writer's position.
#[must_use]
pub fn writer_record_id(position: &WriterPosition) -> RecordId {
    let text = format!("{}.{}.{}", position.cell, position.epoch, position.sequence);
    #[expect(clippy::unwrap_used, reason = "digits and dots make a valid name")]
    RecordId::new(&text).unwrap()
}

/// Returns the writer's position encoded in a record id; `None` if the id is malformed.
#[must_use]
pub fn parse_writer_position(id: &RecordId) -> Option<WriterPosition> {
    let mut parts = id.as_str().split('.');
    let position = WriterPosition {
        cell: CellId(parts.next()?.parse().ok()?),
        epoch: Epoch(parts.next()?.parse().ok()?),
        sequence: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(position)
}

fn is_owner(ledger: &TaskLedger, cell: CellId) -> bool {
    ledger.owner.is_some_and(|owner| owner.cell == cell)
}

/// Returns whether a task can be claimed.
#[must_use]
pub fn is_free(ledger: &TaskLedger) -> bool {
    ledger.owner.is_none() && ledger.ended.is_none()
}

fn task_id(job: &JobName, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        index,
    }
}

/// Returns the owned ranges in the order of their claims, which preserves the order of ranks.
fn owned_ranges(jobs: &[(&JobName, &JobLedger)]) -> Vec<OwnedRange> {
    let mut ranges: Vec<(u64, OwnedRange)> = Vec::new();
    let owned = jobs.iter().flat_map(|(job, ledgers)| {
        ledgers
            .iter()
            .filter_map(move |(index, ledger)| Some((*job, *index, ledger.owner?)))
    });
    for (job, index, owner) in owned {
        match ranges.last_mut() {
            Some((rank, last)) if *rank == owner.rank && continues(last, job, index) => {
                last.range.count += 1;
            }
            _ => ranges.push((owner.rank, single_range(job, index, owner.cell))),
        }
    }
    ranges.sort_by_key(|(rank, _)| *rank);
    ranges.into_iter().map(|(_, range)| range).collect()
}

fn continues(last: &OwnedRange, job: &JobName, index: u32) -> bool {
    last.range.job == *job && last.range.first.saturating_add(last.range.count) == index
}

fn single_range(job: &JobName, first: u32, cell: CellId) -> OwnedRange {
    OwnedRange {
        cell,
        range: TaskRange {
            job: job.clone(),
            first,
            count: 1,
        },
    }
}
