//! The state service as a pure machine: keys, stamps, transactions, leases, watches, limits.

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

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionResult {
    /// At this revision.
    Committed(u64),
    /// These conditions failed.
    PreconditionFailed(Vec<String>),
    /// A lease that it names does not exist.
    LeaseNotFound,
    /// It is malformed, or larger than the limits.
    Malformed(String),
}

/// The changes asked for are no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompactedRevision;

/// A consistent store in memory.
pub struct FakeStore {
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    /// Leases: end, and time to live.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watch_history: VecDeque<WatchEvent>,
    /// Changes up to this revision are no longer kept.
    compacted_through: u64,
    limits: StoreSettings,
    request_limiter: TokenBucket,
    mutation_limiter: TokenBucket,
    /// Largest value and transaction seen, in JSON bytes, and most changes in one.
    pub largest_value: usize,
    /// See `largest_value`.
    pub largest_transaction: usize,
    /// See `largest_value`.
    pub most_operations: usize,
    /// Changes asked for so far, and reads of keys, pages and news.
    pub mutation_count: usize,
    /// See `changes`.
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

    /// A store as it was kept: pairs and revision. Leases did not outlive it.
    pub fn restore(limits: StoreSettings, now: u64, pairs: Vec<KeyValue>, epoch: u64) -> FakeStore {
        let mut store = FakeStore::new(limits, now);
        // Later revisions and leases are new ones, whatever was not kept of the last.
        (store.revision, store.next_lease, store.compacted_through) =
            (epoch + 1, epoch + 1, epoch + 1);
        let kept = pairs.into_iter().filter(|p| p.lease.is_none());
        store.keys = kept.map(|p| (p.key.clone(), p)).collect();
        store
    }

    /// Other limits of requests and changes a second.
    pub fn limit_rates(&mut self, rps: f64, write_rps: f64, now: u64) {
        self.request_limiter.set_rate(rps, now);
        self.mutation_limiter.set_rate(write_rps, now);
    }

    /// It takes smaller values and transactions from now on, without notice.
    pub fn limit_sizes(&mut self, value_kb: f64, txn_ops: usize) {
        (self.limits.value_kb, self.limits.txn_ops) = (value_kb, txn_ops);
    }

    /// Whether the limits let a request with so many changes through.
    pub fn admit(&mut self, changes: usize, now: u64) -> bool {
        let changes = changes as f64;
        let open = self.request_limiter.can_take(1.0, 0.0, now)
            && (changes == 0.0 || self.mutation_limiter.can_take(changes, 0.0, now));
        if open {
            self.request_limiter.take(1.0);
            self.mutation_limiter.take(changes);
        }
        open
    }

    /// Revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// One key.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// A page of keys.
    pub fn list(&self, prefix: &str, from: Option<&str>, most: usize) -> KeyPage {
        let begin = from.filter(|f| *f > prefix).unwrap_or(prefix);
        let mut found = self
            .keys
            .range(begin.to_string()..)
            .map(|(_, p)| p)
            .take_while(|p| p.key.starts_with(prefix))
            .filter(|p| from.is_none_or(|f| p.key.as_str() > f))
            .peekable();
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        while let Some(pair) = found.peek() {
            let size = json_size(&pair.value) + pair.key.len();
            if pairs.len() >= most.min(MAX_PAGE_KEYS)
                || bytes + size > MAX_PAGE_BYTES && !pairs.is_empty()
            {
                break;
            }
            bytes += size;
            pairs.extend(found.next().cloned());
        }
        KeyPage { has_next: found.peek().is_some(), entries: pairs, revision: self.revision }
    }

