//! In-memory records of the log.

use bytes::Bytes;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogRecord};
use std::collections::{BTreeMap, VecDeque};

/// Retained records of one stream.
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

    /// Returns records from offset `from` on; `from` must not be below `oldest`.
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

/// Limit of one read, which returns at least one record if there is any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadLimit {
    /// Maximum number of records.
    pub(crate) records: usize,
    /// Maximum payload, in bytes.
    pub(crate) bytes: usize,
}

/// Error of a read below retention, with the oldest retained offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OffsetTruncated(pub(crate) u64);

/// Records of all streams, by stream name.
#[derive(Debug, Default)]
pub(crate) struct LogStore {
    streams: BTreeMap<Box<str>, StreamRecords>,
}

impl LogStore {
    /// Appends a record, drops the oldest ones beyond `retention`, and returns the new offset.
    pub(crate) fn append(&mut self, stream: &str, payload: Bytes, retention: usize) -> u64 {
        let records = self.streams.entry(stream.into()).or_default();
        records.append(payload, retention)
    }

    /// Reads records from offset `from` on, up to the limit.
    pub(crate) fn read(
        &self,
        stream: &str,
        from: u64,
        limit: ReadLimit,
    ) -> Result<LogBatch<Bytes>, OffsetTruncated> {
        let empty = StreamRecords::default();
        let records = self.streams.get(stream).unwrap_or(&empty);
        if from < records.oldest {
            return Err(OffsetTruncated(records.oldest));
        }
        Ok(LogBatch {
            oldest: LogOffset(records.oldest),
            next: LogOffset(records.next()),
            records: records.read(from, limit),
        })
    }

    /// Returns all retained payloads of a stream, oldest first.
    pub(crate) fn records(&self, stream: &str) -> Vec<Bytes> {
        let records = self.streams.get(stream);
        records.map_or_else(Vec::new, |it| it.records.iter().cloned().collect())
    }
}
