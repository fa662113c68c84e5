//! Reads and writes the length-delimited frames of a link.

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

/// Time limit for writing one batch; a link that exceeds it is treated as broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of messages written before the buffer is flushed.
const MAX_WRITE_BATCH: usize = 64;

/// Reading half of a link.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Writing half of a link.
pub(crate) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Error of reading a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The link was closed or failed.
    Closed,
    /// A frame could not be decoded.
    Undecodable,
}

/// Splits a connection into framed read and write halves.
pub(crate) fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    // `TCP_NODELAY` only lowers latency; the link works without it.
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

/// Writes queued messages; returns `Ok` once the queue is closed and empty.
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

/// Writes a message and those queued behind it, up to the batch limit, then flushes.
pub(crate) async fn write_batch(
    writer: &mut FrameWriter,
    first: LinkMessage,
    queued: &mut mpsc::Receiver<LinkMessage>,
    clock: &HostClock,
) -> std::io::Result<()> {
    let written = async {
        feed(writer, &first, clock).await?;
        for _ in 1..MAX_WRITE_BATCH {
            let Ok(next) = queued.try_recv() else { break };
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

/// Flushes and closes the write half.
pub(crate) async fn close(writer: &mut FrameWriter) -> std::io::Result<()> {
    SinkExt::<Bytes>::close(writer).await
}

/// Returns the input for a message on an incoming link; `None` if the message is not valid there.
pub(crate) fn incoming_input<I: RoleInput>(link: LinkId, message: LinkMessage) -> Option<I> {
    match message {
        LinkMessage::Notes(copies) => Some(forwarded_notes(copies)),
        LinkMessage::NotesRequest(from) => Some(I::notes_requested(link, from)),
        other => I::incoming(link, other),
    }
}

/// Returns the input for a message on an outgoing link; `None` if the message is not valid there.
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
