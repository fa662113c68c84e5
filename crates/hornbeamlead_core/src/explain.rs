//! Bounded ring of recent decisions, each with its rule, inputs and revision.

use crate::clock::WallTime;
use crate::ids::Revision;
use std::collections::VecDeque;

/// One decision, worded so that an operator can follow it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// When it was taken.
    pub at: WallTime,
    /// Thing decided upon: a task, request, note, host or data centre.
    pub subject: Box<str>,
    /// Rule that decided.
    pub rule: &'static str,
    /// Inputs of the rule, as key=value pairs.
    pub inputs: Box<str>,
    /// Configuration in force.
    pub revision: Revision,
}

/// Keeps the newest decisions up to a capacity.
#[derive(Clone, Debug)]
pub struct DecisionRing {
    notes: VecDeque<DecisionRecord>,
    capacity: usize,
}

impl DecisionRing {
    /// Makes an empty ring.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            notes: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
        }
    }

    /// Adds a decision and drops the oldest if the ring is full.
    pub fn push(&mut self, note: DecisionRecord) {
        if self.notes.len() == self.capacity {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// Returns the decisions whose subject contains `subject`, newest first.
    pub fn for_subject<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a DecisionRecord> {
        self.notes
            .iter()
            .rev()
            .filter(move |note| note.subject.contains(subject))
    }
}
