//! Bounded rings between the threads.

use crossbeam_channel::{Receiver, SendTimeoutError, Sender, TrySendError, bounded};
use hornbeamlead_core::counter::RefusalReason;
use std::time::Duration;

/// Items that the ring into the decisions holds.
pub const RING_ITEMS: usize = 8192;

/// Items in the ring above which new work is refused; the rest is kept for outcomes.
const NEW_WORK_ITEMS: usize = RING_ITEMS / 2;

/// Longest wait for room in the ring; an outcome that finds none is dropped and counted.
const OUTCOME_PATIENCE: Duration = Duration::from_secs(1);

/// Sending end of the ring into the decisions.
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

/// Why the ring did not take new work; the work is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferRefusal<T> {
    /// The ring has no room for new work.
    Full(T),
    /// The decision thread has ended.
    Ended(T),
}

impl<T> OfferRefusal<T> {
    /// Returns the reason that is counted and told.
    pub fn reason(&self) -> RefusalReason {
        match self {
            Self::Full(_) => RefusalReason::RingFull,
            Self::Ended(_) => RefusalReason::Leaving,
        }
    }
}

impl<T> RingSender<T> {
    /// Offers new work, which is refused at once while the ring is half full.
    pub fn offer(&self, item: T) -> Result<(), OfferRefusal<T>> {
        if self.sender.len() >= NEW_WORK_ITEMS {
            return Err(OfferRefusal::Full(item));
        }
        self.sender.try_send(item).map_err(|error| match error {
            TrySendError::Full(item) => OfferRefusal::Full(item),
            TrySendError::Disconnected(item) => OfferRefusal::Ended(item),
        })
    }

    /// Delivers an outcome of work in progress, with a short wait where the ring is full.
    ///
    /// The decisions never wait for another thread, so room comes as soon as they run.
    pub fn deliver(&self, item: T) -> Result<(), OfferRefusal<T>> {
        self.sender
            .send_timeout(item, OUTCOME_PATIENCE)
            .map_err(|error| match error {
                SendTimeoutError::Timeout(item) => OfferRefusal::Full(item),
                SendTimeoutError::Disconnected(item) => OfferRefusal::Ended(item),
            })
    }
}

/// Makes the ring into the decisions.
pub fn decision_ring<T>() -> (RingSender<T>, Receiver<T>) {
    let (sender, receiver) = bounded(RING_ITEMS);
    (RingSender { sender }, receiver)
}
