//! Repeats that don't feed the fire: a budget earned by answered calls, and jittered back-off.

use crate::Time;
use crate::constants::*;
use rand::Rng;

/// How many repeats are left.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
    at: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { saved: SAVED_MOST, at: now }
    }

    /// A call was answered.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_MOST);
    }

    /// Takes a repeat, if one is left.
    pub fn take(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.saved = (self.saved + passed * PROBES_PER_S).min(SAVED_MOST);
        self.at = now;
        let may = self.saved >= 1.0;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}

/// The pause before a try: doubled with each failure, up to `most` ms, and any part of its upper half
/// by chance, so that callers who failed together do not come back together.
pub fn pause_ms(first: u64, tries: u32, most: u64, rng: &mut impl Rng) -> u64 {
    let whole = (first << tries.min(16)).min(most).max(2);
    whole / 2 + rng.random_range(0..=whole / 2)
}
