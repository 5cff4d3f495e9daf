//! The state service: keys with revisions, transactions, leases and watches, with the protocol's limits.

use crate::http::{serve, Answer, Request};
use crate::msgpack::{int, map, text, Value};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MAX_CHANGES: usize = 10_000;

struct Entry {
    value: Value,
    stamp: u64,
    lease: u64,
}

struct Change {
    stamp: u64,
    key: String,
    /// None: the key was removed.
    value: Option<Value>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A limit with bursts of one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }

    fn take(&mut self, wanted: f64) -> bool {
        let elapsed = self.at.elapsed().as_secs_f64();
        self.at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        let allowed = self.tokens >= wanted;
        if allowed {
            self.tokens -= wanted;
        }
        allowed
    }
}

struct Inner {
    epoch: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<Change>,
    first_kept: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    record: Arc<Record>,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

impl State {
    pub fn start(limits: &Limits, record: Arc<Record>) -> (Arc<State>, SocketAddr) {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                epoch: 100,
                entries: BTreeMap::new(),
                changes: Vec::new(),
                first_kept: 100,
                leases: BTreeMap::new(),
                next_lease: 1,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                value_bytes: (limits.value_kb * 1024.0) as usize,
                txn_ops: limits.txn_ops,
            }),
            changed: Condvar::new(),
            record,
        });
        let handler = state.clone();
        let address = serve(Arc::new(move |request| handler.handle(&request)));
        let expiry = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiry.end_leases();
        });
        (state, address)
    }

    /// The value of a key, for the scenario.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.inner.lock().unwrap().entries.get(key).map(|entry| entry.value.clone())
    }

    /// The values of all keys with a prefix, for the scenario.
    pub fn all(&self, prefix: &str) -> Vec<(String, Value)> {
        let inner = self.inner.lock().unwrap();
        let found = inner.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        found.map(|(key, entry)| (key.clone(), entry.value.clone())).collect()
    }

    fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            inner.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if !inner.requests.take(1.0) {
            return error(429, "too many requests");
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv") => inner.list(request),
            ("GET", _) if path.starts_with("/kv/") => {
                let key = &path[4..];
                match inner.entries.get(key) {
                    Some(entry) => Answer::Status(200, entry_value(key, entry)),
                    None => Answer::Status(404, map(&[("epoch", int(inner.epoch))])),
                }
            }
            ("POST", "/commit") => {
                let answer = inner.commit(&request.body);
                self.changed.notify_all();
                if let Answer::Status(status, value) = &answer {
                    self.log_commit(&request.body, *status, value);
                }
                answer
            }
            ("POST", "/grants") => {
                let ttl = request.body.get("ttl_ms").int();
                if !(100..=600_000).contains(&ttl) {
                    return error(400, "ttl_ms");
                }
                let id = inner.next_lease;
                inner.next_lease += 1;
                let ttl = Duration::from_millis(ttl);
                inner.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                Answer::Status(200, map(&[("mooring", int(id))]))
            }
            (method, _) if path.starts_with("/grants/") => {
                let rest = &path["/grants/".len()..];
                let id = rest.split('/').next().unwrap_or("").parse().unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    return error(404, "no such lease");
                }
                if method == "DELETE" {
                    inner.end_lease(id);
                    self.changed.notify_all();
                } else if let Some(lease) = inner.leases.get_mut(&id) {
                    lease.ends = Instant::now() + lease.ttl;
                }
                Answer::Status(200, map(&[("mooring", int(id))]))
            }
            ("GET", "/follow") => {
                let block = request.query("block_ms").parse().unwrap_or(0).min(60_000);
                let until = Instant::now() + Duration::from_millis(block);
                let from = request.query("from").parse().unwrap_or(0);
                loop {
                    if from < inner.first_kept {
                        return error(410, "too old");
                    }
                    let news = inner.news(request.query("starts"), from);
                    let now = Instant::now();
                    if !news.is_empty() || now >= until {
                        let epoch = int(inner.epoch);
                        return Answer::Status(
                            200,
                            map(&[("epoch", epoch), ("news", Value::List(news))]),
                        );
                    }
                    inner = self.changed.wait_timeout(inner, until - now).unwrap().0;
                }
            }
            _ => error(400, "malformed"),
        }
    }

    fn log_commit(&self, body: &Value, status: u16, answer: &Value) {
        let changes =
            body.get("apply").list().iter().map(|change| match change.get("write").is_nil() {
                false => format!("write {}", change.get("write").text()),
                true => format!("remove {}", change.get("remove").text()),
            });
        let changes: Vec<String> = changes.collect();
        self.record.line(format!(
            "state service: commit {} -> {status} {}",
            changes.join(", "),
            answer.json()
        ));
    }
}

