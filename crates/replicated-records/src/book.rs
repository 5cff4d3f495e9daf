//! The records, as one controller knows them, and what its leader wants changed.

use crate::Time;
use crate::constants::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What the state service and the site allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Changes a second that the site allows in all.
    pub changes: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
}

/// How much is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: defaults hold.
    Unknown,
    /// Pages are coming; this was the first one's revision.
    Reading(u64),
    /// All, as of this revision.
    Known(u64),
}

/// A transaction: conditions on stamps of keys, and what is written (none: removed). Whoever sends it adds the
/// condition on the leader's key.
#[derive(Debug, Clone, PartialEq)]
pub struct Txn {
    /// Its number.
    pub nonce: u64,
    /// Keys and the stamps that they must have; 0: not there.
    pub when: Vec<(String, u64)>,
    /// What is changed.
    pub apply: Vec<(String, Option<Value>)>,
}

/// What came of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Committed under this stamp.
    Committed(u64),
    /// A condition failed: what is known is not what is there.
    Conflict,
}

#[derive(Debug, Clone, PartialEq)]
struct Held {
    value: Value,
    stamp: u64,
}

/// The records under a prefix.
#[derive(Debug)]
pub struct Book {
    prefix: String,
    limits: Limits,
    phase: Phase,
    held: BTreeMap<String, Held>,
    /// What this leader has removed, and when, until a watch has told as much: it may yet tell of the writing.
    removed: BTreeMap<String, u64>,
    /// What the leader wants there; none: nothing.
    wanted: BTreeMap<String, Option<Value>>,
    /// Keys in the order in which they came to be wanted.
    order: Vec<String>,
    flight: Option<Txn>,
    nonce: u64,
    /// Changes that may be made now.
    saved: (f64, Time),
    /// Changes of what is known so far: readers look again when it differs.
    version: u64,
    /// Changes made so far.
    changes: u64,
}

impl Book {
    /// A book of which nothing is known.
    pub fn new(prefix: &str, limits: Limits, now: Time) -> Book {
        let most = limits.changes * CHANGES_PART * SAVED_S;
        Book {
            prefix: prefix.into(),
            limits,
            phase: Phase::Unknown,
            held: BTreeMap::new(),
            removed: BTreeMap::new(),
            wanted: BTreeMap::new(),
            order: Vec::new(),
            flight: None,
            nonce: 0,
            saved: (most, now),
            version: 0,
            changes: 0,
        }
    }

    /// How much is known.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether all is known.
    pub fn known(&self) -> bool {
        matches!(self.phase, Phase::Known(_))
    }

    /// Number of changes of what is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Changes written so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The prefix.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The one function that changes how much is known. A revision never goes back.
    fn advance(&mut self, to: Phase) -> bool {
        let allowed = match (self.phase, to) {
            (_, Phase::Unknown) | (Phase::Unknown, Phase::Reading(_)) => true,
            (Phase::Reading(from) | Phase::Known(from), Phase::Known(to)) => to >= from,
            _ => false,
        };
        if allowed {
            self.phase = to;
        }
        allowed
    }

    /// Begins to read anew. What is known goes on to hold until it has been read.
    pub fn reread(&mut self) {
        self.advance(Phase::Unknown);
    }

    /// A term ends: what was wanted under it is no longer this controller's to write.
    pub fn close(&mut self) {
        self.wanted.clear();
        self.order.clear();
        self.flight = None;
    }

    /// Takes over a page of records (key without the prefix, value, stamp). Returns the key after which to go on.
    pub fn on_page(
        &mut self,
        page: Vec<(String, Value, u64)>,
        epoch: u64,
        has_next: bool,
    ) -> Option<String> {
        if self.phase == Phase::Unknown {
            self.advance(Phase::Reading(epoch));
            // What was written while this was read is not on it.
            self.held.retain(|_, held| held.stamp > epoch);
        }
        let last = page.last().map(|p| p.0.clone());
        for (key, value, stamp) in page {
            if self.held.len() < RECORDS_MOST && !self.knows_later(&key, stamp) {
                self.held.insert(key, Held { value, stamp });
            }
        }
        self.version += 1;
        match (self.phase, last.filter(|_| has_next)) {
            (_, Some(last)) => Some(last),
            (Phase::Reading(from), None) => {
                self.advance(Phase::Known(from));
                self.removed.retain(|_, at| *at > from);
                None
            }
            _ => None,
        }
    }

    /// Whether something as late is known of a key: that it was written, or that it was removed.
    fn knows_later(&self, key: &str, stamp: u64) -> bool {
        self.held.get(key).is_some_and(|h| h.stamp >= stamp)
            || self.removed.get(key).is_some_and(|at| *at >= stamp)
    }

    /// Takes over what has changed up to a revision (key without the prefix, value or none, stamp). An older
    /// change than what is known of a key says nothing; nor does one that a reading has overtaken: what it wrote
    /// may be removed by now, and the watch goes on behind that.
    pub fn on_news(&mut self, news: Vec<(String, Option<Value>, u64)>, epoch: u64) {
        let known = match self.phase {
            Phase::Unknown => 0,
            Phase::Reading(from) | Phase::Known(from) => from,
        };
        for (key, value, stamp) in news {
            if stamp <= known || self.knows_later(&key, stamp) {
                continue;
            }
            self.version += 1;
            match value {
                Some(value) => {
                    self.held.insert(key, Held { value, stamp });
                }
                None => {
                    self.held.remove(&key);
                }
            }
        }
        self.advance(Phase::Known(epoch));
        self.removed.retain(|_, at| *at > epoch);
    }

