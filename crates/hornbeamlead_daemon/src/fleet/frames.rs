//! Frames of links: a length of four bytes, big-endian, and the encoded message. What a peer makes a
//! process hold is leased from the budget of the process.

use super::link_places::LinkPlace;
use crate::budget::{ByteBudget, ByteLease};
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum frame, in bytes; fits a call to the store that is made for another host.
pub(super) const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Length of the header of a frame.
const HEADER_BYTES: usize = 4;

/// Buffer of a link that is not leased, in bytes.
const LINK_BUFFER_BYTES: usize = 4096;

/// Maximum time from the first byte of a frame to its last one.
pub(super) const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for which a write may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum wait for memory that others give back.
const MEMORY_WAIT: Duration = Duration::from_millis(20);

/// Memory of a queued frame besides its bytes.
const QUEUED_FRAME_BYTES: usize = 128;

/// Frame with the lease for its bytes.
#[derive(Debug)]
pub(super) struct HeldFrame {
    pub(super) bytes: Bytes,
    pub(super) lease: ByteLease,
}

impl HeldFrame {
    /// Leases the memory of a frame to send, beyond the budget if need be; returns whether it was.
    pub(super) fn queued(bytes: Bytes, budget: &Arc<ByteBudget>) -> (Self, bool) {
        let mut lease = ByteLease::empty(budget);
        let held_bytes = bytes.len() + QUEUED_FRAME_BYTES;
        let is_beyond = !lease.try_grow_to(held_bytes);
        lease.force_grow_to(held_bytes);
        (Self { bytes, lease }, is_beyond)
    }
}

/// Receiving direction of a link.
pub(super) struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    lease: ByteLease,
    /// Notified when the link has to end.
    evicted: Rc<Notify>,
    /// Place of an accepted link.
    place: Option<LinkPlace>,
}

impl FrameReader {
    pub(super) fn new(
        stream: OwnedReadHalf,
        budget: &Arc<ByteBudget>,
        evicted: Rc<Notify>,
        place: Option<LinkPlace>,
    ) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            lease: ByteLease::empty(budget),
            evicted,
            place,
        }
    }

    /// Receives the next frame, unless the link has to end.
    ///
    /// # Errors
    /// Returns an error if the link has ended or was evicted, if the frame is too long or too slow,
    /// or if there is no memory for it.
    pub(super) async fn next(&mut self) -> io::Result<HeldFrame> {
        let evicted = Rc::clone(&self.evicted);
        tokio::select! {
            frame = self.receive() => frame,
            () = evicted.notified() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    async fn receive(&mut self) -> io::Result<HeldFrame> {
        let mut deadline = None;
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            if !self.buffer.is_empty() {
                deadline.get_or_insert_with(|| Instant::now() + FRAME_TIMEOUT);
                self.place.iter_mut().for_each(LinkPlace::begin_frame);
            }
            match deadline {
                Some(deadline) => timeout_at(deadline, self.fill()).await??,
                None => self.fill().await?,
            }
        }
    }

    /// Takes a complete frame out of the buffer.
    fn take_frame(&mut self) -> io::Result<Option<HeldFrame>> {
        let Some(length) = self.frame_length()? else {
            return Ok(None);
        };
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let empty = ByteLease::empty(self.lease.budget());
        let frame = match self.buffer.capacity() > LINK_BUFFER_BYTES {
            // The frame takes the buffer with its lease, and the rest of the bytes gets a new one.
            true => {
                let mut rest = BytesMut::with_capacity(LINK_BUFFER_BYTES);
                rest.extend_from_slice(&self.buffer[length..]);
                let mut bytes = std::mem::replace(&mut self.buffer, rest);
                bytes.truncate(length);
                let lease = std::mem::replace(&mut self.lease, empty);
                HeldFrame {
                    bytes: bytes.freeze(),
                    lease,
                }
            }
            false => {
                let bytes = Bytes::copy_from_slice(&self.buffer[..length]);
                self.buffer.advance(length);
                HeldFrame {
                    bytes,
                    lease: empty,
                }
            }
        };
        self.place.iter_mut().for_each(LinkPlace::end_frame);
        Ok(Some(frame))
    }

    fn frame_length(&self) -> io::Result<Option<usize>> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        match u32::from_be_bytes(*header) as usize {
            length if length > MAX_FRAME_BYTES => Err(io::ErrorKind::InvalidData.into()),
            length => Ok(Some(length)),
        }
    }

    /// Receives more bytes, into a buffer that grows with what has come.
    async fn fill(&mut self) -> io::Result<()> {
        if self.buffer.len() == self.buffer.capacity() {
            let capacity =
                (self.buffer.len() * 2).clamp(LINK_BUFFER_BYTES, HEADER_BYTES + MAX_FRAME_BYTES);
            self.make_room(capacity).await?;
            self.buffer.reserve(capacity - self.buffer.len());
        }
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn make_room(&mut self, capacity: usize) -> io::Result<()> {
        let leased = match capacity {
            LINK_BUFFER_BYTES => 0,
            capacity => capacity,
        };
        let deadline = Instant::now() + FRAME_TIMEOUT;
        while !self.lease.try_grow_to(leased) {
            let has_evicted = self.place.as_ref().is_some_and(LinkPlace::evict_receiving);
            if !has_evicted && Instant::now() >= deadline {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            // Frames that are waiting for the event loop give their memory back soon.
            let freed = self.lease.budget().wait_freed();
            let _ = timeout(MEMORY_WAIT, freed).await;
        }
        Ok(())
    }
}

/// Writes queued frames until the queue is closed, several at a time if several are queued.
///
/// # Errors
/// Returns the error of the connection, or a timeout if its peer does not read.
pub(super) async fn write_frames(
    stream: &mut OwnedWriteHalf,
    frames: &mut mpsc::Receiver<HeldFrame>,
) -> io::Result<()> {
    let mut batch = Vec::new();
    while let Some(first) = frames.recv().await {
        let mut held = vec![first];
        let mut length = held[0].bytes.len();
        while length < LINK_BUFFER_BYTES
            && let Ok(next) = frames.try_recv()
        {
            length += next.bytes.len();
            held.push(next);
        }
        batch.clear();
        for frame in &held {
            batch.extend_from_slice(&(frame.bytes.len() as u32).to_be_bytes());
            match frame.bytes.len() {
                short if short < LINK_BUFFER_BYTES => batch.extend_from_slice(&frame.bytes),
                _ => {
                    write_all(stream, &batch).await?;
                    batch.clear();
                    write_all(stream, &frame.bytes).await?;
                }
            }
        }
        write_all(stream, &batch).await?;
        drop(held);
    }
    Ok(())
}

async fn write_all(stream: &mut OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_TIMEOUT, stream.write(bytes)).await??;
        bytes = &bytes[written..];
    }
    Ok(())
}
