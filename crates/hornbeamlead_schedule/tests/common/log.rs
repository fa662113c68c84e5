//! Fake log: streams in memory, with retention.

use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::event::{NoteEntry, NoteRecord, StreamBatch};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{LogOffset, RecordId};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::record::{
    CellRecord, JobRecord, LogBatch, LogError, LogRecord, RawRecord, StreamName,
};
use std::collections::BTreeMap;

/// Maximum number of records in one read.
const READ_LIMIT: usize = 64;

/// In-memory log without faults of its own.
#[derive(Debug, Default)]
pub(crate) struct FakeLog {
    pub(crate) notes: Vec<LogRecord<NoteRecord>>,
    pub(crate) jobs: Vec<LogRecord<JobRecord>>,
    pub(crate) cells: BTreeMap<StreamName, Vec<LogRecord<CellRecord>>>,
    pub(crate) oldest: BTreeMap<StreamName, u64>,
    pub(crate) fleet: FleetState,
}

impl FakeLog {
    /// Publishes a note; returns its offset.
    pub(crate) fn publish(&mut self, note: ReleaseNote) -> LogOffset {
        let offset = LogOffset(self.notes.len() as u64);
        self.fleet.apply(offset, &note).expect("accepted note");
        self.push_note(NoteEntry::Note(note));
        offset
    }

    fn push_note(&mut self, entry: NoteEntry) {
        let offset = LogOffset(self.notes.len() as u64);
        let raw = RawRecord {
            offset,
            payload: bytes::Bytes::new(),
        };
        let record = NoteRecord {
            entry: Some(entry),
            raw,
        };
        self.notes.push(LogRecord { offset, record });
    }

    /// Appends a record; returns its offset.
    pub(crate) fn append(&mut self, stream: &StreamName, record: AppendRecord) -> LogOffset {
        match record {
            AppendRecord::NotesSnapshot(snapshot) => {
                self.push_note(NoteEntry::Snapshot(snapshot));
                LogOffset(self.notes.len() as u64 - 1)
            }
            AppendRecord::Job(record) => push(&mut self.jobs, record),
            AppendRecord::Cell(record) => {
                push(self.cells.entry(stream.clone()).or_default(), record)
            }
        }
    }

    /// Reads a batch of at most [`READ_LIMIT`] records.
    pub(crate) fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
    ) -> Result<StreamBatch, LogError> {
        let oldest = LogOffset(self.oldest.get(stream).copied().unwrap_or(0));
        if from < oldest {
            return Err(LogError::Truncated { oldest });
        }
        let empty = Vec::new();
        Ok(match stream {
            StreamName::Notes => StreamBatch::Notes(slice_batch(&self.notes, oldest, from)),
            StreamName::Jobs => StreamBatch::Jobs(slice_batch(&self.jobs, oldest, from)),
            StreamName::Cell(_) => StreamBatch::Cell(slice_batch(
                self.cells.get(stream).unwrap_or(&empty),
                oldest,
                from,
            )),
        })
    }
}

pub(crate) fn record_id(record: &AppendRecord) -> RecordId {
    match record {
        AppendRecord::Job(record) => record.id.clone(),
        AppendRecord::Cell(record) => record.id.clone(),
        AppendRecord::NotesSnapshot(_) => RecordId::new("notes").expect("valid name"),
    }
}

fn push<R>(records: &mut Vec<LogRecord<R>>, record: R) -> LogOffset {
    let offset = LogOffset(records.len() as u64);
    records.push(LogRecord { offset, record });
    offset
}

fn slice_batch<R: Clone>(
    records: &[LogRecord<R>],
    oldest: LogOffset,
    from: LogOffset,
) -> LogBatch<R> {
    let start = usize::try_from(from.0).expect("small").min(records.len());
    LogBatch {
        oldest,
        next: LogOffset(records.len() as u64),
        records: records[start..].iter().take(READ_LIMIT).cloned().collect(),
    }
}
