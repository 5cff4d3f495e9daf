//! Limits on retries that keep them from adding to an overload: a budget earned by successful calls, and exponential
//! backoff with jitter. Pure functions; the caller passes the time and the random number generator.

use crate::Time;
use crate::constants::{MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RETRIES_PER_SUCCESS};
use rand::Rng;

/// Number of retries that may still be made: a token bucket filled by successful calls and, slowly, by time.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { available: MAX_SAVED_RETRIES, refilled_at: now }
    }

    /// Records a successful call, which earns [`RETRIES_PER_SUCCESS`] retries.
    pub fn on_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget. Returns false if none is left; the call must then fail.
    pub fn try_take(&mut self, now: Time) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.available = (self.available + elapsed_s * MIN_RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Returns the pause before a retry, ms. It is `first_ms` doubled with each failed attempt, at most `max_ms`. The upper
/// half of the pause is random, so that callers that failed together do not retry together.
pub fn backoff_ms(first_ms: u64, failed_attempts: u32, max_ms: u64, rng: &mut impl Rng) -> u64 {
    let full_ms = (first_ms << failed_attempts.min(16)).min(max_ms).max(2);
    full_ms / 2 + rng.random_range(0..=full_ms / 2)
}