    /// A transaction.
    pub fn apply_transaction(&mut self, commit: &Transaction) -> TransactionResult {
        let bytes = json_size(commit);
        self.largest_transaction = self.largest_transaction.max(bytes);
        self.most_operations = self.most_operations.max(commit.mutations.len());
        self.mutation_count += commit.mutations.len();
        if bytes > MAX_TRANSACTION_BYTES
            || commit.mutations.len() > self.limits.txn_ops
            || commit.preconditions.len() > 4 * self.limits.txn_ops
        {
            return TransactionResult::Malformed(
                "the transaction is larger than the limits".into(),
            );
        }
        for change in &commit.mutations {
            let key = match change {
                Mutation::Put { key: write, value, lease: mooring } => {
                    let bytes = json_size(value);
                    self.largest_value = self.largest_value.max(bytes);
                    if bytes as f64 > self.limits.value_kb * 1024.0 {
                        return TransactionResult::Malformed(format!(
                            "the value of {write} is too large"
                        ));
                    }
                    if mooring.is_some_and(|m| !self.leases.contains_key(&m)) {
                        return TransactionResult::LeaseNotFound;
                    }
                    write
                }
                Mutation::Delete { key: remove } => remove,
            };
            if key.is_empty() || key.len() > MAX_KEY_BYTES || key.contains(' ') {
                return TransactionResult::Malformed(format!("`{key}` is no key"));
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |p| p.mod_revision);
        let failed = commit.preconditions.iter().filter(|w| stamp(&w.key) != w.mod_revision);
        let failed: Vec<String> = failed.map(|w| w.key.clone()).collect();
        if !failed.is_empty() {
            return TransactionResult::PreconditionFailed(failed);
        }
        if !commit.mutations.is_empty() {
            self.revision += 1;
        }
        for change in &commit.mutations {
            match change {
                Mutation::Put { key: write, value, lease: mooring } => {
                    self.put(write, value, *mooring)
                }
                Mutation::Delete { key: remove } => self.remove(remove),
            }
        }
        TransactionResult::Committed(self.revision)
    }

    fn put(&mut self, key: &str, value: &Value, mooring: Option<u64>) {
        let (stamp, value) = (self.revision, value.clone());
        let pair =
            KeyValue { key: key.into(), value: value.clone(), mod_revision: stamp, lease: mooring };
        self.keys.insert(key.into(), pair);
        self.append_to_history(WatchEvent {
            put_key: Some(key.into()),
            deleted_key: None,
            value,
            mod_revision: stamp,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (value, stamp) = (Value::Null, self.revision);
            self.append_to_history(WatchEvent {
                put_key: None,
                deleted_key: Some(key.into()),
                value,
                mod_revision: stamp,
            });
        }
    }

    fn append_to_history(&mut self, item: WatchEvent) {
        self.watch_history.push_back(item);
        if self.watch_history.len() > MAX_WATCH_HISTORY
            && let Some(old) = self.watch_history.pop_front()
        {
            self.compacted_through = old.mod_revision;
        }
    }

    /// A new lease, if its time to live is one.
    pub fn create_lease(&mut self, ttl_ms: u64, now: u64) -> Option<u64> {
        if !LEASE_TTL_RANGE_MS.contains(&ttl_ms) {
            return None;
        }
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (now + ttl_ms, ttl_ms));
        Some(self.next_lease)
    }

    /// Extends a lease, if it is there.
    pub fn renew_lease(&mut self, id: u64, now: u64) -> bool {
        self.leases.get_mut(&id).map(|(until, ttl)| *until = now + *ttl).is_some()
    }

    /// Ends a lease: the keys attached to it are deleted.
    pub fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let tied = self.keys.values().filter(|p| p.lease == Some(id));
        let tied: Vec<String> = tied.map(|p| p.key.clone()).collect();
        for key in tied {
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Ends leases whose time is over. In an outage they keep their whole time. Returns whether any
    /// has ended.
    pub fn expire_leases(&mut self, now: u64, away: bool) -> bool {
        if away {
            for (until, ttl) in self.leases.values_mut() {
                *until = now + *ttl;
            }
            return false;
        }
        let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.iter().for_each(|id| self.revoke_lease(*id));
        !over.is_empty()
    }

    /// Changes after a revision: None while there are none.
    pub fn changes_since(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<Option<WatchResponse>, CompactedRevision> {
        if from < self.compacted_through {
            return Err(CompactedRevision);
        }
        let begin = self.watch_history.partition_point(|item| item.mod_revision <= from);
        let key = |i: &WatchEvent| i.put_key.clone().or(i.deleted_key.clone()).unwrap_or_default();
        let news = self.watch_history.range(begin..).filter(|i| key(i).starts_with(prefix));
        let news: Vec<WatchEvent> = news.cloned().collect();
        Ok((!news.is_empty()).then_some(WatchResponse { revision: self.revision, events: news }))
    }

    /// What a watch answers when its time runs out.
    pub fn empty_watch_response(&self) -> WatchResponse {
        WatchResponse { revision: self.revision, events: Vec::new() }
    }

    /// Keys with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

fn json_size<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}
