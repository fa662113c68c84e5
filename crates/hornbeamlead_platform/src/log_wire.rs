//! JSON answers of the platform's log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogRecord};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the record.
    pub offset: u64,
}

/// Answer to a read below retention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneAnswer {
    /// Oldest offset that is kept.
    pub oldest: u64,
}

/// Record in an answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    /// Offset of the record.
    pub offset: u64,
    /// Payload in base64.
    pub payload: String,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Oldest offset that is kept.
    pub oldest: u64,
    /// Offset that the next append takes.
    pub next: u64,
    /// Records in order.
    pub records: Vec<RecordWire>,
}

/// Reports an answer to a read that contradicts itself.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// A payload is no base64.
    #[snafu(display("the payload at offset {offset} is no base64"))]
    Payload {
        /// Offset of the record.
        offset: u64,
    },
    /// Offsets skip, go back or pass the end of the stream.
    #[snafu(display("offset {found} stands where {expected} was due"))]
    Order {
        /// Offset that was due.
        expected: u64,
        /// Offset found.
        found: u64,
    },
    /// The oldest offset lies past the end of the stream.
    #[snafu(display("the oldest offset {oldest} is past the next one {next}"))]
    Bounds {
        /// Oldest offset that is kept.
        oldest: u64,
        /// Offset that the next append takes.
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
        let records = batch.records.into_iter().map(|placed| RecordWire {
            offset: placed.offset.0,
            payload: STANDARD.encode(&placed.record),
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
