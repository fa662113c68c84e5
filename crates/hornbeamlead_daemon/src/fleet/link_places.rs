//! Places of the links that other processes open, which clients of any kind can take.
//!
//! A link whose first frame has not arrived gives its place to a new one when none is free, and one
//! that is in the middle of a frame gives its memory to another; the one that began first goes first,
//! since a process of the system sends a frame at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of a link in the order of its wait.
type WaitNumber = u64;

/// Places of the links that a process has accepted.
#[derive(Debug)]
pub(super) struct LinkPlaces {
    max_links: usize,
    state: RefCell<PlaceState>,
}

#[derive(Debug, Default)]
struct PlaceState {
    open: usize,
    last_number: WaitNumber,
    /// Links whose first frame has not arrived.
    unproven: BTreeMap<WaitNumber, Rc<Notify>>,
    /// Links of which a part of a frame has arrived.
    receiving: BTreeMap<WaitNumber, Rc<Notify>>,
}

/// Place of one link, given back when it is dropped.
#[derive(Debug)]
pub(super) struct LinkPlace {
    places: Rc<LinkPlaces>,
    evicted: Rc<Notify>,
    unproven: Option<WaitNumber>,
    receiving: Option<WaitNumber>,
}

impl LinkPlaces {
    pub(super) fn new(max_links: usize) -> Rc<Self> {
        Rc::new(Self {
            max_links,
            state: RefCell::default(),
        })
    }

    /// Takes a place for a link, that of another one if none is free; `None` if all others have
    /// proven to be of the system.
    /// `evicted` is notified when the link has to give up its place.
    pub(super) fn take(self: &Rc<Self>, evicted: Rc<Notify>) -> Option<LinkPlace> {
        let mut state = self.state.borrow_mut();
        if state.open >= self.max_links {
            let (_, oldest) = state.unproven.pop_first()?;
            oldest.notify_one();
        }
        state.open += 1;
        let number = state.next_number();
        state.unproven.insert(number, Rc::clone(&evicted));
        Some(LinkPlace {
            places: Rc::clone(self),
            evicted,
            unproven: Some(number),
            receiving: None,
        })
    }
}

impl PlaceState {
    fn next_number(&mut self) -> WaitNumber {
        self.last_number += 1;
        self.last_number
    }
}

impl LinkPlace {
    /// Records that a part of a frame has arrived.
    pub(super) fn begin_frame(&mut self) {
        if self.receiving.is_none() {
            let mut state = self.places.state.borrow_mut();
            let number = state.next_number();
            state.receiving.insert(number, Rc::clone(&self.evicted));
            self.receiving = Some(number);
        }
    }

    /// Records that the frame is complete.
    pub(super) fn end_frame(&mut self) {
        let mut state = self.places.state.borrow_mut();
        if let Some(number) = self.receiving.take() {
            state.receiving.remove(&number);
        }
        if let Some(number) = self.unproven.take() {
            state.unproven.remove(&number);
        }
    }

    /// Evicts the link that has waited longest for the rest of a frame; returns `false` if that is
    /// this one.
    pub(super) fn evict_receiving(&self) -> bool {
        let mut state = self.places.state.borrow_mut();
        match state.receiving.first_key_value() {
            Some((number, _)) if Some(*number) != self.receiving => {}
            _ => return false,
        }
        let oldest = state.receiving.pop_first();
        oldest.inspect(|(_, evicted)| evicted.notify_one());
        true
    }
}

impl Drop for LinkPlace {
    fn drop(&mut self) {
        let mut state = self.places.state.borrow_mut();
        state.open -= 1;
        if let Some(number) = self.unproven {
            state.unproven.remove(&number);
        }
        if let Some(number) = self.receiving {
            state.receiving.remove(&number);
        }
    }
}
