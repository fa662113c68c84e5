//! Runs calls concurrently, but calls of the same lane (key) sequentially.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::hash::Hash;

/// Calls executed in order within each lane.
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
    /// Creates lanes that hold at most `limit` calls in total, running and queued.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            waiting: HashMap::new(),
            running: FuturesUnordered::new(),
            count: 0,
            limit,
        }
    }

    /// Returns whether another call can be added.
    pub(crate) fn has_room(&self) -> bool {
        self.count < self.limit
    }

    /// Adds a call; `start` creates its future immediately if the lane is idle.
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

    /// Waits for a call to complete and starts the next one of its lane; pending forever while
    /// idle.
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
