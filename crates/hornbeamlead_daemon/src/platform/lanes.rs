//! Runs calls side by side, but those of one lane one after the other.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::hash::Hash;

/// Calls, in order within each lane.
pub(crate) struct CallLanes<K, C, F> {
    waiting: HashMap<K, VecDeque<C>>,
    running: FuturesUnordered<F>,
    count: usize,
    limit: usize,
}

impl<K, C, F> CallLanes<K, C, F>
where
    K: Clone + Eq + Hash,
    F: Future<Output = K>,
{
    /// Makes lanes that hold at most `limit` calls together.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            waiting: HashMap::new(),
            running: FuturesUnordered::new(),
            count: 0,
            limit,
        }
    }

    /// Returns whether one more call has room.
    pub(crate) fn has_room(&self) -> bool {
        self.count < self.limit
    }

    /// Adds a call; `start` makes its future if the lane is free.
    pub(crate) fn add(&mut self, lane: K, call: C, start: impl FnOnce(K, C) -> F) {
        self.count += 1;
        match self.waiting.get_mut(&lane) {
            Some(queue) => queue.push_back(call),
            None => {
                self.waiting.insert(lane.clone(), VecDeque::new());
                self.running.push(start(lane, call));
            }
        }
    }

    /// Waits for the end of a call and starts the next one of its lane; never ends while idle.
    pub(crate) async fn advance(&mut self, start: impl FnOnce(K, C) -> F) {
        let Some(lane) = self.running.next().await else {
            return std::future::pending().await;
        };
        self.count -= 1;
        let next = self.waiting.get_mut(&lane).and_then(VecDeque::pop_front);
        match next {
            Some(call) => self.running.push(start(lane, call)),
            None => {
                self.waiting.remove(&lane);
            }
        }
    }
}
