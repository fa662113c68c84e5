//! Deadlines of many things, kept in order.

use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeSet;

/// Ordered set of moments, each with the thing that is due then.
#[derive(Debug)]
pub(crate) struct TimerQueue<K> {
    entries: BTreeSet<(MonoTime, K)>,
}

impl<K: Ord + Clone> Default for TimerQueue<K> {
    fn default() -> Self {
        Self {
            entries: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone> TimerQueue<K> {
    /// Adds a moment.
    pub(crate) fn add(&mut self, at: MonoTime, key: K) {
        self.entries.insert((at, key));
    }

    /// Removes a moment.
    pub(crate) fn remove(&mut self, at: MonoTime, key: K) {
        self.entries.remove(&(at, key));
    }

    /// Takes out one thing that is due, the earliest first.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<K> {
        let (at, _) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|(_, key)| key)
    }

    /// Returns the earliest moment.
    pub(crate) fn earliest(&self) -> Option<MonoTime> {
        self.entries.first().map(|(at, _)| *at)
    }
}
