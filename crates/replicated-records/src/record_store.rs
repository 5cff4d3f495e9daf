//! One controller's copy of the records under a prefix of the state service, and the writes that its leader has
//! requested but that are not committed yet.
//!
//! The store owns the committed records (with their mod revisions), the pending writes and the one in-flight
//! transaction. It calls nobody: its owner feeds it pages, watch changes and transaction outcomes, and sends the
//! transactions that [`RecordStore::next_transaction`] returns.

use crate::Time;
use crate::constants::{
    MAX_BATCH_BYTES, MAX_BATCH_WRITES, MAX_RECORDS, MAX_WRITE_BURST_S, MS_PER_S, WRITE_RATE_SHARE,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Limits that the state service and the settings put on transactions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Writes per second allowed to the whole deployment; records may use [`WRITE_RATE_SHARE`] of them.
    pub writes_per_second: f64,
    /// Maximum number of writes in one transaction.
    pub max_transaction_writes: usize,
    /// Maximum size of one value, bytes of JSON.
    pub max_value_bytes: usize,
}

/// How far the records have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPhase {
    /// No listing has begun since the start or the last reload; readers use defaults or what was read before.
    NotLoaded,
    /// A listing is in progress; its first page was read at this revision.
    Loading(u64),
    /// Every change up to this revision is known.
    Loaded(u64),
}

/// A transaction that the leader is to send. The sender adds the condition on the leader's key, so that the
/// transaction of a deposed leader fails.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordTransaction {
    /// Number under which its outcome is reported to [`RecordStore::on_outcome`]; never used twice.
    pub id: u64,
    /// Full keys with the mod revision that each must have; 0: the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Full keys with the value to write; none: the key is deleted.
    pub writes: Vec<(String, Option<Value>)>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The transaction was committed; its writes have this mod revision.
    Committed(u64),
    /// A condition failed: the local copy is out of date and must be read again.
    Conflict,
}

#[derive(Debug, Clone, PartialEq)]
struct StoredRecord {
    value: Value,
    mod_revision: u64,
}

/// Token bucket that limits the rate of writes.
#[derive(Debug)]
struct WriteBudget {
    available: f64,
    refilled_at: Time,
}

impl WriteBudget {
    /// Adds what has accrued since the last call, up to [`MAX_WRITE_BURST_S`] seconds' worth (at least one write).
    fn refill(&mut self, writes_per_second: f64, now: Time) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MS_PER_S;
        let capacity = (writes_per_second * MAX_WRITE_BURST_S).max(1.0);
        self.available = (self.available + elapsed_s * writes_per_second).min(capacity);
        self.refilled_at = now;
    }
}

/// The records under one prefix, with the leader's pending writes.
#[derive(Debug)]
pub struct RecordStore {
    prefix: String,
    limits: StoreLimits,
    phase: LoadPhase,
    committed: BTreeMap<String, StoredRecord>,
    /// Keys that this leader has deleted, with the revision, until the watch has passed it: the watch may still
    /// deliver the earlier write and must not bring the record back.
    tombstones: BTreeMap<String, u64>,
    /// Requested by the leader, not committed yet; none: the record is to be deleted.
    pending_writes: BTreeMap<String, Option<Value>>,
    /// Keys of `pending_writes` in the order of their requests.
    write_order: Vec<String>,
    in_flight: Option<RecordTransaction>,
    last_transaction_id: u64,
    write_budget: WriteBudget,
    /// Rises with every change of committed or pending records: readers compare it to see whether to read again.
    change_count: u64,
    /// Writes committed since the start.
    written_count: u64,
}

impl RecordStore {
    /// A store that has read nothing yet.
    pub fn new(prefix: &str, limits: StoreLimits, now: Time) -> RecordStore {
        let available = limits.writes_per_second * WRITE_RATE_SHARE * MAX_WRITE_BURST_S;
        RecordStore {
            prefix: prefix.into(),
            limits,
            phase: LoadPhase::NotLoaded,
            committed: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            pending_writes: BTreeMap::new(),
            write_order: Vec::new(),
            in_flight: None,
            last_transaction_id: 0,
            write_budget: WriteBudget { available, refilled_at: now },
            change_count: 0,
            written_count: 0,
        }
    }

    /// How far the records have been read.
    pub fn phase(&self) -> LoadPhase {
        self.phase
    }

    /// Whether all records have been read.
    pub fn is_loaded(&self) -> bool {
        matches!(self.phase, LoadPhase::Loaded(_))
    }

    /// A counter that rises with every change of committed or pending records.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Writes committed since the start.
    pub fn written_count(&self) -> u64 {
        self.written_count
    }

    /// The prefix of all keys in the state service.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The one function that changes the phase. A revision never goes back: other transitions are ignored.
    fn advance_phase(&mut self, to: LoadPhase) {
        let allowed = match (self.phase, to) {
            (_, LoadPhase::NotLoaded) | (LoadPhase::NotLoaded, LoadPhase::Loading(_)) => true,
            (LoadPhase::Loading(from) | LoadPhase::Loaded(from), LoadPhase::Loaded(to)) => {
                to >= from
            }
            _ => false,
        };
        if allowed {
            self.phase = to;
        }
    }

