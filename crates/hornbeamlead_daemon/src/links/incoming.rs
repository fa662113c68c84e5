//! Link opened by another process.

use super::frame::{
    FrameReader, FrameWriter, ReadError, close, incoming_input, read_message, split, write_batch,
};
use super::{LinkContext, LinkNotice};
use crate::clock::HostClock;
use crate::decision::{InboxItem, RoleInput, request_id};
use futures_util::StreamExt;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{LinkId, RequestId};
use hornbeamlead_core::message::request::{LinkMessage, LoadSample, RequestOutcome, RequestReply};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Retry delay reported for a request that was refused because the ring was full.
const RING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum time to wait for the peer to close a link after this side has closed it.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of refusals queued for writing on one link.
const REFUSAL_QUEUE_CAPACITY: usize = 64;

/// Link opened by another process.
pub(crate) struct IncomingLink<I> {
    pub(crate) id: LinkId,
    pub(crate) messages: mpsc::Receiver<LinkMessage>,
    pub(crate) context: LinkContext<I>,
    /// Receives the notice that the link has closed.
    pub(crate) notify: mpsc::Sender<LinkNotice>,
}

impl<I: RoleInput> IncomingLink<I> {
    /// Serves the link until it closes.
    pub(crate) async fn run(mut self, stream: TcpStream) {
        let (mut reader, mut writer) = split(stream);
        let (refuse, mut refusals) = mpsc::channel(REFUSAL_QUEUE_CAPACITY);
        let clock = self.context.clock;
        tokio::select! {
            written = write_replies(&mut writer, &mut self.messages, &mut refusals, &clock) => {
                if written.is_ok() {
                    drain(&mut reader).await;
                }
            }
            () = read_requests(&mut reader, self.id, &self.context, &refuse) => {}
        }
        if let Some(closed) = I::link_closed(self.id) {
            self.context.deliver(closed);
        }
        let notice = LinkNotice::Incoming(self.id);
        // The receiver is dropped only when the process exits.
        let _ = self.notify.send(notice).await;
    }
}

/// Writes replies of the decision thread and refusals made by the reading half.
async fn write_replies(
    writer: &mut FrameWriter,
    messages: &mut mpsc::Receiver<LinkMessage>,
    refusals: &mut mpsc::Receiver<LinkMessage>,
    clock: &HostClock,
) -> std::io::Result<()> {
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => write_batch(writer, message, messages, clock).await?,
                None => return close(writer).await,
            },
            Some(refusal) = refusals.recv() => {
                write_batch(writer, refusal, refusals, clock).await?;
            }
        }
    }
}

/// Reads until the link closes or a message cannot be decoded.
async fn read_requests<I: RoleInput>(
    reader: &mut FrameReader,
    link: LinkId,
    context: &LinkContext<I>,
    refuse: &mpsc::Sender<LinkMessage>,
) {
    loop {
        let message = match read_message(reader, &context.clock).await {
            Ok(message) => message,
            Err(ReadError::Closed) => return,
            Err(ReadError::Undecodable) => {
                context.counters.refusal(RefusalReason::Undecodable);
                return;
            }
        };
        let request = request_id(&message);
        match (incoming_input(link, message), request) {
            (Some(input), Some(id)) => offer_request(context, input, id, refuse),
            (Some(input), None) => context.deliver(input),
            (None, _) => context.counters.refusal(RefusalReason::Undecodable),
        }
    }
}

/// Reads and discards input after the last reply until the peer has closed as well.
///
/// Closing a connection that has unread input resets it, and the peer may lose replies that it has
/// not read yet.
async fn drain(reader: &mut FrameReader) {
    let closed = async { while let Some(Ok(_)) = reader.next().await {} };
    // After the timeout only requests of the peer can be lost, no replies.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, closed).await;
}

/// Offers a request to the decision thread; if the ring refuses it, replies that the request did
/// not run.
fn offer_request<I: RoleInput>(
    context: &LinkContext<I>,
    input: I,
    id: RequestId,
    refuse: &mpsc::Sender<LinkMessage>,
) {
    let Err(refusal) = context.inbox.offer(InboxItem::Input(input)) else {
        return;
    };
    let reason = refusal.reason();
    context.counters.refusal(reason);
    let reply = RequestReply {
        id,
        outcome: RequestOutcome::NotRun {
            reason,
            retry_after: RING_RETRY_AFTER,
        },
        load: LoadSample {
            leaving: reason == RefusalReason::Leaving,
            ..LoadSample::default()
        },
    };
    // If the refusal queue is full too, the sender's request ends at its deadline.
    let _ = refuse.try_send(LinkMessage::Reply(reply));
}
