//! TCP stream that enforces the limits of its listener.

use super::connection::{ConnectionState, ConnectionTable, ReadWait};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Connection of an HTTP listener.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    peer: SocketAddr,
    table: Arc<ConnectionTable>,
    state: Arc<ConnectionState>,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Pin<Box<Sleep>>,
    write_blocked: bool,
}

impl GuardedStream {
    /// Admits a connection, or drops it if the connection limit is reached.
    pub(crate) fn admit(stream: TcpStream, table: &Arc<ConnectionTable>) -> Result<Self, ()> {
        let peer = stream.peer_addr().map_err(drop)?;
        let state = table.admit(peer).ok_or(())?;
        // `TCP_NODELAY` only lowers latency; the connection works without it.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            peer,
            table: Arc::clone(table),
            state,
            read_timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            write_timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            write_blocked: false,
        })
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
            self.table.record_bytes(&self.state);
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
