//! Fences on request ids, so that no request runs a second time at this agent.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How a request id ended at this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FencedOutcome {
    /// It never ran.
    NotRun(RefusalReason),
    /// It ran, or may have.
    Ran,
}

/// Bounded table of ended request ids; the oldest are evicted first.
#[derive(Debug)]
pub(super) struct FenceTable {
    outcomes: BTreeMap<RequestId, FencedOutcome>,
    order: VecDeque<(MonoTime, RequestId)>,
    capacity: usize,
    lifetime: Duration,
}

impl FenceTable {
    /// Creates a table of at most `capacity` ids, each kept for `lifetime`.
    pub(super) fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            outcomes: BTreeMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
            lifetime,
        }
    }

    pub(super) fn get(&self, id: &RequestId) -> Option<FencedOutcome> {
        self.outcomes.get(id).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Fences an id; a fence that exists already is left unchanged.
    pub(super) fn add(&mut self, now: MonoTime, id: RequestId, outcome: FencedOutcome) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        if self.outcomes.len() >= self.capacity {
            self.drop_oldest();
        }
        self.order.push_back((now.plus(self.lifetime), id.clone()));
        self.outcomes.insert(id, outcome);
    }

    /// Removes fences whose lifetime is over.
    pub(super) fn expire(&mut self, now: MonoTime) {
        while self.order.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.outcomes.remove(&id);
        }
    }
}
