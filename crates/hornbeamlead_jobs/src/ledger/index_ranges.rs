//! Set of numbers, stored as ranges.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Set of numbers. Takes memory for each contiguous range, not for each number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexRanges {
    /// End of each range, which is not part of it, by its start.
    ends: BTreeMap<u32, u32>,
    len: usize,
}

impl IndexRanges {
    /// Returns the set of all numbers below `end`.
    #[must_use]
    pub fn below(end: u32) -> Self {
        let mut ranges = Self::default();
        ranges.insert_range(0, end);
        ranges
    }

    /// Number of numbers in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the set has no numbers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether a number is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let before = self.ends.range(..=index).next_back();
        before.is_some_and(|(_, &end)| index < end)
    }

    /// Returns the greatest number.
    #[must_use]
    pub fn last(&self) -> Option<u32> {
        self.ends.values().next_back().map(|end| end - 1)
    }

    /// Returns the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ends.iter().flat_map(|(&start, &end)| start..end)
    }

    /// Returns the numbers below `end` that are not in the set, in ascending order.
    pub fn gaps(&self, end: u32) -> impl Iterator<Item = u32> {
        let starts = self.ends.keys().copied().chain([end]);
        let ends = [0].into_iter().chain(self.ends.values().copied());
        ends.zip(starts)
            .flat_map(move |(gap, next)| gap..next.min(end))
    }

    /// Adds a number, unless it is the greatest possible one.
    pub fn insert(&mut self, index: u32) {
        if !self.contains(index) {
            self.insert_range(index, index.saturating_add(1));
        }
    }

    /// Adds the numbers from `start` to below `end`, none of which may be in the set.
    pub(super) fn insert_range(&mut self, start: u32, end: u32) {
        if start >= end {
            return;
        }
        self.len += (end - start) as usize;
        let merged_end = self.ends.remove(&end).unwrap_or(end);
        match self.ends.range_mut(..start).next_back() {
            Some((_, before)) if *before == start => *before = merged_end,
            _ => {
                self.ends.insert(start, merged_end);
            }
        }
    }

    /// Removes a number.
    pub fn remove(&mut self, index: u32) {
        let Some((&start, &end)) = self.ends.range(..=index).next_back() else {
            return;
        };
        if index >= end {
            return;
        }
        self.len -= 1;
        match index == start {
            true => {
                self.ends.remove(&start);
            }
            false => {
                self.ends.insert(start, index);
            }
        }
        if index + 1 < end {
            self.ends.insert(index + 1, end);
        }
    }

    /// Removes all numbers from `start` on.
    pub(super) fn truncate(&mut self, start: u32) {
        for (from, end) in self.ends.split_off(&start) {
            self.len -= (end - from) as usize;
        }
        if let Some((_, end)) = self.ends.iter_mut().next_back()
            && *end > start
        {
            self.len -= (*end - start) as usize;
            *end = start;
        }
    }
}