    /// Marks the records as not loaded, since they are about to be listed again. Readers keep using the current values.
    pub fn start_reload(&mut self) {
        self.advance_phase(LoadPhase::NotLoaded);
    }

    /// Discards pending writes and the in-flight transaction. To be called when leadership begins or ends, since only
    /// the leader that requested a write may make it.
    pub fn discard_pending_writes(&mut self) {
        self.pending_writes.clear();
        self.write_order.clear();
        self.in_flight = None;
    }

    /// Applies one page of a listing: (key without the prefix, value, mod revision), read at `revision`. Returns
    /// the key after which to read the next page; none: the listing is complete.
    pub fn on_page(
        &mut self,
        page: Vec<(String, Value, u64)>,
        revision: u64,
        has_next: bool,
    ) -> Option<String> {
        if self.phase == LoadPhase::NotLoaded {
            self.advance_phase(LoadPhase::Loading(revision));
            // Records committed after the listing began are not on its pages and must stay.
            self.committed.retain(|_, record| record.mod_revision > revision);
        }
        let last_key = page.last().map(|(key, ..)| key.clone());
        for (key, value, mod_revision) in page {
            if self.committed.len() < MAX_RECORDS && !self.has_seen_revision(&key, mod_revision) {
                self.committed.insert(key, StoredRecord { value, mod_revision });
            }
        }
        self.change_count += 1;
        if has_next && last_key.is_some() {
            return last_key;
        }
        if let LoadPhase::Loading(first_revision) = self.phase {
            self.advance_phase(LoadPhase::Loaded(first_revision));
            self.drop_tombstones_through(first_revision);
        }
        None
    }

    /// Whether a write or deletion of the key at this revision or later is known.
    fn has_seen_revision(&self, key: &str, mod_revision: u64) -> bool {
        self.committed.get(key).is_some_and(|record| record.mod_revision >= mod_revision)
            || self.tombstones.get(key).is_some_and(|deleted_at| *deleted_at >= mod_revision)
    }

    fn drop_tombstones_through(&mut self, revision: u64) {
        self.tombstones.retain(|_, deleted_at| *deleted_at > revision);
    }

    /// Sets a committed record (none: deletes it).
    fn set_committed(&mut self, key: String, value: Option<Value>, mod_revision: u64) {
        match value {
            Some(value) => {
                self.committed.insert(key, StoredRecord { value, mod_revision });
            }
            None => {
                self.committed.remove(&key);
            }
        }
    }

    /// Applies the changes that a watch has delivered up to `revision`: (key without the prefix, value or none for a
    /// deletion, mod revision).
    ///
    /// A change older than the known revision of its key is ignored. So is one at or before the revision of the listing:
    /// the record that it wrote may have been deleted since, and as the watch continues after that deletion, the record
    /// would reappear permanently.
    pub fn on_watch_changes(&mut self, changes: Vec<(String, Option<Value>, u64)>, revision: u64) {
        let known_revision = match self.phase {
            LoadPhase::NotLoaded => 0,
            LoadPhase::Loading(at) | LoadPhase::Loaded(at) => at,
        };
        for (key, value, mod_revision) in changes {
            if mod_revision <= known_revision || self.has_seen_revision(&key, mod_revision) {
                continue;
            }
            self.change_count += 1;
            self.set_committed(key, value, mod_revision);
        }
        self.advance_phase(LoadPhase::Loaded(revision));
        self.drop_tombstones_through(revision);
    }

