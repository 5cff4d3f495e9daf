//! The state service as a pure machine: keys, stamps, transactions, leases, watches, limits.

use crate::constants::*;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_controller::settings::State;
use swiftsail_controller::store::Bucket;
use swiftsail_protocol::state::{Change, Commit, Item, News, Page, Pair};

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Committed {
    /// At this revision.
    At(u64),
    /// These conditions failed.
    Failed(Vec<String>),
    /// A lease that it names does not exist.
    NoGrant,
    /// It is malformed, or larger than the limits.
    Malformed(String),
}

/// The changes asked for are no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooOld;

/// A consistent store in memory.
pub struct Store {
    keys: BTreeMap<String, Pair>,
    epoch: u64,
    /// Leases: end, and time to live.
    grants: BTreeMap<u64, (u64, u64)>,
    next_grant: u64,
    log: VecDeque<Item>,
    /// Changes up to this revision are no longer kept.
    forgotten: u64,
    limits: State,
    requests: Bucket,
    writes: Bucket,
    /// Largest value and transaction seen, in JSON bytes, and most changes in one.
    pub largest_value: usize,
    /// See `largest_value`.
    pub largest_txn: usize,
    /// See `largest_value`.
    pub most_ops: usize,
    /// Changes asked for so far, and reads of keys, pages and news.
    pub changes: usize,
    /// See `changes`.
    pub reads: usize,
}

impl Store {
    /// An empty store with these limits.
    pub fn new(limits: State, now: u64) -> Store {
        Store {
            keys: BTreeMap::new(),
            epoch: 0,
            grants: BTreeMap::new(),
            next_grant: 0,
            log: VecDeque::new(),
            forgotten: 0,
            requests: Bucket::new(limits.rps, now),
            writes: Bucket::new(limits.write_rps, now),
            limits,
            largest_value: 0,
            largest_txn: 0,
            most_ops: 0,
            changes: 0,
            reads: 0,
        }
    }

    /// A store as it was kept: pairs and revision. Leases did not outlive it.
    pub fn restored(limits: State, now: u64, pairs: Vec<Pair>, epoch: u64) -> Store {
        let mut store = Store::new(limits, now);
        // Later revisions and leases are new ones, whatever was not kept of the last.
        (store.epoch, store.next_grant, store.forgotten) = (epoch + 1, epoch + 1, epoch + 1);
        let kept = pairs.into_iter().filter(|p| p.mooring.is_none());
        store.keys = kept.map(|p| (p.key.clone(), p)).collect();
        store
    }

    /// Other limits of requests and changes a second.
    pub fn limit_rates(&mut self, rps: f64, write_rps: f64, now: u64) {
        self.requests.set_rate(rps, now);
        self.writes.set_rate(write_rps, now);
    }

    /// It takes smaller values and transactions from now on, without notice.
    pub fn limit_sizes(&mut self, value_kb: f64, txn_ops: usize) {
        (self.limits.value_kb, self.limits.txn_ops) = (value_kb, txn_ops);
    }

    /// Whether the limits let a request with so many changes through.
    pub fn admit(&mut self, changes: usize, now: u64) -> bool {
        let changes = changes as f64;
        let open = self.requests.can(1.0, 0.0, now)
            && (changes == 0.0 || self.writes.can(changes, 0.0, now));
        if open {
            self.requests.take(1.0);
            self.writes.take(changes);
        }
        open
    }

    /// Revision.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// One key.
    pub fn get(&self, key: &str) -> Option<&Pair> {
        self.keys.get(key)
    }

