//! Questions that were turned away here, and since when. Where not all can be answered, who has waited longest
//! comes before who asks for the first time: else the same job may be turned away again and again while
//! others are answered twice.

use crate::Time;
use crate::constants::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Jobs whose last question found no answer here, as numbers of their ids.
#[derive(Debug, Default)]
pub struct Turned {
    since: HashMap<u64, Time>,
    order: VecDeque<(u64, Time)>,
    /// Second in which questions were let past the others, and how many.
    second: (Time, u32),
}

fn number(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl Turned {
    /// A question about a job was turned away.
    pub fn away(&mut self, id: &str, now: Time) {
        self.drop_over(now);
        let number = number(id);
        if self.since.contains_key(&number) {
            return;
        }
        self.since.insert(number, now);
        self.order.push_back((number, now));
        // The oldest are kept: whoever comes when it is full has waited least.
        while self.since.len() > TURNED_MOST
            && let Some((last, at)) = self.order.pop_back()
        {
            if self.since.get(&last) == Some(&at) {
                self.since.remove(&last);
            }
        }
    }

    /// One was answered.
    pub fn answered(&mut self, id: &str) {
        if !self.since.is_empty() {
            self.since.remove(&number(id));
        }
    }

    /// What has been answered leaves the order from its front; what has long not been asked again, too.
    fn drop_over(&mut self, now: Time) {
        while let Some((number, at)) = self.order.front().copied() {
            let answered = self.since.get(&number) != Some(&at);
            if !answered && now < at + TURNED_KEPT_MS {
                break;
            }
            if !answered {
                self.since.remove(&number);
            }
            self.order.pop_front();
        }
    }

    /// Whether a question comes before others: one about the job was turned away a while ago. So many a
    /// second are let past whatever else is turned away.
    pub fn presses(&mut self, id: &str, now: Time) -> bool {
        if self.since.is_empty() {
            return false;
        }
        let waited = self.since.get(&number(id)).is_some_and(|at| now >= at + PRESSING_MS);
        let second = now / 1_000;
        if self.second.0 != second {
            self.second = (second, 0);
        }
        if waited && self.second.1 < PRESSING_PER_S {
            self.second.1 += 1;
            return true;
        }
        false
    }

    /// Jobs with a question turned away.
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}
