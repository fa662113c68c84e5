//! Replays a stream of the log with the same functions as the planners.

use crate::failure::ToolFailure;
use bytes::Bytes;
use hornbeamlead_core::record::{LogBatch, LogError, LogRecord, StreamName};
use hornbeamlead_platform::log::LogClient;
use hornbeamlead_schedule::stream::{StreamReader, StreamState};
use hornbeamlead_wire::WireError;

/// Maximum number of records per read.
const READ_LIMIT: usize = 500;

/// Reads a stream to its end and returns its state.
///
/// # Errors
/// Returns [`ToolFailure::LogUnavailable`] if the log does not answer, and
/// [`ToolFailure::LogIncomplete`] if retention has removed records that no snapshot contains.
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
                return Err(ToolFailure::LogUnavailable);
            }
        };
        let at_end = reader.take(&decode_batch(&batch, &decode));
        // Records that cannot be decoded are skipped, as in the planners.
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
    let decoded = batch.records.iter().filter_map(|log_record| {
        Some(LogRecord {
            offset: log_record.offset,
            record: decode(&log_record.record).ok()?,
        })
    });
    LogBatch {
        oldest: batch.oldest,
        next: batch.next,
        records: decoded.collect(),
    }
}
