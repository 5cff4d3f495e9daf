//! The records, as one controller knows them, and what its leader wants changed.

use crate::Time;
use crate::constants::{
    MAX_BATCH_BYTES, MAX_BATCH_WRITES, MAX_RECORDS, MAX_WRITE_BURST_S, WRITE_RATE_SHARE,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What the state service and the site allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Changes a second that the site allows in all.
    pub writes_per_second: f64,
    /// Changes in a transaction.
    pub max_transaction_writes: usize,
    /// Bytes of a value.
    pub max_value_bytes: usize,
}

/// How much is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPhase {
    /// Nothing: defaults hold.
    NotLoaded,
    /// Pages are coming; this was the first one's revision.
    Loading(u64),
    /// All, as of this revision.
    Loaded(u64),
}

/// A transaction: conditions on stamps of keys, and what is written (none: removed). Whoever sends it adds the
/// condition on the leader's key.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordTransaction {
    /// Its number.
    pub id: u64,
    /// Keys and the stamps that they must have; 0: not there.
    pub conditions: Vec<(String, u64)>,
    /// What is changed.
    pub writes: Vec<(String, Option<Value>)>,
}

/// What came of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Committed under this stamp.
    Committed(u64),
    /// A condition failed: what is known is not what is there.
    Conflict,
}

#[derive(Debug, Clone, PartialEq)]
struct StoredRecord {
    value: Value,
    mod_revision: u64,
}

/// The records under a prefix.
#[derive(Debug)]
pub struct RecordStore {
    prefix: String,
    limits: StoreLimits,
    phase: LoadPhase,
    committed: BTreeMap<String, StoredRecord>,
    /// What this leader has removed, and when, until a watch has told as much: it may yet tell of the writing.
    tombstones: BTreeMap<String, u64>,
    /// What the leader wants there; none: nothing.
    pending_writes: BTreeMap<String, Option<Value>>,
    /// Keys in the order in which they came to be wanted.
    write_order: Vec<String>,
    in_flight: Option<RecordTransaction>,
    last_transaction_id: u64,
    /// Changes that may be made now.
    write_budget: (f64, Time),
    /// Changes of what is known so far: readers look again when it differs.
    change_count: u64,
    /// Changes made so far.
    written_count: u64,
}

