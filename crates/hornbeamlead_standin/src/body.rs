//! Response body of a stand-in, sent completely or truncated on purpose.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Sleep;

/// Delay before a truncated body ends with an error, so that the data sent has arrived.
const TRUNCATE_DELAY: Duration = Duration::from_millis(50);

/// Number of bytes that a truncated body announces and does not send.
const MISSING_BYTES: u64 = 1_000;

/// Response body whose length is known in advance.
#[derive(Debug, Default)]
pub struct ReplyBody {
    data: Bytes,
    truncated: Option<Pin<Box<Sleep>>>,
}

impl ReplyBody {
    /// Creates a body that is sent completely.
    pub fn complete(data: Bytes) -> Self {
        Self {
            data,
            truncated: None,
        }
    }

    /// Makes the body announce more bytes than it sends, so that the response ends early.
    pub fn truncate(&mut self) {
        self.truncated = Some(Box::pin(tokio::time::sleep(TRUNCATE_DELAY)));
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let data = std::mem::take(&mut self.data);
        if !data.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match &mut self.truncated {
            None => Poll::Ready(None),
            Some(sleep) => {
                let slept = sleep.as_mut().poll(context);
                slept.map(|()| Some(Err(io::Error::other("body truncated on purpose"))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.truncated.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let missing = self.truncated.as_ref().map_or(0, |_| MISSING_BYTES);
        SizeHint::with_exact(self.data.len() as u64 + missing)
    }
}

impl From<Bytes> for ReplyBody {
    fn from(data: Bytes) -> Self {
        Self::complete(data)
    }
}
