//! Replay of a stream of the log by the functions that the planners use.

use crate::failure::ToolFailure;
use bytes::Bytes;
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, StreamName};
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_schedule::stream::{StreamReader, StreamState};
use hornbeamlead_wire::WireError;

/// Records asked for in one read.
const READ_LIMIT: usize = 500;

/// Reads a stream to its end and returns its state.
///
/// # Errors
/// Returns [`ToolFailure::LogDown`] without an answer, and [`ToolFailure::LogIncomplete`] when
/// retention has passed records that no snapshot stands for.
pub(crate) async fn replay<S: StreamState + Clone>(
    log: &LogClient,
    stream: &StreamName,
    decode: impl Fn(&[u8]) -> Result<S::Record, WireError>,
) -> Result<S, ToolFailure> {
    let mut reader = StreamReader::<S>::default();
    loop {
        let from = reader.cursor();
        let batch = match log.read(stream, from, READ_LIMIT).await {
            Ok(batch) => batch,
            Err(LogError::Truncated { oldest }) if oldest > from => {
                reader.skip_truncated(oldest);
                continue;
            }
            Err(LogError::Truncated { .. } | LogError::Unavailable) => {
                return Err(ToolFailure::LogDown);
            }
        };
        let at_end = reader.take(&decode_batch(&batch, &decode));
        // Records that cannot be decoded are passed over, as the planners do.
        if at_end || reader.cursor() == from {
            return match reader.has_gap() {
                true => Err(ToolFailure::LogIncomplete),
                false => Ok(reader.state().clone()),
            };
        }
    }
}

fn decode_batch<R>(
    batch: &LogBatch<Bytes>,
    decode: impl Fn(&[u8]) -> Result<R, WireError>,
) -> LogBatch<R> {
    let decoded = batch.records.iter().filter_map(|placed| {
        Some(LogRecord {
            offset: placed.offset,
            record: decode(&placed.record).ok()?,
        })
    });
    LogBatch {
        oldest: batch.oldest,
        next: batch.next,
        records: decoded.collect(),
    }
}
