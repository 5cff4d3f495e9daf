//! Retries that do not add to an overload: a budget earned by calls that succeed, and exponential backoff with jitter.
//! Pure: the caller passes the time and the random numbers.

use crate::Time;
use crate::constants::{MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RETRIES_PER_SUCCESS};
use rand::Rng;

/// Number of retries that may still be made: a token bucket that successes fill, and time a little.
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

    /// A call succeeded, which earns a part of a retry.
    pub fn on_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget. False: none is left, and the call must fail instead.
    pub fn try_take(&mut self, now: Time) -> bool {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.available = (self.available + passed_s * MIN_RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// The pause before a retry, ms: `first_ms` doubled with each failed attempt, at most `max_ms`, of which the upper half
/// is random, so that callers that failed together do not retry together.
pub fn backoff_ms(first_ms: u64, failed_attempts: u32, max_ms: u64, rng: &mut impl Rng) -> u64 {
    let full_ms = (first_ms << failed_attempts.min(16)).min(max_ms).max(2);
    full_ms / 2 + rng.random_range(0..=full_ms / 2)
}
