//! Questions that were turned away here, and since when. Where not all can be answered, who has waited longest
//! comes before who asks for the first time: else the same job may be turned away again and again while
//! others are answered twice.

use crate::Time;
use crate::constants::{
    MAX_REJECTED_POLLS, REJECTED_POLL_RETENTION_MS, RETRIED_POLL_DELAY_MS, RETRIED_POLLS_PER_S,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Jobs whose last question found no answer here, as numbers of their ids.
#[derive(Debug, Default)]
pub struct RejectedPolls {
    rejected_at: HashMap<u64, Time>,
    order: VecDeque<(u64, Time)>,
    /// Second in which questions were let past the others, and how many.
    prioritized_in_second: (Time, u32),
}

fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl RejectedPolls {
    /// A question about a job was turned away.
    pub fn on_rejected(&mut self, id: &str, now: Time) {
        self.remove_expired(now);
        let number = id_hash(id);
        if self.rejected_at.contains_key(&number) {
            return;
        }
        self.rejected_at.insert(number, now);
        self.order.push_back((number, now));
        // The oldest are kept: whoever comes when it is full has waited least.
        while self.rejected_at.len() > MAX_REJECTED_POLLS
            && let Some((last, at)) = self.order.pop_back()
        {
            if self.rejected_at.get(&last) == Some(&at) {
                self.rejected_at.remove(&last);
            }
        }
    }

    /// One was answered.
    pub fn on_answered(&mut self, id: &str) {
        if !self.rejected_at.is_empty() {
            self.rejected_at.remove(&id_hash(id));
        }
    }

    /// What has been answered leaves the order from its front; what has long not been asked again, too.
    fn remove_expired(&mut self, now: Time) {
        while let Some((number, at)) = self.order.front().copied() {
            let answered = self.rejected_at.get(&number) != Some(&at);
            if !answered && now < at + REJECTED_POLL_RETENTION_MS {
                break;
            }
            if !answered {
                self.rejected_at.remove(&number);
            }
            self.order.pop_front();
        }
    }

    /// Whether a question comes before others: one about the job was turned away a while ago. So many a
    /// second are let past whatever else is turned away.
    pub fn take_priority(&mut self, id: &str, now: Time) -> bool {
        if self.rejected_at.is_empty() {
            return false;
        }
        let waited =
            self.rejected_at.get(&id_hash(id)).is_some_and(|at| now >= at + RETRIED_POLL_DELAY_MS);
        let second = now / 1_000;
        if self.prioritized_in_second.0 != second {
            self.prioritized_in_second = (second, 0);
        }
        if waited && self.prioritized_in_second.1 < RETRIED_POLLS_PER_S {
            self.prioritized_in_second.1 += 1;
            return true;
        }
        false
    }

    /// Jobs with a question turned away.
    pub fn len(&self) -> usize {
        self.rejected_at.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.rejected_at.is_empty()
    }
}
