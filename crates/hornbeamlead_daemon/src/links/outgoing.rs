//! Link opened by this process.

use super::frame::{FrameReader, ReadError, outgoing_input, read_message, split, write_messages};
use super::{LinkContext, LinkNotice};
use crate::decision::{RoleInput, request_id};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::RequestId;
use hornbeamlead_core::message::request::LinkMessage;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Connect timeout of a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Link opened by this process.
pub(crate) struct OutgoingLink<I> {
    pub(crate) to: SocketAddr,
    pub(crate) number: u64,
    pub(crate) messages: mpsc::Receiver<LinkMessage>,
    pub(crate) context: LinkContext<I>,
    /// Receives the notice that the link has closed.
    pub(crate) notify: mpsc::Sender<LinkNotice>,
}

impl<I: RoleInput> OutgoingLink<I> {
    /// Opens the link and serves it until it closes.
    pub(crate) async fn run(mut self) {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.to)).await;
        match connected {
            Ok(Ok(stream)) => self.serve(stream).await,
            Ok(Err(_)) | Err(_) => self.refuse_unsent(),
        }
        let notice = LinkNotice::Outgoing(self.to, self.number);
        // The receiver is dropped only when the process exits.
        let _ = self.notify.send(notice).await;
    }

    async fn serve(&mut self, stream: TcpStream) {
        let (mut reader, mut writer) = split(stream);
        let clock = self.context.clock;
        tokio::select! {
            written = write_messages(&mut writer, &mut self.messages, &clock) => {
                if written.is_ok() {
                    return;
                }
            }
            () = read_replies(&mut reader, self.to, &self.context) => {}
        }
        drop(writer);
        self.refuse_unsent();
        self.context.deliver(I::link_broken(self.to));
    }

    /// Reports the queued messages as unsent: no byte of them was written.
    fn refuse_unsent(&mut self) {
        self.messages.close();
        let mut unsent: Vec<RequestId> = Vec::new();
        while let Ok(message) = self.messages.try_recv() {
            unsent.extend(request_id(&message));
        }
        self.context.deliver(I::link_refused(self.to, unsent));
    }
}

/// Reads until the link closes or a message cannot be decoded.
async fn read_replies<I: RoleInput>(
    reader: &mut FrameReader,
    from: SocketAddr,
    context: &LinkContext<I>,
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
        match outgoing_input(from, message) {
            Some(input) => context.deliver(input),
            None => context.counters.refusal(RefusalReason::Undecodable),
        }
    }
}
