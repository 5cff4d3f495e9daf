//! Polls that this controller has rejected because of overload. While not all polls can be answered, the retry of a
//! rejected poll takes precedence over a first poll. Otherwise the polls of one job might be rejected again and again
//! while those of another are answered twice.

use crate::Time;
use crate::constants::{
    MAX_REJECTED_POLLS, REJECTED_POLL_RETENTION_MS, RETRIED_POLL_DELAY_MS, RETRIED_POLLS_PER_S,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Jobs whose latest poll was rejected by this controller. Ids are kept as hashes to save memory; a collision only gives
/// precedence to a poll that should not have it.
#[derive(Debug, Default)]
pub struct RejectedPolls {
    /// When the first of the rejected polls of a job arrived, by the hash of the job's id.
    rejected_at: HashMap<u64, Time>,
    /// The same entries, oldest first. Entries of jobs that have been answered since are removed lazily.
    order: VecDeque<(u64, Time)>,
    /// Number of polls that took precedence in the current second.
    precedence: PrecedenceCount,
}

/// Polls that took precedence within one second.
#[derive(Debug, Default)]
struct PrecedenceCount {
    /// The second, as a number of whole seconds on the monotonic clock.
    second: Time,
    polls: u32,
}

fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl RejectedPolls {
    /// Records the rejection of a poll, unless an earlier rejection of the job is recorded.
    pub fn on_rejected(&mut self, id: &str, now: Time) {
        self.remove_expired(now);
        let hash = id_hash(id);
        if self.rejected_at.contains_key(&hash) {
            return;
        }
        self.rejected_at.insert(hash, now);
        self.order.push_back((hash, now));
        // When full, the newest entries are dropped, since they have waited least.
        while self.rejected_at.len() > MAX_REJECTED_POLLS
            && let Some((newest, at)) = self.order.pop_back()
        {
            if self.rejected_at.get(&newest) == Some(&at) {
                self.rejected_at.remove(&newest);
            }
        }
    }

    /// Records that a poll was answered: the next poll of the job is a first poll again.
    pub fn on_answered(&mut self, id: &str) {
        if !self.rejected_at.is_empty() {
            self.rejected_at.remove(&id_hash(id));
        }
    }

    /// Removes from the front of the order the entries that were answered and those older than the retention time.
    fn remove_expired(&mut self, now: Time) {
        while let Some((hash, at)) = self.order.front().copied() {
            let is_answered = self.rejected_at.get(&hash) != Some(&at);
            if !is_answered && now < at + REJECTED_POLL_RETENTION_MS {
                break;
            }
            if !is_answered {
                self.rejected_at.remove(&hash);
            }
            self.order.pop_front();
        }
    }

    /// Returns whether a poll takes precedence over first polls, because a poll of the same job was rejected at least
    /// [`RETRIED_POLL_DELAY_MS`] ago. Counts it if so: at most [`RETRIED_POLLS_PER_S`] polls take precedence per second.
    pub fn take_precedence(&mut self, id: &str, now: Time) -> bool {
        if self.rejected_at.is_empty() {
            return false;
        }
        let has_waited =
            self.rejected_at.get(&id_hash(id)).is_some_and(|at| now >= at + RETRIED_POLL_DELAY_MS);
        let second = now / 1_000;
        if self.precedence.second != second {
            self.precedence = PrecedenceCount { second, polls: 0 };
        }
        if has_waited && self.precedence.polls < RETRIED_POLLS_PER_S {
            self.precedence.polls += 1;
            return true;
        }
        false
    }

    /// Number of jobs whose latest poll was rejected.
    pub fn len(&self) -> usize {
        self.rejected_at.len()
    }

    /// Whether there is no job whose latest poll was rejected.
    pub fn is_empty(&self) -> bool {
        self.rejected_at.is_empty()
    }
}
