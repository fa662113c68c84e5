//! Records of the log, in memory.

use bytes::Bytes;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogRecord};
use std::collections::{BTreeMap, VecDeque};

/// One stream.
#[derive(Debug, Default)]
struct StreamRecords {
    oldest: u64,
    records: VecDeque<Bytes>,
}

impl StreamRecords {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn append(&mut self, payload: Bytes, retention: usize) -> u64 {
        let offset = self.next();
        self.records.push_back(payload);
        while self.records.len() > retention.max(1) {
            self.records.pop_front();
            self.oldest += 1;
        }
        offset
    }

    /// Returns records from `from` on.
    fn read(&self, from: u64, limit: ReadLimit) -> Vec<LogRecord<Bytes>> {
        let skipped = usize::try_from(from - self.oldest).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut read = Vec::new();
        let records = self.records.iter().skip(skipped).take(limit.records.max(1));
        for (offset, payload) in (from..).zip(records) {
            bytes += payload.len();
            if bytes > limit.bytes && !read.is_empty() {
                break;
            }
            read.push(LogRecord {
                offset: LogOffset(offset),
                record: payload.clone(),
            });
        }
        read
    }
}

/// Most that one read returns; at least one record all the same, where there is one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadLimit {
    /// Records.
    pub(crate) records: usize,
    /// Bytes of payload.
    pub(crate) bytes: usize,
}

/// Reports the oldest offset kept, to a read that begins below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OffsetGone(pub(crate) u64);

/// All streams.
#[derive(Debug, Default)]
pub(crate) struct LogStore {
    streams: BTreeMap<Box<str>, StreamRecords>,
}

impl LogStore {
    /// Appends a record and drops the oldest ones beyond `retention`.
    pub(crate) fn append(&mut self, stream: &str, payload: Bytes, retention: usize) -> u64 {
        let records = self.streams.entry(stream.into()).or_default();
        records.append(payload, retention)
    }

    /// Reads records from `from` on, up to the limit.
    pub(crate) fn read(
        &self,
        stream: &str,
        from: u64,
        limit: ReadLimit,
    ) -> Result<LogBatch<Bytes>, OffsetGone> {
        let empty = StreamRecords::default();
        let records = self.streams.get(stream).unwrap_or(&empty);
        if from < records.oldest {
            return Err(OffsetGone(records.oldest));
        }
        Ok(LogBatch {
            oldest: LogOffset(records.oldest),
            next: LogOffset(records.next()),
            records: records.read(from, limit),
        })
    }

    /// Returns all payloads of a stream.
    pub(crate) fn records(&self, stream: &str) -> Vec<Bytes> {
        let records = self.streams.get(stream);
        records.map_or_else(Vec::new, |it| it.records.iter().cloned().collect())
    }
}
