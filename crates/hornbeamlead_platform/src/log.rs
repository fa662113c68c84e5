//! Client of the platform's append-only log.

use crate::log_wire::{AppendAnswer, GoneAnswer, ReadAnswer};
use bytes::Bytes;
use hornbeamlead_adapter::{HttpAnswer, HttpClient, HttpError, build_request};
use hornbeamlead_core::event::PLATFORM_TIMEOUT;
use hornbeamlead_core::ids::LogOffset;
use hornbeamlead_core::record::{LogBatch, LogError, StreamName};
use hyper::{Method, StatusCode, Uri};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Maximum payload of a record, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Maximum answer that is read from the log, in bytes.
pub const MAX_LOG_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Number of records that fit in an answer whatever their length. Twice the maximum payload is
/// counted for each, as base64 adds a third.
const FITTING_RECORDS: usize = MAX_LOG_ANSWER_BYTES / (2 * MAX_PAYLOAD_BYTES);

/// Appends to and reads from the streams of the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: SocketAddr,
    http: HttpClient,
}

impl LogClient {
    /// Creates a client of the log at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::new(PLATFORM_TIMEOUT),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// Returns [`LogError::Unavailable`] if no offset was received. The record may still have been
    /// appended, unless it is longer than [`MAX_PAYLOAD_BYTES`].
    pub async fn append(&self, stream: &StreamName, payload: Bytes) -> Result<LogOffset, LogError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(LogError::Unavailable);
        }
        let uri = self.uri(stream, "")?;
        let request = build_request(Method::POST, uri, "application/octet-stream", payload);
        let answer = self
            .http
            .exchange(request, MAX_LOG_ANSWER_BYTES, PLATFORM_TIMEOUT)
            .await
            .map_err(|_| LogError::Unavailable)?;
        match answer.status {
            StatusCode::CREATED => parse::<AppendAnswer>(&answer).map(|it| LogOffset(it.offset)),
            _ => Err(LogError::Unavailable),
        }
    }

    /// Reads at most `limit` records, starting at offset `from`.
    ///
    /// Returns fewer records if the answer would exceed [`MAX_LOG_ANSWER_BYTES`].
    ///
    /// # Errors
    /// Returns [`LogError::Truncated`] for an offset below retention, [`LogError::Unavailable`] if
    /// no valid answer was received in time.
    pub async fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<LogBatch<Bytes>, LogError> {
        let read = self.read_with_retry(stream, from, limit.max(1));
        let result = tokio::time::timeout(PLATFORM_TIMEOUT, read).await;
        result.unwrap_or(Err(LogError::Unavailable))
    }

    /// Retries once with fewer records if the answer was too long.
    async fn read_with_retry(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<LogBatch<Bytes>, LogError> {
        let mut answer = self.read_once(stream, from, limit).await;
        if answer.as_ref().err() == Some(&HttpError::AnswerTooLong) {
            let limit = limit.min(FITTING_RECORDS);
            answer = self.read_once(stream, from, limit).await;
        }
        let answer = answer.map_err(|_| LogError::Unavailable)?;
        read_batch(from, &answer)
    }

    async fn read_once(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: usize,
    ) -> Result<HttpAnswer, HttpError> {
        let query = format!("?from={from}&limit={limit}");
        let uri = self.uri(stream, &query).map_err(|_| HttpError::NoAnswer)?;
        let request = build_request(Method::GET, uri, "application/json", Bytes::new());
        self.http
            .exchange(request, MAX_LOG_ANSWER_BYTES, PLATFORM_TIMEOUT)
            .await
    }

    fn uri(&self, stream: &StreamName, query: &str) -> Result<Uri, LogError> {
        format!("http://{}/streams/{stream}/records{query}", self.address)
            .parse()
            .map_err(|_| LogError::Unavailable)
    }
}

fn read_batch(from: LogOffset, answer: &HttpAnswer) -> Result<LogBatch<Bytes>, LogError> {
    match answer.status {
        StatusCode::OK => check_first_offset(from, parse::<ReadAnswer>(answer)?),
        StatusCode::GONE => Err(truncated_error(answer)),
        _ => Err(LogError::Unavailable),
    }
}

/// Rejects a batch that does not start at the requested offset.
fn check_first_offset(from: LogOffset, answer: ReadAnswer) -> Result<LogBatch<Bytes>, LogError> {
    let batch = LogBatch::try_from(answer).map_err(|_| LogError::Unavailable)?;
    match batch.records.first() {
        Some(first) if first.offset != from => Err(LogError::Unavailable),
        None if batch.next > from => Err(LogError::Unavailable),
        _ => Ok(batch),
    }
}

fn truncated_error(answer: &HttpAnswer) -> LogError {
    match parse::<GoneAnswer>(answer) {
        Ok(body) => LogError::Truncated {
            oldest: LogOffset(body.oldest),
        },
        Err(error) => error,
    }
}

fn parse<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T, LogError> {
    serde_json::from_slice(&answer.body).map_err(|_| LogError::Unavailable)
}