    /// The value of a record, pending writes included.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self.pending_writes.get(key) {
            Some(requested) => requested.as_ref(),
            None => self.get_committed(key),
        }
    }

    /// The value of a record as last committed, which is what other controllers see.
    pub fn get_committed(&self, key: &str) -> Option<&Value> {
        self.committed.get(key).map(|record| &record.value)
    }

    /// Whether no write of this record is pending.
    pub fn is_committed(&self, key: &str) -> bool {
        !self.pending_writes.contains_key(key)
    }

    /// All records whose key (without the store's prefix) begins with `key_prefix`, pending writes included.
    pub fn get_by_prefix(&self, key_prefix: &str) -> BTreeMap<&str, &Value> {
        let mut found: BTreeMap<&str, &Value> = self
            .committed
            .range(key_prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(key_prefix))
            .map(|(key, record)| (key.as_str(), &record.value))
            .collect();
        let pending = self.pending_writes.iter().filter(|(key, _)| key.starts_with(key_prefix));
        for (key, value) in pending {
            match value {
                Some(value) => found.insert(key, value),
                None => found.remove(key.as_str()),
            };
        }
        found
    }

    /// Requests that a record be written. False, and nothing is requested, if the value is too large or there are
    /// [`MAX_RECORDS`] already.
    pub fn put(&mut self, key: &str, value: Value) -> bool {
        let is_new = !self.committed.contains_key(key) && !self.pending_writes.contains_key(key);
        if encoded_size(&value) > self.limits.max_value_bytes
            || is_new && self.record_count() >= MAX_RECORDS
        {
            return false;
        }
        self.set_pending_write(key, Some(value));
        true
    }

    /// Requests that a record be deleted.
    pub fn remove(&mut self, key: &str) {
        self.set_pending_write(key, None);
    }

    /// Number of keys that are committed or pending.
    pub fn record_count(&self) -> usize {
        let is_new = |key: &&String| !self.committed.contains_key(*key);
        self.committed.len() + self.pending_writes.keys().filter(is_new).count()
    }

    fn set_pending_write(&mut self, key: &str, value: Option<Value>) {
        let is_in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|transaction| transaction.writes.iter().any(|(other, _)| other == key));
        // A write of what is committed already would cost the state service and change nothing.
        if self.get_committed(key) == value.as_ref() && !is_in_flight {
            if self.clear_pending_write(key) {
                self.change_count += 1;
            }
            return;
        }
        if self.pending_writes.get(key) == Some(&value) {
            return;
        }
        self.change_count += 1;
        if self.pending_writes.insert(key.to_string(), value).is_none() {
            self.write_order.push(key.to_string());
        }
    }

    /// Whether a write of this key was pending; it no longer is.
    fn clear_pending_write(&mut self, key: &str) -> bool {
        let was_pending = self.pending_writes.remove(key).is_some();
        if was_pending {
            self.write_order.retain(|other| other != key);
        }
        was_pending
    }

    /// The next transaction, or none: nothing is pending, the records are not loaded, one is in flight, or the
    /// write budget is used up. Each takes as many pending writes, in the order of their requests, as fit.
    pub fn next_transaction(&mut self, now: Time) -> Option<RecordTransaction> {
        if !self.is_loaded() || self.in_flight.is_some() || self.write_order.is_empty() {
            return None;
        }
        self.write_budget.refill(self.limits.writes_per_second * WRITE_RATE_SHARE, now);
        let keys = self.next_batch();
        if keys.is_empty() {
            return None;
        }
        self.write_budget.available -= keys.len() as f64;
        self.last_transaction_id += 1;
        let mut transaction = RecordTransaction {
            id: self.last_transaction_id,
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        let mut writes_by_own_key = Vec::new();
        for key in keys {
            let full_key = format!("{}{key}", self.prefix);
            let mod_revision = self.committed.get(&key).map_or(0, |record| record.mod_revision);
            let value = self.pending_writes.get(&key).cloned().flatten();
            transaction.conditions.push((full_key.clone(), mod_revision));
            transaction.writes.push((full_key, value.clone()));
            writes_by_own_key.push((key, value));
        }
        self.in_flight =
            Some(RecordTransaction { writes: writes_by_own_key, ..transaction.clone() });
        Some(transaction)
    }

    /// Keys of the pending writes that fit into one transaction now, the earliest requests first.
    fn next_batch(&self) -> Vec<String> {
        let max_writes = MAX_BATCH_WRITES
            .min(self.limits.max_transaction_writes)
            .min(self.write_budget.available as usize);
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for key in &self.write_order {
            let Some(value) = self.pending_writes.get(key) else { continue };
            batch_bytes += value.as_ref().map_or(0, encoded_size) + key.len();
            // A value larger than a batch still goes, alone.
            if batch.len() >= max_writes || batch_bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(key.clone());
        }
        batch
    }

    /// The outcome of the transaction with this id; any but the one in flight is ignored. True: the records must
    /// be listed again.
    pub fn on_outcome(&mut self, id: u64, outcome: WriteOutcome) -> bool {
        let Some(transaction) = self.in_flight.take_if(|in_flight| in_flight.id == id) else {
            return false;
        };
        let WriteOutcome::Committed(mod_revision) = outcome else {
            self.start_reload();
            return true;
        };
        self.written_count += transaction.writes.len() as u64;
        for (key, value) in transaction.writes {
            // Another value may have been requested while this one was in flight: that one is still pending.
            if self.pending_writes.get(&key) == Some(&value) {
                self.clear_pending_write(&key);
            }
            // The watch may have delivered this or a later change already.
            if self.has_seen_revision(&key, mod_revision) {
                continue;
            }
            let watch_has_passed =
                matches!(self.phase, LoadPhase::Loaded(revision) if revision >= mod_revision);
            if value.is_none() && !watch_has_passed {
                self.tombstones.insert(key.clone(), mod_revision);
            }
            self.set_committed(key, value, mod_revision);
        }
        self.change_count += 1;
        false
    }

    /// Keys with a pending write.
    pub fn pending_keys(&self) -> BTreeSet<&str> {
        self.pending_writes.keys().map(String::as_str).collect()
    }
}

/// A value's size in bytes of JSON.
fn encoded_size(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(0, |encoded| encoded.len())
}
