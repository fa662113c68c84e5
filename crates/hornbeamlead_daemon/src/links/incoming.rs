//! Link that another process opened.

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

/// Time after which a request refused for a full ring may come back.
const RING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest wait for the other side to close a link that has been closed here.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Refusals of one link that may wait to be written.
const REFUSAL_QUEUE_CAPACITY: usize = 64;

/// Link from another process.
pub(crate) struct IncomingLink<I> {
    /// Number of the link.
    pub(crate) id: LinkId,
    /// Messages to send.
    pub(crate) messages: mpsc::Receiver<LinkMessage>,
    /// What every link needs.
    pub(crate) context: LinkContext<I>,
    /// Takes the notice that the link has ended.
    pub(crate) notify: mpsc::Sender<LinkNotice>,
}

impl<I: RoleInput> IncomingLink<I> {
    /// Serves the link to its end.
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
        // The receiver is gone only while the process ends.
        let _ = self.notify.send(notice).await;
    }
}

/// Writes answers of the decisions and refusals of the reading side.
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

/// Reads until the link ends or sends what cannot be understood.
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

/// Reads on after the last answer until the other side has closed too.
///
/// A connection that is closed with unread bytes is reset, and the other side may lose answers
/// that it has not read yet.
async fn drain(reader: &mut FrameReader) {
    let closed = async { while let Some(Ok(_)) = reader.next().await {} };
    // A peer that does not close has lost nothing but its own requests.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, closed).await;
}

/// Offers a request to the decisions; one that finds no room did not run, and is said so.
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
    // Without room for the refusal the request ends by its deadline.
    let _ = refuse.try_send(LinkMessage::Reply(reply));
}
