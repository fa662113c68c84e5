//! Body of a stand-in's answer, whole or broken off.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Sleep;

/// Time after which a broken body breaks off, so that what was sent has arrived.
const BREAK_DELAY: Duration = Duration::from_millis(50);

/// Bytes that a broken body promises and never sends.
const MISSING_BYTES: u64 = 1_000;

/// Body of an answer.
#[derive(Debug, Default)]
pub struct ReplyBody {
    data: Bytes,
    broken: Option<Pin<Box<Sleep>>>,
}

impl ReplyBody {
    /// Makes a body that is sent whole.
    pub fn whole(data: Bytes) -> Self {
        Self { data, broken: None }
    }

    /// Makes this body promise more than it sends.
    pub fn break_off(&mut self) {
        self.broken = Some(Box::pin(tokio::time::sleep(BREAK_DELAY)));
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
        match &mut self.broken {
            None => Poll::Ready(None),
            Some(sleep) => {
                let slept = sleep.as_mut().poll(context);
                slept.map(|()| Some(Err(io::Error::other("broken off on purpose"))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.broken.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let missing = self.broken.as_ref().map_or(0, |_| MISSING_BYTES);
        SizeHint::with_exact(self.data.len() as u64 + missing)
    }
}

impl From<Bytes> for ReplyBody {
    fn from(data: Bytes) -> Self {
        Self::whole(data)
    }
}
