//! JSON answers of the platform's log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogRecord};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Answer to a successful append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset assigned to the record.
    pub offset: u64,
}

/// Answer to a read below retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneAnswer {
    /// Oldest offset that is retained.
    pub oldest: u64,
}

/// Record in [`ReadAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    /// Offset of the record.
    pub offset: u64,
    /// Payload in base64.
    pub payload: String,
}

/// Answer to a successful read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Oldest offset that is retained.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records by ascending offset, without gaps.
    pub records: Vec<RecordWire>,
}

/// Inconsistency in a [`ReadAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// A payload is not valid base64.
    #[snafu(display("payload at offset {offset} is not valid base64"))]
    Payload {
        /// Offset of the record.
        offset: u64,
    },
    /// Offsets are not consecutive or lie outside the stream.
    #[snafu(display("found record offset {found}, expected {expected}"))]
    Order {
        /// Offset that had to follow.
        expected: u64,
        /// Offset in the answer.
        found: u64,
    },
    /// The oldest offset lies past the end of the stream.
    #[snafu(display("oldest offset {oldest} is greater than next offset {next}"))]
    Bounds {
        /// Oldest offset that is retained.
        oldest: u64,
        /// Offset that the next append will get.
        next: u64,
    },
}

impl TryFrom<RecordWire> for LogRecord<Bytes> {
    type Error = ReadError;

    fn try_from(wire: RecordWire) -> Result<Self, Self::Error> {
        let payload = STANDARD.decode(wire.payload.as_bytes());
        let payload = payload.map_err(|_| ReadError::Payload {
            offset: wire.offset,
        })?;
        Ok(Self {
            offset: LogOffset(wire.offset),
            record: Bytes::from(payload),
        })
    }
}

impl TryFrom<ReadAnswer> for LogBatch<Bytes> {
    type Error = ReadError;

    fn try_from(wire: ReadAnswer) -> Result<Self, Self::Error> {
        check_bounds(&wire)?;
        check_order(&wire)?;
        let records: Result<Vec<_>, _> =
            wire.records.into_iter().map(LogRecord::try_from).collect();
        Ok(Self {
            oldest: LogOffset(wire.oldest),
            next: LogOffset(wire.next),
            records: records?,
        })
    }
}

impl From<LogBatch<Bytes>> for ReadAnswer {
    fn from(batch: LogBatch<Bytes>) -> Self {
        let records = batch.records.into_iter().map(|entry| RecordWire {
            offset: entry.offset.0,
            payload: STANDARD.encode(&entry.record),
        });
        Self {
            oldest: batch.oldest.0,
            next: batch.next.0,
            records: records.collect(),
        }
    }
}

fn check_bounds(wire: &ReadAnswer) -> Result<(), ReadError> {
    if wire.oldest > wire.next {
        return Err(ReadError::Bounds {
            oldest: wire.oldest,
            next: wire.next,
        });
    }
    Ok(())
}

fn check_order(wire: &ReadAnswer) -> Result<(), ReadError> {
    let Some(first) = wire.records.first() else {
        return Ok(());
    };
    let start = first.offset.max(wire.oldest);
    for (expected, record) in (start..).zip(&wire.records) {
        if record.offset != expected || record.offset >= wire.next {
            return Err(ReadError::Order {
                expected,
                found: record.offset,
            });
        }
    }
    Ok(())
}
