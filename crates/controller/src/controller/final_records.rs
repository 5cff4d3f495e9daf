//! Cache of the final records of finished jobs. Polls of these jobs need no store read, since a final record never
//! changes.

use crate::job::{FinalRecord, JobId};
use std::collections::{HashMap, VecDeque};

/// A bounded cache of final records. The entry inserted first is evicted first (FIFO).
#[derive(Debug)]
pub(super) struct FinalRecordCache {
    records: HashMap<JobId, FinalRecord>,
    insertion_order: VecDeque<JobId>,
    capacity: usize,
}

impl FinalRecordCache {
    /// Creates an empty cache that holds at most `capacity` records.
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

    /// Inserts or replaces a final record. Evicts the oldest entry if the capacity is exceeded.
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
