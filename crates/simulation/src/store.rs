//! A fake state service, as a state machine without I/O: keys, revisions, transactions, leases, watches and limits.
//! Times are milliseconds of the caller's monotonic clock.

use crate::constants::{
    LEASE_TTL_RANGE_MS, MAX_KEY_BYTES, MAX_PAGE_BYTES, MAX_PAGE_KEYS, MAX_TRANSACTION_BYTES,
    MAX_WATCH_HISTORY,
};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_controller::settings::StoreSettings;
use swiftsail_controller::store::TokenBucket;
use swiftsail_protocol::state::{
    KeyPage, KeyValue, Mutation, Transaction, WatchEvent, WatchResponse,
};

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionResult {
    /// Committed at this revision.
    Committed(u64),
    /// Not applied: the preconditions on these keys do not hold.
    PreconditionFailed(Vec<String>),
    /// Not applied: a lease that it refers to does not exist.
    LeaseNotFound,
    /// Not applied: it is malformed or exceeds a limit, for this reason.
    Malformed(String),
}

/// The requested changes are no longer in the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompactedRevision;

/// A linearizable key-value store in memory.
pub struct FakeStore {
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    /// By lease id: when it expires, and its time to live in ms.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watch_history: VecDeque<WatchEvent>,
    /// Changes up to this revision are no longer in the history.
    compacted_through: u64,
    limits: StoreSettings,
    request_limiter: TokenBucket,
    mutation_limiter: TokenBucket,
    /// Size of the largest value in a transaction so far, in bytes of JSON.
    pub largest_value: usize,
    /// Size of the largest transaction so far, in bytes of JSON.
    pub largest_transaction: usize,
    /// Most mutations in a transaction so far.
    pub most_operations: usize,
    /// Mutations in all transactions so far, rejected ones included.
    pub mutation_count: usize,
    /// Reads of keys, pages and changes so far, counted by the caller.
    pub read_count: usize,
}

impl FakeStore {
    /// An empty store with these limits.
    pub fn new(limits: StoreSettings, now: u64) -> FakeStore {
        FakeStore {
            keys: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            watch_history: VecDeque::new(),
            compacted_through: 0,
            request_limiter: TokenBucket::new(limits.rps, now),
            mutation_limiter: TokenBucket::new(limits.write_rps, now),
            limits,
            largest_value: 0,
            largest_transaction: 0,
            most_operations: 0,
            mutation_count: 0,
            read_count: 0,
        }
    }

    /// Restores a store from saved pairs and its last saved revision. Leases do not survive a restart: keys attached to
    /// one are dropped.
    pub fn restore(
        limits: StoreSettings,
        now: u64,
        pairs: Vec<KeyValue>,
        revision: u64,
    ) -> FakeStore {
        let mut store = FakeStore::new(limits, now);
        // Revisions and lease ids start beyond the last saved revision, so that none of those that clients have seen is
        // used again. Watches from before the restart must reload.
        (store.revision, store.next_lease, store.compacted_through) =
            (revision + 1, revision + 1, revision + 1);
        let persistent = pairs.into_iter().filter(|p| p.lease.is_none());
        store.keys = persistent.map(|p| (p.key.clone(), p)).collect();
        store
    }

    /// Changes the limits of requests and mutations per second.
    pub fn limit_rates(&mut self, rps: f64, write_rps: f64, now: u64) {
        self.request_limiter.set_rate(rps, now);
        self.mutation_limiter.set_rate(write_rps, now);
    }

    /// Changes the size limits of values (KB) and transactions (mutations), without announcing it to clients.
    pub fn limit_sizes(&mut self, value_kb: f64, txn_ops: usize) {
        (self.limits.value_kb, self.limits.txn_ops) = (value_kb, txn_ops);
    }

