//! Repeats that don't feed the fire: a budget earned by answered calls, and jittered back-off.

use crate::Time;
use crate::constants::{MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RETRIES_PER_SUCCESS};
use rand::Rng;

/// How many repeats are left.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
    refilled_at: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { available: MAX_SAVED_RETRIES, refilled_at: now }
    }

    /// A call was answered.
    pub fn on_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes a repeat, if one is left.
    pub fn try_take(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.available = (self.available + passed * MIN_RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        self.refilled_at = now;
        let may = self.available >= 1.0;
        if may {
            self.available -= 1.0;
        }
        may
    }
}

/// The pause before a try: doubled with each failure, up to `most` ms, and any part of its upper half
/// by chance, so that callers who failed together do not come back together.
pub fn backoff_ms(first: u64, tries: u32, most: u64, rng: &mut impl Rng) -> u64 {
    let whole = (first << tries.min(16)).min(most).max(2);
    whole / 2 + rng.random_range(0..=whole / 2)
}
