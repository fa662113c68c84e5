//! Connections of one HTTP listener: their places, what they may hold, and the planned stop.
//!
//! When all places are taken, a new connection takes that of the connection which has waited longest
//! for its client, since an ordinary client sends a request in far less time. Requests that are
//! being handled keep their places.

use super::body::RequestError;
use super::connection::{ConnectionLimits, ConnectionState, ReadWait, lock};
use super::places::{ConnectionPlace, ConnectionPlaces, OpenConnection};
use crate::budget::{ByteBudget, ByteLease, SharedValue};
use crate::counters::ProcessCounters;
use gotham::state::{State, client_addr};
use hornbeamlead_core::counter::RefusalReason;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of the places, in percent, that requests being handled may take.
const HANDLED_PERCENT: usize = 90;

/// The same for requests on connections that have had one answered already, so that callers which keep
/// all places busy leave some to others.
const REPEATED_PERCENT: usize = 75;

/// All connections of a listener.
pub struct ConnectionTable {
    limits: SharedValue<ConnectionLimits>,
    counters: Arc<ProcessCounters>,
    budget: Arc<ByteBudget>,
    places: Mutex<ConnectionPlaces>,
    stopping: AtomicBool,
    closing: AtomicBool,
    changed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table whose connections hold bodies within a budget.
    pub fn new(
        limits: ConnectionLimits,
        budget: Arc<ByteBudget>,
        counters: Arc<ProcessCounters>,
    ) -> Arc<Self> {
        Arc::new(Self {
            limits: SharedValue::new(limits),
            counters,
            budget,
            places: Mutex::default(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits.get()
    }

    /// Replaces the limits; open connections keep the deadlines that they have.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.limits.set(limits);
    }

    /// Returns the counters of the process.
    pub fn counters(&self) -> &ProcessCounters {
        &self.counters
    }

    /// Returns the budget for bodies.
    pub fn budget(&self) -> &Arc<ByteBudget> {
        &self.budget
    }

    /// Admits a connection, in the place of another one if none is free; returns `None` and counts a
    /// refusal if all requests in the places are being handled.
    pub fn admit(&self, peer: SocketAddr) -> Option<Arc<ConnectionState>> {
        let limits = self.limits();
        let mut places = lock(&self.places);
        if places.taken() >= limits.max_connections {
            let oldest = places.waiting.first_key_value().map(|(_, peer)| *peer);
            let Some(oldest) = oldest else {
                self.counters.refusal(RefusalReason::QueueFull);
                return None;
            };
            places.evict(oldest);
            self.counters.refusal(RefusalReason::ConnectionEvicted);
        }
        let state = Arc::new(ConnectionState::new(Instant::now() + limits.head_timeout));
        let number = places.next_number();
        let place = ConnectionPlace::Waiting {
            number,
            reads_body: false,
        };
        let connection = OpenConnection {
            state: Arc::clone(&state),
            place,
            answered: false,
        };
        places.open.insert(peer, connection);
        places.waiting.insert(number, peer);
        Some(state)
    }

    /// Removes a closed connection.
    ///
    /// A connection that ends within a request head had a malformed, too long or too slow head. The
    /// HTTP library answers these itself without calling a handler, so they are counted here.
    pub fn remove(&self, peer: SocketAddr) {
        let mut places = lock(&self.places);
        let removed = places.open.remove(&peer);
        if let Some(connection) = removed {
            places.leave(connection.place);
            let was_evicted = connection.place == ConnectionPlace::Evicted;
            if connection.state.ends_within_head() && !was_evicted {
                self.counters.refusal(RefusalReason::BadRequest);
            }
        }
        drop(places);
        self.changed.notify_waiters();
    }

    /// Marks the request of a handler's state as received; see [`Self::begin_request`].
    pub(crate) fn begin_call(self: &Arc<Self>, state: &State) -> RequestGuard {
        // The server puts the address into each state; a request without one has no place.
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        self.begin_request(client_addr(state).unwrap_or(unknown))
    }

    /// Marks a request as received, up to its body, until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>, peer: SocketAddr) -> RequestGuard {
        let mut places = lock(&self.places);
        let state = places
            .open
            .get(&peer)
            .map(|connection| Arc::clone(&connection.state));
        if let Some(state) = &state {
            state.begin_request();
        }
        if let Some(number) = places.wait_number(peer) {
            let reads_body = true;
            places.set_place(peer, ConnectionPlace::Waiting { number, reads_body });
        }
        drop(places);
        RequestGuard {
            table: Arc::clone(self),
            peer,
            state,
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
        for connection in lock(&self.places).open.values() {
            connection.state.wake();
        }
    }

    /// Waits until [`close`](Self::close) is called.
    pub async fn wait_closed(&self) {
        self.wait_for(|| self.closing.load(Ordering::Acquire)).await;
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        lock(&self.places).open.is_empty()
    }

    /// Waits until no connection is open.
    pub async fn wait_empty(&self) {
        self.wait_for(|| self.is_empty()).await;
    }

    /// Returns what a read that found no bytes has to do.
    pub fn read_wait(&self, state: &ConnectionState) -> ReadWait {
        state.read_wait(self.closing.load(Ordering::Acquire))
    }

    /// Records that bytes were received; the first bytes of a request start its head timeout and a
    /// new wait for its client.
    pub fn record_bytes(&self, peer: SocketAddr, state: &ConnectionState) {
        if !state.record_bytes(|| Instant::now() + self.limits().head_timeout) {
            return;
        }
        let mut places = lock(&self.places);
        if places.wait_number(peer).is_some() {
            let number = places.next_number();
            let reads_body = false;
            places.set_place(peer, ConnectionPlace::Waiting { number, reads_body });
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

/// Request of a connection, which waits for the next one when the guard is dropped.
pub struct RequestGuard {
    table: Arc<ConnectionTable>,
    peer: SocketAddr,
    state: Option<Arc<ConnectionState>>,
}

impl RequestGuard {
    /// Returns the table of the connection.
    pub fn table(&self) -> &ConnectionTable {
        &self.table
    }

    /// Marks the request as complete, so that it keeps its place.
    ///
    /// # Errors
    /// Counts and returns [`RequestError::Busy`] if too many requests are being handled.
    pub fn begin_handling(&self) -> Result<(), RequestError> {
        let mut places = lock(&self.table.places);
        let repeated = places
            .open
            .get(&self.peer)
            .is_some_and(|open| open.answered);
        let percent = match repeated {
            true => REPEATED_PERCENT,
            false => HANDLED_PERCENT,
        };
        let max_handled = self.table.limits().max_connections * percent / 100;
        if places.handled >= max_handled.max(1) {
            self.table.counters.refusal(RequestError::Busy.into());
            return Err(RequestError::Busy);
        }
        if places.wait_number(self.peer).is_some() {
            places.set_place(self.peer, ConnectionPlace::Handled);
        }
        Ok(())
    }

    /// Grows a lease for the request. If the budget has no room, the connection that has waited longest
    /// for the rest of a body is closed.
    ///
    /// # Errors
    /// Counts and returns [`RequestError::NoMemory`] if that connection is this one.
    pub async fn grow_lease(
        &self,
        lease: &mut ByteLease,
        bytes: usize,
    ) -> Result<(), RequestError> {
        while !lease.try_grow_to(bytes) {
            if !self.evict_body() {
                self.table.counters.refusal(RequestError::NoMemory.into());
                return Err(RequestError::NoMemory);
            }
            // The evicted task gives its bytes back when it runs.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Evicts the connection that has waited longest for the rest of a body, unless it is this one.
    fn evict_body(&self) -> bool {
        let mut places = lock(&self.table.places);
        let oldest = places.bodies.first_key_value().map(|(_, peer)| *peer);
        let Some(oldest) = oldest.filter(|oldest| *oldest != self.peer) else {
            return false;
        };
        places.evict(oldest);
        self.table
            .counters
            .refusal(RefusalReason::ConnectionEvicted);
        true
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Some(state) = &self.state else {
            return;
        };
        state.end_request(Instant::now() + self.table.limits().idle_timeout);
        let mut places = lock(&self.table.places);
        let open = places.open.get_mut(&self.peer);
        let place = open.map(|open| {
            open.answered = true;
            open.place
        });
        if place.is_some_and(|place| place != ConnectionPlace::Evicted) {
            let number = places.next_number();
            let reads_body = false;
            places.set_place(self.peer, ConnectionPlace::Waiting { number, reads_body });
        }
    }
}
