//! Reads and writes frames of one link.

use crate::clock::HostClock;
use crate::decision::RoleInput;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hornbeamlead_core::event::NoteRecord;
use hornbeamlead_core::ids::LinkId;
use hornbeamlead_core::message::request::{LinkMessage, NoteCopy};
use hornbeamlead_core::record::LogRecord;
use hornbeamlead_wire::{MAX_FRAME_BYTES, decode_link, encode_link};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Longest time that one write may take before the link counts as broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Messages written before the buffer is flushed.
const MAX_WRITE_BATCH: usize = 64;

/// Reading half of a link.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Writing half of a link.
pub(crate) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The link was closed or broke.
    Closed,
    /// A frame could not be decoded.
    Undecodable,
}

/// Splits a connection into its framed halves.
pub(crate) fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    // A link that cannot be tuned works all the same.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (read, write) = stream.into_split();
    let reader = FramedRead::new(read, codec.clone());
    (reader, FramedWrite::new(write, codec))
}

/// Reads the next message.
pub(crate) async fn read_message(
    reader: &mut FrameReader,
    clock: &HostClock,
) -> Result<LinkMessage, ReadError> {
    match reader.next().await {
        Some(Ok(frame)) => decode_link(&frame, clock.mono()).map_err(|_| ReadError::Undecodable),
        Some(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
            Err(ReadError::Undecodable)
        }
        Some(Err(_)) | None => Err(ReadError::Closed),
    }
}

/// Writes messages as they come; ends well when the queue is closed and empty.
pub(crate) async fn write_messages(
    writer: &mut FrameWriter,
    messages: &mut mpsc::Receiver<LinkMessage>,
    clock: &HostClock,
) -> std::io::Result<()> {
    while let Some(message) = messages.recv().await {
        write_batch(writer, message, messages, clock).await?;
    }
    close(writer).await
}

/// Writes a message and those that wait behind it, then flushes.
pub(crate) async fn write_batch(
    writer: &mut FrameWriter,
    first: LinkMessage,
    waiting: &mut mpsc::Receiver<LinkMessage>,
    clock: &HostClock,
) -> std::io::Result<()> {
    let written = async {
        feed(writer, &first, clock).await?;
        for _ in 1..MAX_WRITE_BATCH {
            let Ok(next) = waiting.try_recv() else { break };
            feed(writer, &next, clock).await?;
        }
        SinkExt::<Bytes>::flush(writer).await
    };
    tokio::time::timeout(WRITE_TIMEOUT, written)
        .await
        .unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))
}

async fn feed(
    writer: &mut FrameWriter,
    message: &LinkMessage,
    clock: &HostClock,
) -> std::io::Result<()> {
    let frame = Bytes::from(encode_link(message, clock.mono()));
    writer.feed(frame).await
}

/// Ends the writing half in order.
pub(crate) async fn close(writer: &mut FrameWriter) -> std::io::Result<()> {
    SinkExt::<Bytes>::close(writer).await
}

/// Returns the event of a message on an incoming link; `None` if it has no place there.
pub(crate) fn incoming_input<I: RoleInput>(link: LinkId, message: LinkMessage) -> Option<I> {
    match message {
        LinkMessage::Notes(copies) => Some(forwarded_notes(copies)),
        LinkMessage::NotesRequest(from) => Some(I::notes_requested(link, from)),
        other => I::incoming(link, other),
    }
}

/// Returns the event of a message on an outgoing link; `None` if it has no place there.
pub(crate) fn outgoing_input<I: RoleInput>(from: SocketAddr, message: LinkMessage) -> Option<I> {
    match message {
        LinkMessage::Notes(copies) => Some(forwarded_notes(copies)),
        other => I::outgoing(from, other),
    }
}

fn forwarded_notes<I: RoleInput>(copies: Vec<NoteCopy>) -> I {
    I::notes_forwarded(copies.into_iter().map(decode_copy).collect())
}

fn decode_copy(copy: NoteCopy) -> LogRecord<NoteRecord> {
    crate::platform::decode_note_record(copy.offset, copy.payload)
}