    /// A record as it stands, or as the leader wants it.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self.wanted.get(key) {
            Some(wanted) => wanted.as_ref(),
            None => self.held.get(key).map(|h| &h.value),
        }
    }

    /// A record as it was last committed: what others know.
    pub fn committed(&self, key: &str) -> Option<&Value> {
        self.held.get(key).map(|h| &h.value)
    }

    /// Whether a record stands as it is wanted.
    pub fn settled(&self, key: &str) -> bool {
        !self.wanted.contains_key(key)
    }

    /// All records under a part of the prefix, as they stand or are wanted.
    pub fn under(&self, part: &str) -> BTreeMap<&str, &Value> {
        let held = self.held.range(part.to_string()..).take_while(|(k, _)| k.starts_with(part));
        let mut all: BTreeMap<&str, &Value> = held.map(|(k, h)| (k.as_str(), &h.value)).collect();
        for (key, value) in self.wanted.iter().filter(|(k, _)| k.starts_with(part)) {
            match value {
                Some(value) => all.insert(key, value),
                None => all.remove(key.as_str()),
            };
        }
        all
    }

    /// The leader wants a record to be so. False: it is too large, or there are too many.
    pub fn put(&mut self, key: &str, value: Value) -> bool {
        let new = !self.held.contains_key(key) && !self.wanted.contains_key(key);
        if bytes(&value) > self.limits.value_bytes || new && self.size() >= RECORDS_MOST {
            return false;
        }
        self.want(key, Some(value));
        true
    }

    /// The leader wants a record gone.
    pub fn remove(&mut self, key: &str) {
        self.want(key, None);
    }

    /// Records there are or are wanted.
    pub fn size(&self) -> usize {
        self.held.len() + self.wanted.keys().filter(|k| !self.held.contains_key(*k)).count()
    }

    fn want(&mut self, key: &str, value: Option<Value>) {
        let flies = self.flight.as_ref().is_some_and(|f| f.apply.iter().any(|(k, _)| k == key));
        let same = self.held.get(key).map(|h| &h.value) == value.as_ref();
        if same && !flies {
            // Nothing is written while nothing changes.
            if self.wanted.remove(key).is_some() {
                self.order.retain(|k| k != key);
                self.version += 1;
            }
            return;
        }
        if self.wanted.get(key) == Some(&value) {
            return;
        }
        self.version += 1;
        if self.wanted.insert(key.to_string(), value).is_none() {
            self.order.push(key.to_string());
        }
    }

    /// The next transaction, if anything is to be written and may be now: one at a time, each with all that has
    /// come up by then and fits.
    pub fn next(&mut self, now: Time) -> Option<Txn> {
        if !self.known() || self.flight.is_some() || self.order.is_empty() {
            return None;
        }
        let rate = self.limits.changes * CHANGES_PART;
        let passed = now.saturating_sub(self.saved.1) as f64 / 1_000.0;
        self.saved = ((self.saved.0 + passed * rate).min((rate * SAVED_S).max(1.0)), now);
        let most = BATCH_MOST.min(self.limits.txn_ops).min(self.saved.0 as usize);
        let (mut txn, mut size) =
            (Txn { nonce: self.nonce + 1, when: Vec::new(), apply: Vec::new() }, 0);
        for key in &self.order {
            let Some(value) = self.wanted.get(key) else { continue };
            size += value.as_ref().map_or(0, bytes) + key.len();
            if txn.apply.len() >= most || size > BATCH_BYTES && !txn.apply.is_empty() {
                break;
            }
            let full = format!("{}{key}", self.prefix);
            txn.when.push((full.clone(), self.held.get(key).map_or(0, |h| h.stamp)));
            txn.apply.push((full, value.clone()));
        }
        if txn.apply.is_empty() {
            return None;
        }
        self.saved.0 -= txn.apply.len() as f64;
        self.nonce += 1;
        let own = |full: &str| full.strip_prefix(&self.prefix).unwrap_or(full).to_string();
        let apply = txn.apply.iter().map(|(k, v)| (own(k), v.clone())).collect();
        self.flight = Some(Txn { apply, ..txn.clone() });
        Some(txn)
    }

    /// What came of a transaction. True: what is there must be read again.
    pub fn on_outcome(&mut self, nonce: u64, outcome: Outcome) -> bool {
        let Some(txn) = self.flight.take_if(|f| f.nonce == nonce) else { return false };
        let Outcome::Committed(stamp) = outcome else {
            self.reread();
            return true;
        };
        self.changes += txn.apply.len() as u64;
        for (key, value) in txn.apply {
            // Something else may be wanted there by now.
            if self.wanted.get(&key) == Some(&value) {
                self.wanted.remove(&key);
                self.order.retain(|k| *k != key);
            }
            // The watch may have brought this or a later change already.
            if self.knows_later(&key, stamp) {
                continue;
            }
            match value {
                Some(value) => {
                    self.held.insert(key, Held { value, stamp });
                }
                None => {
                    self.held.remove(&key);
                    if !matches!(self.phase, Phase::Known(told) if told >= stamp) {
                        self.removed.insert(key, stamp);
                    }
                }
            }
        }
        self.version += 1;
        false
    }

    /// Keys that are wanted otherwise than they stand.
    pub fn open(&self) -> BTreeSet<&str> {
        self.wanted.keys().map(String::as_str).collect()
    }
}

/// A value's size in JSON form.
fn bytes(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}