    /// Whether the rate limits admit a request with this number of mutations now. Consumes the capacity if so.
    pub fn admit(&mut self, mutations: usize, now: u64) -> bool {
        let mutations = mutations as f64;
        let admitted = self.request_limiter.can_take(1.0, 0.0, now)
            && (mutations == 0.0 || self.mutation_limiter.can_take(mutations, 0.0, now));
        if admitted {
            self.request_limiter.take(1.0);
            self.mutation_limiter.take(mutations);
        }
        admitted
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// A page of at most `limit` keys with this prefix, after the key `from`.
    pub fn list(&self, prefix: &str, from: Option<&str>, limit: usize) -> KeyPage {
        let start = from.filter(|f| *f > prefix).unwrap_or(prefix);
        let mut matching = self
            .keys
            .range(start.to_string()..)
            .map(|(_, p)| p)
            .take_while(|p| p.key.starts_with(prefix))
            .filter(|p| from.is_none_or(|f| p.key.as_str() > f))
            .peekable();
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        while let Some(pair) = matching.peek() {
            let size = json_size(&pair.value) + pair.key.len();
            if pairs.len() >= limit.min(MAX_PAGE_KEYS)
                || bytes + size > MAX_PAGE_BYTES && !pairs.is_empty()
            {
                break;
            }
            bytes += size;
            pairs.extend(matching.next().cloned());
        }
        KeyPage { has_next: matching.peek().is_some(), entries: pairs, revision: self.revision }
    }

    /// Applies a transaction atomically if it is well-formed, within the limits, and its preconditions hold.
    pub fn apply_transaction(&mut self, transaction: &Transaction) -> TransactionResult {
        let bytes = json_size(transaction);
        self.largest_transaction = self.largest_transaction.max(bytes);
        self.most_operations = self.most_operations.max(transaction.mutations.len());
        self.mutation_count += transaction.mutations.len();
        if bytes > MAX_TRANSACTION_BYTES
            || transaction.mutations.len() > self.limits.txn_ops
            || transaction.preconditions.len() > 4 * self.limits.txn_ops
        {
            return TransactionResult::Malformed(
                "the transaction is larger than the limits".into(),
            );
        }
        for change in &transaction.mutations {
            let key = match change {
                Mutation::Put { key, value, lease } => {
                    let bytes = json_size(value);
                    self.largest_value = self.largest_value.max(bytes);
                    if bytes as f64 > self.limits.value_kb * 1024.0 {
                        return TransactionResult::Malformed(format!(
                            "the value of {key} is too large"
                        ));
                    }
                    if lease.is_some_and(|m| !self.leases.contains_key(&m)) {
                        return TransactionResult::LeaseNotFound;
                    }
                    key
                }
                Mutation::Delete { key } => key,
            };
            if key.is_empty() || key.len() > MAX_KEY_BYTES || key.contains(' ') {
                return TransactionResult::Malformed(format!("`{key}` is no key"));
            }
        }
        let revision_of = |key: &str| self.keys.get(key).map_or(0, |p| p.mod_revision);
        let failed =
            transaction.preconditions.iter().filter(|w| revision_of(&w.key) != w.mod_revision);
        let failed: Vec<String> = failed.map(|w| w.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionResult::PreconditionFailed(failed);
        }
        if !transaction.mutations.is_empty() {
            self.revision += 1;
        }
        for change in &transaction.mutations {
            match change {
                Mutation::Put { key, value, lease } => self.put(key, value, *lease),
                Mutation::Delete { key } => self.remove(key),
            }
        }
        TransactionResult::Committed(self.revision)
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let (revision, value) = (self.revision, value.clone());
        let pair =
            KeyValue { key: key.into(), value: value.clone(), mod_revision: revision, lease };
        self.keys.insert(key.into(), pair);
        self.append_to_history(WatchEvent {
            put_key: Some(key.into()),
            deleted_key: None,
            value,
            mod_revision: revision,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (value, revision) = (Value::Null, self.revision);
            self.append_to_history(WatchEvent {
                put_key: None,
                deleted_key: Some(key.into()),
                value,
                mod_revision: revision,
            });
        }
    }

    fn append_to_history(&mut self, event: WatchEvent) {
        self.watch_history.push_back(event);
        if self.watch_history.len() > MAX_WATCH_HISTORY
            && let Some(oldest) = self.watch_history.pop_front()
        {
            self.compacted_through = oldest.mod_revision;
        }
    }

    /// Creates a lease. `None` if the time to live is out of range.
    pub fn create_lease(&mut self, ttl_ms: u64, now: u64) -> Option<u64> {
        if !LEASE_TTL_RANGE_MS.contains(&ttl_ms) {
            return None;
        }
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (now + ttl_ms, ttl_ms));
        Some(self.next_lease)
    }

    /// Renews a lease for its time to live. Returns whether it exists.
    pub fn renew_lease(&mut self, id: u64, now: u64) -> bool {
        self.leases.get_mut(&id).map(|(until, ttl)| *until = now + *ttl).is_some()
    }

    /// Revokes a lease and deletes the keys attached to it.
    pub fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.keys.values().filter(|p| p.lease == Some(id));
        let attached: Vec<String> = attached.map(|p| p.key.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Revokes expired leases. While the service is unavailable no lease expires, and each has its whole time to live
    /// again afterwards. Returns whether any lease expired.
    pub fn expire_leases(&mut self, now: u64, unavailable: bool) -> bool {
        if unavailable {
            for (until, ttl) in self.leases.values_mut() {
                *until = now + *ttl;
            }
            return false;
        }
        let expired = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        expired.iter().for_each(|id| self.revoke_lease(*id));
        !expired.is_empty()
    }

    /// The changes after revision `from` of keys with this prefix, or `None` if there are none yet. Fails if the history
    /// no longer reaches back that far.
    pub fn changes_since(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<Option<WatchResponse>, CompactedRevision> {
        if from < self.compacted_through {
            return Err(CompactedRevision);
        }
        let start = self.watch_history.partition_point(|event| event.mod_revision <= from);
        let key = |i: &WatchEvent| i.put_key.clone().or(i.deleted_key.clone()).unwrap_or_default();
        let events = self.watch_history.range(start..).filter(|i| key(i).starts_with(prefix));
        let events: Vec<WatchEvent> = events.cloned().collect();
        Ok((!events.is_empty()).then_some(WatchResponse { revision: self.revision, events }))
    }

    /// The response to a watch whose time runs out without a change.
    pub fn empty_watch_response(&self) -> WatchResponse {
        WatchResponse { revision: self.revision, events: Vec::new() }
    }

    /// Number of keys with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

fn json_size<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}
