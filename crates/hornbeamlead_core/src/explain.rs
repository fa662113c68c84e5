//! Bounded history of recent decisions, each with its rule, inputs and revision.

use crate::clock::WallTime;
use crate::ids::Revision;
use std::collections::VecDeque;

/// Decision in a form that operators can read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// Time of the decision.
    pub at: WallTime,
    /// Object of the decision: a task, request, note, host or data centre.
    pub subject: Box<str>,
    /// Name of the rule that was applied.
    pub rule: &'static str,
    /// Inputs of the rule, as key=value pairs.
    pub inputs: Box<str>,
    /// Configuration revision at the time of the decision.
    pub revision: Revision,
}

/// Ring buffer of the newest decisions.
#[derive(Clone, Debug)]
pub struct DecisionRing {
    records: VecDeque<DecisionRecord>,
    capacity: usize,
}

impl DecisionRing {
    /// Creates an empty ring for `capacity` decisions, but at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
        }
    }

    /// Adds a decision, dropping the oldest one if the ring is full.
    pub fn push(&mut self, record: DecisionRecord) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the decisions whose subject contains `subject`, newest first.
    pub fn for_subject<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a DecisionRecord> {
        self.records
            .iter()
            .rev()
            .filter(move |record| record.subject.contains(subject))
    }
}
