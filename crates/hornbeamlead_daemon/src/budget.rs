//! Memory and connections that clients can make a process use, derived from the limits of its
//! machine.

use hornbeamlead_settings::MachineLimits;
use rustix::process::{Resource, getrlimit};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::Notify;

/// Share of the memory, as a divisor, for bodies, frames and what is decoded from them.
const HELD_SHARE: usize = 5;

/// Share of the memory, as a divisor, for frames that wait until their peers read.
const QUEUED_SHARE: usize = 10;

/// Share of the memory, as a divisor, for connections and the heads that they have sent.
const CONNECTION_SHARE: usize = 4;

/// Memory of a connection without its head and body, in bytes: the buffer for answers, the state of
/// the HTTP library and of the handler, and the timers.
const CONNECTION_BYTES: usize = 12 * 1024;

/// Descriptors for files, and for the connections to the store, workers and other hosts.
const OWN_DESCRIPTORS: usize = 512;

/// Share of a budget, in percent, that large leases may use; the rest is left for ordinary requests.
const LARGE_LEASES_PERCENT: usize = 75;

/// Size from which a lease counts as large, in bytes.
const LARGE_LEASE_BYTES: usize = 64 * 1024;

/// What the clients of a process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientShare {
    /// Bytes of bodies, frames and what is decoded from them.
    pub held_bytes: usize,
    /// Bytes of frames that wait until their peers read.
    pub queued_bytes: usize,
    /// Bytes of connections and their heads.
    connection_bytes: usize,
    /// Descriptors of connections. Links, which take a few kilobytes, are bounded by them alone.
    pub descriptors: usize,
}

impl ClientShare {
    /// Returns the maximum number of connections of the listener with most of them, each with a head
    /// of a maximum length.
    #[must_use]
    pub fn connections(&self, max_head_bytes: usize) -> usize {
        let by_memory = self.connection_bytes / (CONNECTION_BYTES + max_head_bytes);
        by_memory.min(self.descriptors).max(1)
    }
}

impl From<MachineLimits> for ClientShare {
    fn from(limits: MachineLimits) -> Self {
        let memory = (limits.memory.0 as usize).saturating_mul(1024 * 1024);
        let open_files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = (limits.descriptors as usize).min(open_files as usize);
        Self {
            held_bytes: memory / HELD_SHARE,
            queued_bytes: memory / QUEUED_SHARE,
            connection_bytes: memory / CONNECTION_SHARE,
            descriptors: descriptors.saturating_sub(OWN_DESCRIPTORS),
        }
    }
}

/// Bytes that all clients of a process together may make it hold.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    freed: Notify,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            freed: Notify::new(),
        })
    }

    /// Returns the number of leased bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Waits until a lease becomes smaller.
    pub async fn wait_freed(&self) {
        self.freed.notified().await;
    }

    fn try_take(&self, bytes: usize, lease: usize) -> bool {
        let limit = match lease.saturating_add(bytes) {
            large if large > LARGE_LEASE_BYTES => self.limit / 100 * LARGE_LEASES_PERCENT,
            _ => self.limit,
        };
        let take = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let relaxed = Ordering::Relaxed;
        self.used.fetch_update(relaxed, relaxed, take).is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.freed.notify_waiters();
    }
}

/// Part of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct ByteLease {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteLease {
    /// Creates a lease of no bytes.
    #[must_use]
    pub fn empty(budget: &Arc<ByteBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Returns the budget.
    #[must_use]
    pub fn budget(&self) -> &Arc<ByteBudget> {
        &self.budget
    }

    /// Returns the number of leased bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the lease to a size unless the budget has no room; a larger lease stays as it is.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let has_grown = more == 0 || self.budget.try_take(more, self.bytes);
        if has_grown {
            self.bytes += more;
        }
        has_grown
    }
}

impl ByteLease {
    /// Grows the lease to a size, beyond the budget if need be.
    pub fn force_grow_to(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.budget.used.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

/// Value that one thread replaces and others copy.
#[derive(Debug, Default)]
pub struct SharedValue<T>(RwLock<T>);

impl<T: Copy> SharedValue<T> {
    /// Creates a shared value.
    pub fn new(value: T) -> Self {
        Self(RwLock::new(value))
    }

    /// Returns the value.
    pub fn get(&self) -> T {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the value.
    pub fn set(&self, value: T) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = value;
    }
}
