//! Ids that must not run (again) at this agent.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How an id ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FencedEnd {
    /// It never ran.
    NotRun(RefusalReason),
    /// It ran, or may have.
    Ran,
}

/// Bounded table of ids that ended; the oldest are forgotten first.
#[derive(Debug)]
pub(super) struct FenceTable {
    ends: BTreeMap<RequestId, FencedEnd>,
    order: VecDeque<(MonoTime, RequestId)>,
    capacity: usize,
    lifetime: Duration,
}

impl FenceTable {
    /// Makes an empty table.
    pub(super) fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            ends: BTreeMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
            lifetime,
        }
    }

    /// Returns how an id ended.
    pub(super) fn get(&self, id: &RequestId) -> Option<FencedEnd> {
        self.ends.get(id).copied()
    }

    /// Returns the number of ids.
    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }

    /// Fences an id; the first end of an id stays.
    pub(super) fn add(&mut self, now: MonoTime, id: RequestId, end: FencedEnd) {
        if self.ends.contains_key(&id) {
            return;
        }
        if self.ends.len() >= self.capacity {
            self.drop_oldest();
        }
        self.order.push_back((now.plus(self.lifetime), id.clone()));
        self.ends.insert(id, end);
    }

    /// Forgets ids whose lifetime is over.
    pub(super) fn expire(&mut self, now: MonoTime) {
        while self.order.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.ends.remove(&id);
        }
    }
}
