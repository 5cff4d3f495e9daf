//! The final records of finished jobs that this controller has seen: polls of them need no read of the store, since a
//! final record never changes.

use crate::job::{FinalRecord, JobId};
use std::collections::{HashMap, VecDeque};

/// A bounded cache of final records; the oldest entry is evicted first.
#[derive(Debug)]
pub(super) struct FinalRecordCache {
    records: HashMap<JobId, FinalRecord>,
    insertion_order: VecDeque<JobId>,
    capacity: usize,
}

impl FinalRecordCache {
    /// An empty cache for at most this many records.
    pub fn new(capacity: usize) -> FinalRecordCache {
        FinalRecordCache { records: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// The final record of a job, if it is cached.
    pub fn get(&self, id: &str) -> Option<&FinalRecord> {
        self.records.get(id)
    }

    /// Whether the final record of a job is cached.
    pub fn contains_key(&self, id: &str) -> bool {
        self.records.contains_key(id)
    }

    /// Adds a final record, or replaces it, and evicts the oldest one if there are too many.
    pub fn insert(&mut self, id: &JobId, record: FinalRecord) {
        if self.records.insert(id.clone(), record).is_some() {
            return;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}
