//! TCP stream that enforces the limits of its listener.

use super::connection::{ConnectionState, ReadWait};
use super::table::ConnectionTable;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Time for which a closed connection discards what its client still sends.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes that a closed connection discards.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Connection of an HTTP listener.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    peer: SocketAddr,
    table: Arc<ConnectionTable>,
    state: Arc<ConnectionState>,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Pin<Box<Sleep>>,
    write_blocked: bool,
    /// Number of bytes discarded since the sending direction was closed.
    discarded_bytes: Option<usize>,
}

impl GuardedStream {
    /// Admits a connection, or drops it if no place is free.
    pub(crate) fn admit(stream: TcpStream, table: &Arc<ConnectionTable>) -> Option<Self> {
        let peer = stream.peer_addr().ok()?;
        let state = table.admit(peer)?;
        // `TCP_NODELAY` only lowers latency; the connection works without it.
        let _ = stream.set_nodelay(true);
        Some(Self {
            stream,
            peer,
            table: Arc::clone(table),
            state,
            read_timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            write_timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            write_blocked: false,
            discarded_bytes: None,
        })
    }

    /// Returns the address of the client.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the shared state of the connection.
    pub(crate) fn state(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }

    /// Returns the table of the listener.
    pub(crate) fn table(&self) -> &ConnectionTable {
        &self.table
    }

    /// Fails a write that has been blocked longer than the write timeout.
    fn poll_write_deadline<T>(
        &mut self,
        context: &mut Context<'_>,
        outcome: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_ready() {
            self.write_blocked = false;
            return outcome;
        }
        if !self.write_blocked {
            self.write_blocked = true;
            let limit = self.table.limits().write_timeout;
            self.write_timer.as_mut().reset(Instant::now() + limit);
        }
        ready!(self.write_timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Handles a read that found no bytes: waits, times out or ends the connection.
    fn poll_read_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.register(context.waker());
        match self.table.read_wait(&self.state) {
            ReadWait::Unbounded => Poll::Pending,
            ReadWait::End => Poll::Ready(Ok(())),
            ReadWait::Until(deadline) => {
                if self.read_timer.deadline() != deadline {
                    self.read_timer.as_mut().reset(deadline);
                }
                ready!(self.read_timer.as_mut().poll(context));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        self.table.remove(self.peer);
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        if outcome.is_pending() {
            return self.poll_read_deadline(context);
        }
        if buffer.filled().len() > filled {
            self.table.record_bytes(self.peer, &self.state);
        }
        outcome
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_write_deadline(context, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.poll_write_deadline(context, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the sending direction, then discards what the client still sends for a while: closing a
    /// connection with unread bytes resets it, and the client may lose its answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discarded_bytes.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.discarded_bytes = Some(0);
            self.read_timer.as_mut().reset(Instant::now() + LINGER_TIME);
        }
        let mut scratch = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut scratch);
            let outcome = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            let discarded = self.discarded_bytes.get_or_insert(0);
            *discarded += buffer.filled().len();
            match outcome {
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) if *discarded < MAX_DISCARDED_BYTES => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    ready!(self.read_timer.as_mut().poll(context));
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}
