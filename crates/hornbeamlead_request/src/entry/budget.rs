//! Retry budget of one service at one entry, a token bucket.

/// Parts of a token, so that a percentage of a token is an integer.
const PARTS_PER_TOKEN: u64 = 100;

/// Tokens in a new budget.
const INITIAL_TOKENS: u64 = 4;

/// Capacity of the bucket in tokens, which bounds a burst of retries.
const MAX_TOKENS: u64 = 32;

/// Limits retries and hedges to a share of the first attempts.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    percent: u64,
    parts: u64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per hundred first attempts.
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            parts: INITIAL_TOKENS * PARTS_PER_TOKEN,
        }
    }

    /// Earns a share of a token for a first attempt.
    pub(crate) fn deposit(&mut self) {
        let limit = MAX_TOKENS * PARTS_PER_TOKEN;
        self.parts = (self.parts + self.percent).min(limit);
    }

    /// Spends a token on one retry; returns false if none is left.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.parts < PARTS_PER_TOKEN {
            return false;
        }
        self.parts -= PARTS_PER_TOKEN;
        true
    }
}