fn error(status: u16, cause: &str) -> Answer {
    Answer::Status(status, map(&[("error", text(cause))]))
}

fn entry_value(key: &str, entry: &Entry) -> Value {
    let mut fields = vec![
        ("key".to_string(), text(key)),
        ("value".to_string(), entry.value.clone()),
        ("stamp".to_string(), int(entry.stamp)),
    ];
    if entry.lease != 0 {
        fields.push(("mooring".to_string(), int(entry.lease)));
    }
    Value::Map(fields)
}

impl Inner {
    fn put(&mut self, key: &str, value: Value, lease: u64) {
        let stamp = self.epoch;
        self.entries.insert(key.to_string(), Entry { value: value.clone(), stamp, lease });
        self.changes.push(Change { stamp, key: key.to_string(), value: Some(value) });
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.changes.push(Change { stamp: self.epoch, key: key.to_string(), value: None });
        }
        let excess = self.changes.len().saturating_sub(MAX_CHANGES);
        if excess > 0 {
            self.first_kept = self.changes[excess - 1].stamp;
            self.changes.drain(..excess);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.entries.iter().filter(|(_, e)| e.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let (prefix, from) = (request.query("starts"), request.query("from"));
        let most = request.query("most").parse().unwrap_or(1000).min(1000);
        let mut found = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && (from.is_empty() || key.as_str() > from));
        let pairs: Vec<Value> =
            found.by_ref().take(most).map(|(key, entry)| entry_value(key, entry)).collect();
        let has_next = found.next().is_some();
        Answer::Status(
            200,
            map(&[
                ("pairs", Value::List(pairs)),
                ("has_next", Value::Bool(has_next)),
                ("epoch", int(self.epoch)),
            ]),
        )
    }

    fn news(&self, prefix: &str, from: u64) -> Vec<Value> {
        let new = self.changes.iter().filter(|c| c.stamp > from && c.key.starts_with(prefix));
        new.map(|change| match &change.value {
            Some(value) => map(&[
                ("write", text(&change.key)),
                ("value", value.clone()),
                ("stamp", int(change.stamp)),
            ]),
            None => map(&[("remove", text(&change.key)), ("stamp", int(change.stamp))]),
        })
        .collect()
    }

    fn commit(&mut self, body: &Value) -> Answer {
        let (when, apply) = (body.get("when").list(), body.get("apply").list());
        if apply.len() > self.txn_ops || when.len() > 4 * self.txn_ops || body.json().len() > 65_536
        {
            return error(400, "too large");
        }
        if apply.iter().any(|change| change.get("value").json().len() > self.value_bytes) {
            return error(400, "value too large");
        }
        if !self.writes.take(apply.len() as f64) {
            return error(429, "too many changes");
        }
        let leases = apply.iter().map(|change| change.get("mooring").int());
        if leases.into_iter().any(|id| id != 0 && !self.leases.contains_key(&id)) {
            return error(400, "no such lease");
        }
        let failed: Vec<Value> = when
            .iter()
            .filter(|condition| {
                let stamp = self.entries.get(condition.get("key").text()).map_or(0, |e| e.stamp);
                stamp != condition.get("stamp").int()
            })
            .map(|condition| condition.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return Answer::Status(
                409,
                map(&[("failed", Value::List(failed)), ("epoch", int(self.epoch))]),
            );
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for change in apply {
            match change.get("write").text() {
                "" => self.remove(change.get("remove").text()),
                key => self.put(key, change.get("value").clone(), change.get("mooring").int()),
            }
        }
        Answer::Status(200, map(&[("epoch", int(self.epoch))]))
    }
}
