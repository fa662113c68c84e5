//! State of one connection of an HTTP listener, and the limits of the listener.

use crate::budget::ClientShare;
use futures_util::task::AtomicWaker;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connections of a listener for the process's own host and its operators.
const NARROW_CONNECTIONS: usize = 64;

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time from the end of a head to the end of the body.
    pub body_timeout: Duration,
    /// Maximum time between two requests.
    pub idle_timeout: Duration,
    /// Maximum time for which a write of a response may make no progress.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
        }
    }
}

impl ConnectionLimits {
    /// Returns the limits of the listener with most of the connections of a process.
    #[must_use]
    pub fn wide(share: ClientShare) -> Self {
        let limits = Self::default();
        Self {
            max_connections: share.connections(limits.max_head_bytes),
            ..limits
        }
    }

    /// Returns the limits of a listener for the process's own host and its operators.
    #[must_use]
    pub fn narrow() -> Self {
        Self {
            max_connections: NARROW_CONNECTIONS,
            ..Self::default()
        }
    }
}

/// Stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionStage {
    /// Waits for the head of a request until the deadline.
    Head {
        /// Whether bytes of the head have been received.
        started: bool,
        deadline: Instant,
    },
    /// The head is complete; the body is being received, or the request is being handled.
    Request,
}

/// What a read that found no bytes has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadWait {
    /// Wait without a deadline, because a request is being handled.
    Unbounded,
    /// Wait until a deadline, then fail the connection.
    Until(Instant),
    /// End the connection, because the process is stopping and no request has started.
    End,
}

/// State shared by the stream, the handlers and the task of one connection.
#[derive(Debug)]
pub struct ConnectionState {
    stage: Mutex<ConnectionStage>,
    waker: AtomicWaker,
    evicted: Notify,
}

impl ConnectionState {
    pub(super) fn new(head_deadline: Instant) -> Self {
        Self {
            stage: Mutex::new(ConnectionStage::Head {
                started: false,
                deadline: head_deadline,
            }),
            waker: AtomicWaker::new(),
            evicted: Notify::new(),
        }
    }

    /// Registers the reader to be woken when the result of [`Self::read_wait`] may change.
    pub fn register(&self, waker: &Waker) {
        self.waker.register(waker);
    }

    /// Wakes the reader.
    pub(super) fn wake(&self) {
        self.waker.wake();
    }

    /// Returns what a read that found no bytes has to do.
    pub(super) fn read_wait(&self, is_closing: bool) -> ReadWait {
        match *lock(&self.stage) {
            ConnectionStage::Request => ReadWait::Unbounded,
            ConnectionStage::Head { started: false, .. } if is_closing => ReadWait::End,
            ConnectionStage::Head { deadline, .. } => ReadWait::Until(deadline),
        }
    }

    /// Records that bytes were received; returns whether they are the first ones of a head, which
    /// then has to be complete by the deadline.
    pub(super) fn record_bytes(&self, head_deadline: impl Fn() -> Instant) -> bool {
        let mut stage = lock(&self.stage);
        let is_first = matches!(*stage, ConnectionStage::Head { started: false, .. });
        if is_first {
            *stage = ConnectionStage::Head {
                started: true,
                deadline: head_deadline(),
            };
        }
        is_first
    }

    /// Returns whether a request head was received only in part.
    pub(super) fn ends_within_head(&self) -> bool {
        matches!(
            *lock(&self.stage),
            ConnectionStage::Head { started: true, .. }
        )
    }

    pub(super) fn begin_request(&self) {
        *lock(&self.stage) = ConnectionStage::Request;
    }

    pub(super) fn end_request(&self, idle_deadline: Instant) {
        *lock(&self.stage) = ConnectionStage::Head {
            started: false,
            deadline: idle_deadline,
        };
        self.wake();
    }

    /// Has the task of the connection end it, whatever it is doing.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }

    /// Waits until the connection is evicted.
    pub(super) async fn wait_evicted(&self) {
        self.evicted.notified().await;
    }
}

/// Locks a mutex. Poisoning is ignored, because no holder leaves the data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
