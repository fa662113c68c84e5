//! Ring into the decision thread: a bounded channel that keeps half of its capacity for outcomes.

use crossbeam_channel::{Receiver, SendTimeoutError, Sender, TrySendError, bounded};
use hornbeamlead_core::counter::RefusalReason;
use std::time::Duration;

/// Capacity of the ring into the decision thread, in items.
pub const RING_CAPACITY: usize = 8192;

/// Items in the ring from which on new work is refused; the rest is reserved for outcomes.
const NEW_WORK_LIMIT: usize = RING_CAPACITY / 2;

/// Maximum wait for space in the ring; an outcome that finds none is returned to its sender, to be
/// dropped and counted.
const OUTCOME_SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sending end of the ring into the decision thread.
#[derive(Debug)]
pub struct RingSender<T> {
    sender: Sender<T>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

/// Reason why the ring refused an item, with the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferRefusal<T> {
    /// The ring has no space for the item.
    Full(T),
    /// The decision thread has ended.
    Ended(T),
}

impl<T> OfferRefusal<T> {
    /// Returns the reason for the counters and the reply.
    pub fn reason(&self) -> RefusalReason {
        match self {
            Self::Full(_) => RefusalReason::RingFull,
            Self::Ended(_) => RefusalReason::Leaving,
        }
    }
}

impl<T> RingSender<T> {
    /// Sends new work; refused at once while the ring is at least half full.
    pub fn offer(&self, item: T) -> Result<(), OfferRefusal<T>> {
        if self.sender.len() >= NEW_WORK_LIMIT {
            return Err(OfferRefusal::Full(item));
        }
        self.sender.try_send(item).map_err(|error| match error {
            TrySendError::Full(item) => OfferRefusal::Full(item),
            TrySendError::Disconnected(item) => OfferRefusal::Ended(item),
        })
    }

    /// Sends an outcome of work in progress; waits for up to 1 s while the ring is full.
    ///
    /// The decision thread never waits for another thread, so space is freed as soon as it runs.
    pub fn deliver(&self, item: T) -> Result<(), OfferRefusal<T>> {
        self.sender
            .send_timeout(item, OUTCOME_SEND_TIMEOUT)
            .map_err(|error| match error {
                SendTimeoutError::Timeout(item) => OfferRefusal::Full(item),
                SendTimeoutError::Disconnected(item) => OfferRefusal::Ended(item),
            })
    }
}

/// Creates the ring into the decision thread.
pub fn decision_ring<T>() -> (RingSender<T>, Receiver<T>) {
    let (sender, receiver) = bounded(RING_CAPACITY);
    (RingSender { sender }, receiver)
}
