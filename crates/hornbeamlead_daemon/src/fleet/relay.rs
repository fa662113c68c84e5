//! Store calls that a process makes for hosts which the store refuses, and those that it has others
//! make.

use super::frames::{HeldFrame, MAX_FRAME_BYTES};
use super::links::PeerFrame;
use crate::budget::ByteBudget;
use crate::clock::BootClock;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::record::{decode, encode};
use hornbeamlead_jobs::relay::RelayedCall;
use hornbeamlead_jobs::store::{StoreCall, StoreOutcome};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum number of store calls that are made for other hosts at a time.
const MAX_RELAYED_CALLS: usize = 8;

/// What all links use to relay calls.
#[derive(Clone)]
pub(super) struct RelayParts {
    store: Rc<StoreClient>,
    permits: Rc<Semaphore>,
    budget: Arc<ByteBudget>,
}

impl RelayParts {
    pub(super) fn new(store: SocketAddr, budget: &Arc<ByteBudget>) -> Self {
        Self {
            store: Rc::new(StoreClient::new(store)),
            permits: Rc::new(Semaphore::new(MAX_RELAYED_CALLS)),
            budget: Arc::clone(budget),
        }
    }
}

/// Makes store calls on behalf of hosts that the store refuses.
pub(super) struct StoreRelay {
    pub(super) parts: RelayParts,
    /// Sender of frames on the link.
    pub(super) replies: mpsc::Sender<HeldFrame>,
}

impl StoreRelay {
    /// Makes a call and queues the reply; returns `false` if the memory for it is in use while the peer
    /// has replies that it does not read.
    pub(super) async fn execute(&self, call: RelayedCall) -> bool {
        // The semaphore is never closed, so `acquire` does not fail.
        let permit = self.parts.permits.acquire().await.ok();
        let now = BootClock.mono();
        let outcome = self.parts.store.call(now, &call.into_call(now)).await;
        let reply = encode(&PeerFrame::Relayed(outcome));
        let (reply, is_beyond) = HeldFrame::queued(reply, &self.parts.budget);
        drop(permit);
        // Sending fails only if the connection to the requesting host has ended.
        let has_unread = self.replies.capacity() < self.replies.max_capacity();
        !(is_beyond && has_unread) && self.replies.send(reply).await.is_ok()
    }
}

/// Makes a call through another host and waits for its outcome until the call's deadline.
pub(super) async fn relay_call(
    address: SocketAddr,
    now: MonoTime,
    call: &StoreCall,
) -> StoreOutcome {
    let frame = encode(&PeerFrame::Relay(RelayedCall::new(now, call)));
    let deadline = tokio::time::Instant::now() + call.deadline.since(now);
    let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // Nothing was sent, so the call had no effect.
        Ok(Err(error)) => {
            let cause = format!("relay {address}: {error}").into();
            return StoreOutcome::Refused { cause };
        }
        Err(_) => {
            let cause = format!("relay {address}: connect timed out").into();
            return StoreOutcome::Refused { cause };
        }
    };
    let cause = match tokio::time::timeout_at(deadline, exchange(stream, frame)).await {
        Ok(Ok(PeerFrame::Relayed(outcome))) => return outcome,
        Ok(Ok(_)) => "relay sent a frame of another kind".into(),
        Ok(Err(error)) => format!("relay {address}: {error}"),
        Err(_) => format!("no answer from relay {address}"),
    };
    StoreOutcome::Unanswered {
        cause: cause.into(),
    }
}

async fn exchange(stream: TcpStream, frame: Bytes) -> io::Result<PeerFrame> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, frame_codec());
    framed.send(frame).await?;
    let bytes = framed.next().await;
    let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)??;
    decode(&bytes).map_err(io::Error::other)
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
