//! Ordered queue of timers.

use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeSet;

/// Timers in order of their time, each with its key.
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
    pub(crate) fn add(&mut self, at: MonoTime, key: K) {
        self.entries.insert((at, key));
    }

    pub(crate) fn remove(&mut self, at: MonoTime, key: K) {
        self.entries.remove(&(at, key));
    }

    /// Removes the earliest timer that is due and returns its key.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<K> {
        let (at, _) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|(_, key)| key)
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn earliest(&self) -> Option<MonoTime> {
        self.entries.first().map(|(at, _)| *at)
    }
}