    /// A page of keys.
    pub fn list(&self, prefix: &str, from: Option<&str>, most: usize) -> Page {
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
            let size = json_bytes(&pair.value) + pair.key.len();
            if pairs.len() >= most.min(PAGE_MOST) || bytes + size > PAGE_BYTES && !pairs.is_empty()
            {
                break;
            }
            bytes += size;
            pairs.extend(found.next().cloned());
        }
        Page { has_next: found.peek().is_some(), pairs, epoch: self.epoch }
    }

    /// A transaction.
    pub fn commit(&mut self, commit: &Commit) -> Committed {
        let bytes = json_bytes(commit);
        self.largest_txn = self.largest_txn.max(bytes);
        self.most_ops = self.most_ops.max(commit.apply.len());
        self.changes += commit.apply.len();
        if bytes > TXN_BYTES
            || commit.apply.len() > self.limits.txn_ops
            || commit.when.len() > 4 * self.limits.txn_ops
        {
            return Committed::Malformed("the transaction is larger than the limits".into());
        }
        for change in &commit.apply {
            let key = match change {
                Change::Write { write, value, mooring } => {
                    let bytes = json_bytes(value);
                    self.largest_value = self.largest_value.max(bytes);
                    if bytes as f64 > self.limits.value_kb * 1024.0 {
                        return Committed::Malformed(format!("the value of {write} is too large"));
                    }
                    if mooring.is_some_and(|m| !self.grants.contains_key(&m)) {
                        return Committed::NoGrant;
                    }
                    write
                }
                Change::Remove { remove } => remove,
            };
            if key.is_empty() || key.len() > KEY_MOST || key.contains(' ') {
                return Committed::Malformed(format!("`{key}` is no key"));
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |p| p.stamp);
        let failed = commit.when.iter().filter(|w| stamp(&w.key) != w.stamp);
        let failed: Vec<String> = failed.map(|w| w.key.clone()).collect();
        if !failed.is_empty() {
            return Committed::Failed(failed);
        }
        if !commit.apply.is_empty() {
            self.epoch += 1;
        }
        for change in &commit.apply {
            match change {
                Change::Write { write, value, mooring } => self.put(write, value, *mooring),
                Change::Remove { remove } => self.remove(remove),
            }
        }
        Committed::At(self.epoch)
    }

    fn put(&mut self, key: &str, value: &Value, mooring: Option<u64>) {
        let (stamp, value) = (self.epoch, value.clone());
        let pair = Pair { key: key.into(), value: value.clone(), stamp, mooring };
        self.keys.insert(key.into(), pair);
        self.note(Item { write: Some(key.into()), remove: None, value, stamp });
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let (value, stamp) = (Value::Null, self.epoch);
            self.note(Item { write: None, remove: Some(key.into()), value, stamp });
        }
    }

    fn note(&mut self, item: Item) {
        self.log.push_back(item);
        if self.log.len() > CHANGES_KEPT
            && let Some(old) = self.log.pop_front()
        {
            self.forgotten = old.stamp;
        }
    }

    /// A new lease, if its time to live is one.
    pub fn grant(&mut self, ttl_ms: u64, now: u64) -> Option<u64> {
        if !TTL_MS.contains(&ttl_ms) {
            return None;
        }
        self.next_grant += 1;
        self.grants.insert(self.next_grant, (now + ttl_ms, ttl_ms));
        Some(self.next_grant)
    }

    /// Extends a lease, if it is there.
    pub fn extend(&mut self, id: u64, now: u64) -> bool {
        self.grants.get_mut(&id).map(|(until, ttl)| *until = now + *ttl).is_some()
    }

    /// Ends a lease: the keys attached to it are deleted.
    pub fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let tied = self.keys.values().filter(|p| p.mooring == Some(id));
        let tied: Vec<String> = tied.map(|p| p.key.clone()).collect();
        for key in tied {
            self.epoch += 1;
            self.remove(&key);
        }
    }

    /// Ends leases whose time is over. In an outage they keep their whole time. Returns whether any
    /// has ended.
    pub fn expire(&mut self, now: u64, away: bool) -> bool {
        if away {
            for (until, ttl) in self.grants.values_mut() {
                *until = now + *ttl;
            }
            return false;
        }
        let over = self.grants.iter().filter(|(_, (until, _))| *until < now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.iter().for_each(|id| self.end_grant(*id));
        !over.is_empty()
    }

    /// Changes after a revision: None while there are none.
    pub fn news(&self, prefix: &str, from: u64) -> Result<Option<News>, TooOld> {
        if from < self.forgotten {
            return Err(TooOld);
        }
        let begin = self.log.partition_point(|item| item.stamp <= from);
        let key = |i: &Item| i.write.clone().or(i.remove.clone()).unwrap_or_default();
        let news = self.log.range(begin..).filter(|i| key(i).starts_with(prefix));
        let news: Vec<Item> = news.cloned().collect();
        Ok((!news.is_empty()).then_some(News { epoch: self.epoch, news }))
    }

    /// What a watch answers when its time runs out.
    pub fn no_news(&self) -> News {
        News { epoch: self.epoch, news: Vec::new() }
    }

    /// Keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |v| v.len())
}
