//! Connections of one HTTP listener: limit, read deadlines and the planned stop.

use crate::counters::ProcessCounters;
use futures_util::task::AtomicWaker;
use hornbeamlead_core::counter::RefusalReason;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time between two requests.
    pub idle_timeout: Duration,
    /// Maximum time for which a write of a response may make no progress.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// All connections of a listener.
pub struct ConnectionTable {
    limits: ConnectionLimits,
    counters: Arc<ProcessCounters>,
    open: Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>,
    stopping: AtomicBool,
    closing: AtomicBool,
    changed: Notify,
}

/// State shared by the stream and the handlers of one connection.
pub struct ConnectionState {
    progress: Mutex<ReadProgress>,
    waker: AtomicWaker,
}

/// Read progress of a connection.
#[derive(Clone, Copy, Debug)]
struct ReadProgress {
    /// Number of requests being handled.
    active_requests: usize,
    /// Whether bytes of the next request have been received.
    head_started: bool,
    /// Deadline for the next request head.
    read_deadline: Instant,
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

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits, counters: Arc<ProcessCounters>) -> Arc<Self> {
        Arc::new(Self {
            limits,
            counters,
            open: Mutex::new(HashMap::new()),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Admits a connection; returns `None` and counts a refusal if the limit is reached.
    pub fn admit(&self, peer: SocketAddr) -> Option<Arc<ConnectionState>> {
        let mut open = lock(&self.open);
        if open.len() >= self.limits.max_connections {
            self.counters.refusal(RefusalReason::QueueFull);
            return None;
        }
        let state = Arc::new(ConnectionState::new(
            Instant::now() + self.limits.head_timeout,
        ));
        open.insert(peer, Arc::clone(&state));
        Some(state)
    }

    /// Removes a closed connection.
    ///
    /// A connection that ends within a request head had a malformed, too long or too slow head. The
    /// HTTP library answers these itself without calling a handler, so they are counted here.
    pub fn remove(&self, peer: SocketAddr) {
        let removed = lock(&self.open).remove(&peer);
        if removed.is_some_and(|state| state.ends_within_head()) {
            self.counters.refusal(RefusalReason::BadRequest);
        }
        self.changed.notify_waiters();
    }

    /// Marks a request as being handled until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>, peer: SocketAddr) -> RequestGuard {
        let state = lock(&self.open).get(&peer).map(Arc::clone);
        if let Some(state) = &state {
            state.begin_request();
        }
        RequestGuard {
            state,
            idle_timeout: self.limits.idle_timeout,
        }
    }

    /// Makes every response close its connection from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether responses have to close their connections.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Closes the listener and all connections without a request in progress.
    pub fn close(&self) {
        self.stop();
        self.closing.store(true, Ordering::Release);
        self.changed.notify_waiters();
        for state in lock(&self.open).values() {
            state.waker.wake();
        }
    }

    /// Waits until [`close`](Self::close) is called.
    pub async fn wait_closed(&self) {
        self.wait_for(|| self.closing.load(Ordering::Acquire)).await;
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        lock(&self.open).is_empty()
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        self.wait_for(|| lock(&self.open).is_empty()).await;
    }

    /// Returns what a read that found no bytes has to do.
    pub fn read_wait(&self, state: &ConnectionState) -> ReadWait {
        let progress = *lock(&state.progress);
        let closing = self.closing.load(Ordering::Acquire);
        match progress {
            ReadProgress {
                active_requests, ..
            } if active_requests > 0 => ReadWait::Unbounded,
            ReadProgress { head_started, .. } if closing && !head_started => ReadWait::End,
            ReadProgress { read_deadline, .. } => ReadWait::Until(read_deadline),
        }
    }

    /// Records that bytes were received; the first bytes of a request start its head timeout.
    pub fn record_bytes(&self, state: &ConnectionState) {
        let mut progress = lock(&state.progress);
        if progress.active_requests == 0 && !progress.head_started {
            progress.head_started = true;
            progress.read_deadline = Instant::now() + self.limits.head_timeout;
        }
    }

    async fn wait_for(&self, done: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if done() {
                return;
            }
            changed.await;
        }
    }
}

impl ConnectionState {
    fn new(read_deadline: Instant) -> Self {
        Self {
            progress: Mutex::new(ReadProgress {
                active_requests: 0,
                head_started: false,
                read_deadline,
            }),
            waker: AtomicWaker::new(),
        }
    }

    /// Registers the reader to be woken when the result of [`ConnectionTable::read_wait`] may
    /// change.
    pub fn register(&self, waker: &std::task::Waker) {
        self.waker.register(waker);
    }

    /// Returns whether a request head was received only in part.
    fn ends_within_head(&self) -> bool {
        let progress = lock(&self.progress);
        progress.active_requests == 0 && progress.head_started
    }

    fn begin_request(&self) {
        let mut progress = lock(&self.progress);
        progress.active_requests += 1;
        progress.head_started = false;
    }

    fn end_request(&self, idle_timeout: Duration) {
        let mut progress = lock(&self.progress);
        progress.active_requests = progress.active_requests.saturating_sub(1);
        progress.read_deadline = Instant::now() + idle_timeout;
        drop(progress);
        self.waker.wake();
    }
}

/// Marks the request as finished when dropped.
pub struct RequestGuard {
    state: Option<Arc<ConnectionState>>,
    idle_timeout: Duration,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(state) = &self.state {
            state.end_request(self.idle_timeout);
        }
    }
}

/// Locks a mutex. Poisoning is ignored, because no holder leaves the data inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