impl RecordStore {
    /// A book of which nothing is known.
    pub fn new(prefix: &str, limits: StoreLimits, now: Time) -> RecordStore {
        let most = limits.writes_per_second * WRITE_RATE_SHARE * MAX_WRITE_BURST_S;
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
            write_budget: (most, now),
            change_count: 0,
            written_count: 0,
        }
    }

    /// How much is known.
    pub fn phase(&self) -> LoadPhase {
        self.phase
    }

    /// Whether all is known.
    pub fn is_loaded(&self) -> bool {
        matches!(self.phase, LoadPhase::Loaded(_))
    }

    /// Number of changes of what is known.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Changes written so far.
    pub fn written_count(&self) -> u64 {
        self.written_count
    }

    /// The prefix.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The one function that changes how much is known. A revision never goes back.
    fn advance_phase(&mut self, to: LoadPhase) -> bool {
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
        allowed
    }

    /// Begins to read anew. What is known goes on to hold until it has been read.
    pub fn start_reload(&mut self) {
        self.advance_phase(LoadPhase::NotLoaded);
    }

    /// A term ends: what was wanted under it is no longer this controller's to write.
    pub fn discard_pending_writes(&mut self) {
        self.pending_writes.clear();
        self.write_order.clear();
        self.in_flight = None;
    }

    /// Takes over a page of records (key without the prefix, value, stamp). Returns the key after which to go on.
    pub fn on_page(
        &mut self,
        page: Vec<(String, Value, u64)>,
        epoch: u64,
        has_next: bool,
    ) -> Option<String> {
        if self.phase == LoadPhase::NotLoaded {
            self.advance_phase(LoadPhase::Loading(epoch));
            // What was written while this was read is not on it.
            self.committed.retain(|_, held| held.mod_revision > epoch);
        }
        let last = page.last().map(|p| p.0.clone());
        for (key, value, stamp) in page {
            if self.committed.len() < MAX_RECORDS && !self.has_seen_revision(&key, stamp) {
                self.committed.insert(key, StoredRecord { value, mod_revision: stamp });
            }
        }
        self.change_count += 1;
        match (self.phase, last.filter(|_| has_next)) {
            (_, Some(last)) => Some(last),
            (LoadPhase::Loading(from), None) => {
                self.advance_phase(LoadPhase::Loaded(from));
                self.tombstones.retain(|_, at| *at > from);
                None
            }
            _ => None,
        }
    }

    /// Whether something as late is known of a key: that it was written, or that it was removed.
    fn has_seen_revision(&self, key: &str, stamp: u64) -> bool {
        self.committed.get(key).is_some_and(|h| h.mod_revision >= stamp)
            || self.tombstones.get(key).is_some_and(|at| *at >= stamp)
    }

    /// Takes over what has changed up to a revision (key without the prefix, value or none, stamp). An older
    /// change than what is known of a key says nothing; nor does one that a reading has overtaken: what it wrote
    /// may be removed by now, and the watch goes on behind that.
    pub fn on_watch_changes(&mut self, news: Vec<(String, Option<Value>, u64)>, epoch: u64) {
        let known = match self.phase {
            LoadPhase::NotLoaded => 0,
            LoadPhase::Loading(from) | LoadPhase::Loaded(from) => from,
        };
        for (key, value, stamp) in news {
            if stamp <= known || self.has_seen_revision(&key, stamp) {
                continue;
            }
            self.change_count += 1;
            match value {
                Some(value) => {
                    self.committed.insert(key, StoredRecord { value, mod_revision: stamp });
                }
                None => {
                    self.committed.remove(&key);
                }
            }
        }
        self.advance_phase(LoadPhase::Loaded(epoch));
        self.tombstones.retain(|_, at| *at > epoch);
    }

    /// A record as it stands, or as the leader wants it.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self.pending_writes.get(key) {
            Some(wanted) => wanted.as_ref(),
            None => self.committed.get(key).map(|h| &h.value),
        }
    }

    /// A record as it was last committed: what others know.
    pub fn get_committed(&self, key: &str) -> Option<&Value> {
        self.committed.get(key).map(|h| &h.value)
    }

    /// Whether a record stands as it is wanted.
    pub fn is_committed(&self, key: &str) -> bool {
        !self.pending_writes.contains_key(key)
    }

    /// All records under a part of the prefix, as they stand or are wanted.
    pub fn get_by_prefix(&self, part: &str) -> BTreeMap<&str, &Value> {
        let held =
            self.committed.range(part.to_string()..).take_while(|(k, _)| k.starts_with(part));
        let mut all: BTreeMap<&str, &Value> = held.map(|(k, h)| (k.as_str(), &h.value)).collect();
        for (key, value) in self.pending_writes.iter().filter(|(k, _)| k.starts_with(part)) {
            match value {
                Some(value) => all.insert(key, value),
                None => all.remove(key.as_str()),
            };
        }
        all
    }

    /// The leader wants a record to be so. False: it is too large, or there are too many.
    pub fn put(&mut self, key: &str, value: Value) -> bool {
        let new = !self.committed.contains_key(key) && !self.pending_writes.contains_key(key);
        if encoded_size(&value) > self.limits.max_value_bytes
            || new && self.record_count() >= MAX_RECORDS
        {
            return false;
        }
        self.set_pending_write(key, Some(value));
        true
    }

    /// The leader wants a record gone.
    pub fn remove(&mut self, key: &str) {
        self.set_pending_write(key, None);
    }

    /// Records there are or are wanted.
    pub fn record_count(&self) -> usize {
        self.committed.len()
            + self.pending_writes.keys().filter(|k| !self.committed.contains_key(*k)).count()
    }

    fn set_pending_write(&mut self, key: &str, value: Option<Value>) {
        let flies = self.in_flight.as_ref().is_some_and(|f| f.writes.iter().any(|(k, _)| k == key));
        let same = self.committed.get(key).map(|h| &h.value) == value.as_ref();
        if same && !flies {
            // Nothing is written while nothing changes.
            if self.pending_writes.remove(key).is_some() {
                self.write_order.retain(|k| k != key);
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

    /// The next transaction, if anything is to be written and may be now: one at a time, each with all that has
    /// come up by then and fits.
    pub fn next_transaction(&mut self, now: Time) -> Option<RecordTransaction> {
        if !self.is_loaded() || self.in_flight.is_some() || self.write_order.is_empty() {
            return None;
        }
        let rate = self.limits.writes_per_second * WRITE_RATE_SHARE;
        let passed = now.saturating_sub(self.write_budget.1) as f64 / 1_000.0;
        self.write_budget =
            ((self.write_budget.0 + passed * rate).min((rate * MAX_WRITE_BURST_S).max(1.0)), now);
        let most = MAX_BATCH_WRITES
            .min(self.limits.max_transaction_writes)
            .min(self.write_budget.0 as usize);
        let (mut txn, mut size) = (
            RecordTransaction {
                id: self.last_transaction_id + 1,
                conditions: Vec::new(),
                writes: Vec::new(),
            },
            0,
        );
        for key in &self.write_order {
            let Some(value) = self.pending_writes.get(key) else { continue };
            size += value.as_ref().map_or(0, encoded_size) + key.len();
            if txn.writes.len() >= most || size > MAX_BATCH_BYTES && !txn.writes.is_empty() {
                break;
            }
            let full = format!("{}{key}", self.prefix);
            txn.conditions
                .push((full.clone(), self.committed.get(key).map_or(0, |h| h.mod_revision)));
            txn.writes.push((full, value.clone()));
        }
        if txn.writes.is_empty() {
            return None;
        }
        self.write_budget.0 -= txn.writes.len() as f64;
        self.last_transaction_id += 1;
        let own = |full: &str| full.strip_prefix(&self.prefix).unwrap_or(full).to_string();
        let apply = txn.writes.iter().map(|(k, v)| (own(k), v.clone())).collect();
        self.in_flight = Some(RecordTransaction { writes: apply, ..txn.clone() });
        Some(txn)
    }

    /// What came of a transaction. True: what is there must be read again.
    pub fn on_outcome(&mut self, nonce: u64, outcome: WriteOutcome) -> bool {
        let Some(txn) = self.in_flight.take_if(|f| f.id == nonce) else { return false };
        let WriteOutcome::Committed(stamp) = outcome else {
            self.start_reload();
            return true;
        };
        self.written_count += txn.writes.len() as u64;
        for (key, value) in txn.writes {
            // Something else may be wanted there by now.
            if self.pending_writes.get(&key) == Some(&value) {
                self.pending_writes.remove(&key);
                self.write_order.retain(|k| *k != key);
            }
            // The watch may have brought this or a later change already.
            if self.has_seen_revision(&key, stamp) {
                continue;
            }
            match value {
                Some(value) => {
                    self.committed.insert(key, StoredRecord { value, mod_revision: stamp });
                }
                None => {
                    self.committed.remove(&key);
                    if !matches!(self.phase, LoadPhase::Loaded(told) if told >= stamp) {
                        self.tombstones.insert(key, stamp);
                    }
                }
            }
        }
        self.change_count += 1;
        false
    }

    /// Keys that are wanted otherwise than they stand.
    pub fn pending_keys(&self) -> BTreeSet<&str> {
        self.pending_writes.keys().map(String::as_str).collect()
    }
}

/// A value's size in JSON form.
fn encoded_size(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}
