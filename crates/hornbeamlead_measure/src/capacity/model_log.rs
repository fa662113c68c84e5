//! In-memory log of the cell model: typed records, no faults.

use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::event::{NoteEntry, NoteRecord, StreamBatch};
use hornbeamlead_core::ids::{LogOffset, RecordId};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_core::record::{
    CellRecord, JobRecord, LogBatch, LogRecord, RawRecord, StreamName,
};

/// Maximum number of records in one read.
const READ_LIMIT: usize = 200;

/// Streams that the agents of one cell use.
#[derive(Debug, Default)]
pub(crate) struct ModelLog {
    notes: Vec<LogRecord<NoteRecord>>,
    jobs: Vec<LogRecord<JobRecord>>,
    cell: Vec<LogRecord<CellRecord>>,
}

impl ModelLog {
    /// Appends a note to the stream of notes.
    pub(crate) fn publish(&mut self, note: ReleaseNote) {
        self.add_note(NoteEntry::Note(note));
    }

    /// Appends a record; returns its id and offset.
    pub(crate) fn append(
        &mut self,
        stream: &StreamName,
        record: AppendRecord,
    ) -> (RecordId, LogOffset) {
        match record {
            AppendRecord::NotesSnapshot(snapshot) => {
                let offset = self.add_note(NoteEntry::Snapshot(snapshot));
                (super::samples::name(&format!("{stream}.{offset}")), offset)
            }
            AppendRecord::Job(record) => (record.id.clone(), push(&mut self.jobs, record)),
            AppendRecord::Cell(record) => (record.id.clone(), push(&mut self.cell, record)),
        }
    }

    /// Reads up to [`READ_LIMIT`] records of a stream from an offset on.
    pub(crate) fn read(&self, stream: &StreamName, from: LogOffset) -> StreamBatch {
        match stream {
            StreamName::Notes => StreamBatch::Notes(read_from(&self.notes, from)),
            StreamName::Jobs => StreamBatch::Jobs(read_from(&self.jobs, from)),
            StreamName::Cell(_) => StreamBatch::Cell(read_from(&self.cell, from)),
        }
    }

    /// Reads up to [`READ_LIMIT`] notes from an offset on.
    pub(crate) fn notes_from(&self, from: LogOffset) -> Vec<LogRecord<NoteRecord>> {
        read_from(&self.notes, from).records
    }

    fn add_note(&mut self, entry: NoteEntry) -> LogOffset {
        let offset = LogOffset(self.notes.len() as u64);
        let raw = RawRecord {
            offset,
            payload: bytes::Bytes::new(),
        };
        push(
            &mut self.notes,
            NoteRecord {
                entry: Some(entry),
                raw,
            },
        )
    }
}

fn push<R>(records: &mut Vec<LogRecord<R>>, record: R) -> LogOffset {
    let offset = LogOffset(records.len() as u64);
    records.push(LogRecord { offset, record });
    offset
}

fn read_from<R: Clone>(records: &[LogRecord<R>], from: LogOffset) -> LogBatch<R> {
    let start = usize::try_from(from.0)
        .unwrap_or(usize::MAX)
        .min(records.len());
    LogBatch {
        oldest: LogOffset(0),
        next: LogOffset(records.len() as u64),
        records: records[start..].iter().take(READ_LIMIT).cloned().collect(),
    }
}
