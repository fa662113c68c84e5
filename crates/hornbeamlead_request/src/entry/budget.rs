//! Retry budget of one service at one entry.

/// Parts of a token, so that a percentage of a first try is a whole number.
const PARTS_PER_TOKEN: u64 = 100;

/// Tokens with which a budget begins.
const FIRST_TOKENS: u64 = 4;

/// Tokens kept at most, which bounds a burst of retries.
const MAX_TOKENS: u64 = 32;

/// Allows retries and hedges up to a share of first tries.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    percent: u64,
    parts: u64,
}

impl RetryBudget {
    /// Makes a budget that allows `percent` retries for a hundred first tries.
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            parts: FIRST_TOKENS * PARTS_PER_TOKEN,
        }
    }

    /// Takes note of a first try.
    pub(crate) fn deposit(&mut self) {
        let limit = MAX_TOKENS * PARTS_PER_TOKEN;
        self.parts = (self.parts + self.percent).min(limit);
    }

    /// Takes a token for one retry; returns false when none is left.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.parts < PARTS_PER_TOKEN {
            return false;
        }
        self.parts -= PARTS_PER_TOKEN;
        true
    }
}
