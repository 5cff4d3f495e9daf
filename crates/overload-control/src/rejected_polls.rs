//! Polls that this controller rejected for overload, and since when. Where not all can be answered, the retry of a
//! rejected poll takes precedence over a first one: else polls for the same job may be rejected again and again while
//! others are answered twice.

use crate::Time;
use crate::constants::{
    MAX_REJECTED_POLLS, REJECTED_POLL_RETENTION_MS, RETRIED_POLL_DELAY_MS, RETRIED_POLLS_PER_S,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Jobs whose last poll was rejected here. Ids are kept as hashes (memory); a collision only lets a poll take
/// precedence that has no right to.
#[derive(Debug, Default)]
pub struct RejectedPolls {
    /// When the first of the rejected polls of a job came, by the hash of its id.
    rejected_at: HashMap<u64, Time>,
    /// The same, oldest first. Entries of jobs that were answered since are dropped later.
    order: VecDeque<(u64, Time)>,
    /// How many polls took precedence in the second that is under way.
    precedence: PrecedenceCount,
}

/// Polls that took precedence within one second.
#[derive(Debug, Default)]
struct PrecedenceCount {
    /// The second, counted from the start of the clock.
    second: Time,
    polls: u32,
}

fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl RejectedPolls {
    /// A poll was rejected. The time of the first rejection counts.
    pub fn on_rejected(&mut self, id: &str, now: Time) {
        self.remove_expired(now);
        let hash = id_hash(id);
        if self.rejected_at.contains_key(&hash) {
            return;
        }
        self.rejected_at.insert(hash, now);
        self.order.push_back((hash, now));
        // When it is full the oldest stay: who comes last has waited least.
        while self.rejected_at.len() > MAX_REJECTED_POLLS
            && let Some((last, at)) = self.order.pop_back()
        {
            if self.rejected_at.get(&last) == Some(&at) {
                self.rejected_at.remove(&last);
            }
        }
    }

    /// A poll was answered: the next one about the job is a first one again.
    pub fn on_answered(&mut self, id: &str) {
        if !self.rejected_at.is_empty() {
            self.rejected_at.remove(&id_hash(id));
        }
    }

    /// Drops from the front of the order what was answered, and what was not retried for long.
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

    /// Whether a poll takes precedence over first ones, because one about the same job was rejected a while ago. At most
    /// [`RETRIED_POLLS_PER_S`] do in each second; a poll that does is counted.
    pub fn take_precedence(&mut self, id: &str, now: Time) -> bool {
        if self.rejected_at.is_empty() {
            return false;
        }
        let waited =
            self.rejected_at.get(&id_hash(id)).is_some_and(|at| now >= at + RETRIED_POLL_DELAY_MS);
        let second = now / 1_000;
        if self.precedence.second != second {
            self.precedence = PrecedenceCount { second, polls: 0 };
        }
        if waited && self.precedence.polls < RETRIED_POLLS_PER_S {
            self.precedence.polls += 1;
            return true;
        }
        false
    }

    /// Number of jobs whose last poll was rejected.
    pub fn len(&self) -> usize {
        self.rejected_at.len()
    }

    /// Whether no job's last poll was rejected.
    pub fn is_empty(&self) -> bool {
        self.rejected_at.is_empty()
    }
}
