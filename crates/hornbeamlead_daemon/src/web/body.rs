//! Receives request bodies within the limits of their listener and the budget of the process.

use super::table::RequestGuard;
use crate::budget::ByteLease;
use gotham::helpers::http::Body;
use hornbeamlead_core::counter::RefusalReason;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

/// Smallest buffer of a body that is not empty, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// Complete body with the lease for its bytes.
#[derive(Debug)]
pub struct HeldBody {
    /// Content.
    pub bytes: Vec<u8>,
    /// Lease for the buffer of the content.
    pub lease: ByteLease,
}

/// Why a request was not received or is not handled; it has never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The body exceeds the limit of the listener.
    TooLong,
    /// The connection ended, or the encoding is malformed.
    Cut,
    /// It was not complete by its deadline.
    TimedOut,
    /// The memory for requests is in use.
    NoMemory,
    /// Too many requests are being handled.
    Busy,
}

impl From<RequestError> for RefusalReason {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::TooLong => Self::BodyTooLong,
            RequestError::Cut => Self::BadRequest,
            RequestError::TimedOut => Self::RequestTimeout,
            RequestError::NoMemory => Self::MemoryFull,
            RequestError::Busy => Self::QueueFull,
        }
    }
}

/// Receives a body completely by a deadline.
///
/// The bytes are copied, as those that the HTTP library returns keep its buffers: a 1-byte chunk of
/// a body would hold several kilobytes.
///
/// # Errors
/// Returns [`RequestError`]; what follows on the connection cannot be read.
pub async fn read_body(
    guard: &RequestGuard,
    body: Body,
    deadline: Instant,
) -> Result<HeldBody, RequestError> {
    let received = timeout_at(deadline, receive(guard, body)).await;
    let received = received.unwrap_or(Err(RequestError::TimedOut));
    if let Err(error @ (RequestError::TimedOut | RequestError::TooLong | RequestError::Cut)) =
        received
    {
        guard.table().counters().refusal(error.into());
    }
    received
}

async fn receive(guard: &RequestGuard, mut body: Body) -> Result<HeldBody, RequestError> {
    let max_bytes = guard.table().limits().max_body_bytes;
    let mut held = HeldBody {
        bytes: Vec::new(),
        lease: ByteLease::empty(guard.table().budget()),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::Cut)?;
        // Trailers have no meaning here.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = held.bytes.len() + data.len();
        if length > max_bytes {
            return Err(RequestError::TooLong);
        }
        held.make_room(guard, length, max_bytes).await?;
        held.bytes.extend_from_slice(&data);
    }
    Ok(held)
}

impl HeldBody {
    async fn make_room(
        &mut self,
        guard: &RequestGuard,
        length: usize,
        max_bytes: usize,
    ) -> Result<(), RequestError> {
        if length <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = (self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES);
        let capacity = doubled.min(max_bytes).max(length);
        guard.grow_lease(&mut self.lease, capacity).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
