//! Stand-ins of the state service, the cloud and the workers, as the protocol page describes them.

use crate::wire::{V, call, map, serve, t};
use crate::world::{World, any_port};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KIB: usize = 1024;

/// Tokens a second, with a burst.
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst_s: f64) -> Bucket {
        Bucket { rate, burst: rate * burst_s, tokens: rate * burst_s, at: Instant::now() }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = now;
        let ok = self.tokens >= n;
        if ok {
            self.tokens -= n;
        }
        ok
    }
}

// ---- state service ------------------------------------------------------------------------------

struct Entry {
    value: V,
    stamp: u64,
    mooring: Option<u64>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct StateData {
    keys: BTreeMap<String, Entry>,
    epoch: u64,
    log: VecDeque<(u64, String, Option<V>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
    /// Transactions refused because a value was larger than the limit.
    too_large: u64,
}

pub struct StateService {
    data: Mutex<StateData>,
    changed: Condvar,
}

impl StateData {
    fn remove(&mut self, key: &str, stamp: u64) {
        if self.keys.remove(key).is_some() {
            self.record(stamp, key, None);
        }
    }
    fn record(&mut self, stamp: u64, key: &str, value: Option<V>) {
        self.log.push_back((stamp, key.to_string(), value));
        if self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.mooring == Some(id)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
            let stamp = self.epoch;
            keys.iter().for_each(|key| self.remove(key, stamp));
        }
    }
    fn changes(&self, prefix: &str, from: u64) -> Vec<V> {
        let newer = self.log.iter().filter(|(stamp, key, _)| *stamp > from && key.starts_with(prefix));
        newer
            .map(|(stamp, key, value)| match value {
                Some(value) => map(vec![("write", t(key)), ("value", value.clone()), ("stamp", V::Int(*stamp))]),
                None => map(vec![("remove", t(key)), ("stamp", V::Int(*stamp))]),
            })
            .collect()
    }
}

fn entry_map(key: &str, entry: &Entry) -> V {
    let mut fields = vec![("key", t(key)), ("value", entry.value.clone()), ("stamp", V::Int(entry.stamp))];
    if let Some(mooring) = entry.mooring {
        fields.push(("mooring", V::Int(mooring)));
    }
    map(fields)
}

fn error(text: &str) -> Vec<u8> {
    map(vec![("error", t(text))]).encode()
}

impl StateService {
    pub fn start(listener: TcpListener, limits: &StateLimits) -> Arc<StateService> {
        let data = StateData {
            keys: BTreeMap::new(),
            epoch: 1,
            log: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            requests: Bucket::new(limits.rps, 1.0),
            writes: Bucket::new(limits.write_rps, 1.0),
            value_bytes: (limits.value_kb * KIB as f64) as usize,
            txn_ops: limits.txn_ops,
            too_large: 0,
        };
        let service = Arc::new(StateService { data: Mutex::new(data), changed: Condvar::new() });
        let clock = service.clone();
        std::thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(20));
                let mut data = clock.data.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = data.leases.iter().filter(|(_, l)| now >= l.until).map(|(id, _)| *id).collect();
                ended.into_iter().for_each(|id| data.end_lease(id));
                drop(data);
                clock.changed.notify_all();
            }
        });
        let server = service.clone();
        serve(listener, move |request| {
            sleep(Duration::from_millis(4));
            Some(server.answer(&request.method, &request.path, &|key| request.query(key).map(str::to_string), &request.body))
        });
        service
    }

    /// From now on the service has these limits.
    pub fn lower(&self, limits: &StateLimits) {
        let mut data = self.data.lock().unwrap();
        data.value_bytes = (limits.value_kb * KIB as f64) as usize;
        data.txn_ops = limits.txn_ops;
        data.writes = Bucket::new(limits.write_rps, 1.0);
    }

    pub fn too_large(&self) -> u64 {
        self.data.lock().unwrap().too_large
    }

    fn answer(&self, method: &str, path: &str, query: &dyn Fn(&str) -> Option<String>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut data = self.data.lock().unwrap();
        if !data.requests.take(1.0) {
            return (429, error("too many requests"));
        }
        let number = |key: &str| query(key).and_then(|n| n.parse::<u64>().ok());
        match (method, path) {
            ("GET", "/kv") => {
                let prefix = query("starts").unwrap_or_default();
                let from = query("from").unwrap_or_default();
                let most = number("most").unwrap_or(1000).min(1000) as usize;
                let (mut pairs, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, entry) in data.keys.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if !from.is_empty() && *key <= from {
                        continue;
                    }
                    let pair = entry_map(key, entry);
                    bytes += pair.json().len() + 1;
                    if pairs.len() >= most || bytes > 511 * KIB {
                        more = true;
                        break;
                    }
                    pairs.push(pair);
                }
                let page = vec![("pairs", V::List(pairs)), ("has_next", V::Bool(more)), ("epoch", V::Int(data.epoch))];
                (200, map(page).encode())
            }
            ("GET", "/follow") => {
                let prefix = query("starts").unwrap_or_default();
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("block_ms").unwrap_or(0).min(60_000));
                loop {
                    if data.log.len() >= 10_000 && data.log.front().is_some_and(|(stamp, ..)| *stamp > from + 1) {
                        return (410, error("too old"));
                    }
                    let news = data.changes(&prefix, from);
                    if !news.is_empty() || Instant::now() >= until {
                        return (200, map(vec![("epoch", V::Int(data.epoch)), ("news", V::List(news))]).encode());
                    }
                    data = self.changed.wait_timeout(data, Duration::from_millis(50)).unwrap().0;
                }
            }
            ("GET", _) if path.starts_with("/kv/") => match data.keys.get_key_value(&path[4..]) {
                Some((key, entry)) => (200, entry_map(key, entry).encode()),
                None => (404, map(vec![("epoch", V::Int(data.epoch))]).encode()),
            },
            ("POST", "/commit") => {
                let answer = Self::commit(&mut data, body);
                self.changed.notify_all();
                answer
            }
            ("POST", "/grants") => {
                let ttl = V::decode(body).and_then(|body| body.int("ttl_ms")).unwrap_or(0);
                if !(100..=600_000).contains(&ttl) {
                    return (400, error("ttl_ms"));
                }
                let (id, ttl) = (data.next_lease, Duration::from_millis(ttl));
                data.next_lease += 1;
                data.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
                (200, map(vec![("mooring", V::Int(id))]).encode())
            }
            ("POST", _) if path.starts_with("/grants/") && path.ends_with("/extend") => {
                let id: u64 = path[8..path.len() - 7].parse().unwrap_or(0);
                match data.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        (200, map(vec![]).encode())
                    }
                    None => (404, error("no such lease")),
                }
            }
            ("DELETE", _) if path.starts_with("/grants/") => {
                let id: u64 = path[8..].parse().unwrap_or(0);
                data.end_lease(id);
                self.changed.notify_all();
                (200, map(vec![]).encode())
            }
            _ => (400, error("no such call")),
        }
    }

    fn commit(data: &mut StateData, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(transaction) = V::decode(body) else { return (400, error("malformed")) };
        let (when, apply) = (transaction.list("when"), transaction.list("apply"));
        if apply.len() > data.txn_ops || when.len() > 4 * data.txn_ops || transaction.json().len() > 64 * KIB {
            data.too_large += 1;
            return (400, error("transaction too large"));
        }
        for change in apply {
            let value = change.get("value");
            if value.is_some_and(|value| value.json().len() > data.value_bytes) {
                data.too_large += 1;
                return (400, error("value too large"));
            }
            if change.int("mooring").is_some_and(|id| !data.leases.contains_key(&id)) {
                return (400, error("no such lease"));
            }
        }
        if !apply.is_empty() && !data.writes.take(apply.len() as f64) {
            return (429, error("too many changes"));
        }
        let failed: Vec<V> = when
            .iter()
            .filter(|condition| {
                let stamp = condition.text("key").and_then(|key| data.keys.get(key)).map_or(0, |e| e.stamp);
                condition.int("stamp") != Some(stamp)
            })
            .map(|condition| t(condition.text("key").unwrap_or("")))
            .collect();
        if !failed.is_empty() {
            return (409, map(vec![("failed", V::List(failed)), ("epoch", V::Int(data.epoch))]).encode());
        }
        if !apply.is_empty() {
            data.epoch += 1;
            let stamp = data.epoch;
            for change in apply {
                if let Some(key) = change.text("write") {
                    let value = change.get("value").cloned().unwrap_or(V::Nil);
                    let entry = Entry { value: value.clone(), stamp, mooring: change.int("mooring") };
                    data.keys.insert(key.to_string(), entry);
                    data.record(stamp, key, Some(value));
                } else if let Some(key) = change.text("remove") {
                    data.remove(key, stamp);
                }
            }
        }
        (200, map(vec![("epoch", V::Int(data.epoch))]).encode())
    }
}

// ---- cloud --------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    /// Machines of each kind in each zone.
    pub capacity: usize,
}

struct Rented {
    machine: Arc<Worker>,
    rented_at: Instant,
    up_at: Instant,
    returned_at: Option<Instant>,
}

struct CloudData {
    machines: Vec<Rented>,
    charters: BTreeMap<String, Vec<String>>,
    calls: Bucket,
}

pub struct Cloud {
    data: Mutex<CloudData>,
    types: Vec<MachineType>,
    list_lag: Duration,
    world: Arc<World>,
}

impl Cloud {
    pub fn start(listener: TcpListener, types: Vec<MachineType>, rps: f64, list_lag_s: f64, world: Arc<World>) -> Arc<Cloud> {
        let data = CloudData { machines: Vec::new(), charters: BTreeMap::new(), calls: Bucket::new(rps, 2.0) };
        let cloud = Arc::new(Cloud { data: Mutex::new(data), types, list_lag: Duration::from_secs_f64(list_lag_s), world });
        let server = cloud.clone();
        serve(listener, move |request| {
            sleep(Duration::from_millis(80));
            let body = V::decode(&request.body).unwrap_or(V::Nil);
            let after = request.query("from").unwrap_or("").to_string();
            let most = request.query("most").and_then(|n| n.parse().ok()).unwrap_or(500);
            Some(server.answer(&request.method, &request.path, &body, &after, most))
        });
        cloud
    }

    /// Adds a machine that is up already.
    pub fn add_running(self: &Arc<Cloud>, hull: &str, zone: &str) {
        let mut data = self.data.lock().unwrap();
        self.rent(&mut data, hull, zone, false, 0.0);
    }

    fn rent(&self, data: &mut CloudData, hull: &str, zone: &str, spot: bool, boot_s: f64) -> Option<String> {
        let kind = self.types.iter().find(|k| k.name == hull)?;
        let in_use = |r: &&Rented| {
            let m = &r.machine;
            r.returned_at.is_none() && m.kind.name == hull && m.zone == zone && m.spot == spot
        };
        if data.machines.iter().filter(in_use).count() >= kind.capacity {
            return None;
        }
        let name = format!("m-{:06}", data.machines.len() + 1);
        let (now, up) = (Instant::now(), Duration::from_secs_f64(boot_s));
        let machine = Worker::new(&name, kind.clone(), zone, spot, self.world.clone());
        data.machines.push(Rented { machine: machine.clone(), rented_at: now, up_at: now + up, returned_at: None });
        std::thread::spawn(move || {
            sleep(up);
            machine.run();
        });
        Some(name)
    }

    fn answer(&self, method: &str, path: &str, body: &V, after: &str, most: usize) -> (u16, Vec<u8>) {
        let mut data = self.data.lock().unwrap();
        if !data.calls.take(1.0) {
            return (429, error("too many requests"));
        }
        match (method, path) {
            ("GET", "/machine_types") => {
                let zones: Vec<V> = self.world.zones.iter().map(|zone| t(zone)).collect();
                let hulls = self.types.iter().map(|k| {
                    map(vec![
                        ("sku", t(k.name)),
                        ("cpus", V::Num(k.cpus)),
                        ("accelerators", V::Num(k.gpus)),
                        ("memory_gb", V::Num(k.memory_gb)),
                        ("cache_gb", V::Num(k.cache_gb)),
                        ("fetch_gb_per_s", V::Num(k.fetch_gb_per_s)),
                        ("price", V::Num(k.price)),
                        ("market_price", V::Num(k.spot_price)),
                        ("boot_s", V::Num(k.boot_s)),
                        ("docks", V::List(zones.clone())),
                    ])
                });
                (200, map(vec![("hulls", V::List(hulls.collect()))]).encode())
            }
            ("POST", "/machines") => {
                let charter = body.text("charter").unwrap_or("").to_string();
                let (hull, zone) = (body.text("hull").unwrap_or(""), body.text("dock").unwrap_or(""));
                let number = body.int("number").unwrap_or(0);
                let Some(kind) = self.types.iter().find(|k| k.name == hull) else { return (400, error("hull")) };
                if !(1..=50).contains(&number) || !self.world.zones.iter().any(|z| z == zone) {
                    return (400, error("malformed"));
                }
                if !data.charters.contains_key(&charter) {
                    // The boot time is within the page's usual range, 0.6 to 1.5 times `boot_s`.
                    let boot_s = 0.6 * kind.boot_s;
                    let names: Vec<String> = (0..number)
                        .map_while(|_| self.rent(&mut data, hull, zone, body.flag("driftwood"), boot_s))
                        .collect();
                    if names.is_empty() {
                        return (503, error("no capacity"));
                    }
                    data.charters.insert(charter.clone(), names);
                }
                let names = data.charters[&charter].iter().map(|name| t(name)).collect();
                (200, map(vec![("berths", V::List(names))]).encode())
            }
            ("POST", "/machines/return") => {
                let names: Vec<&str> =
                    body.list("berths").iter().filter_map(|n| if let V::Text(n) = n { Some(n.as_str()) } else { None }).collect();
                if names.len() > 100 {
                    return (400, error("more than 100 names"));
                }
                for rented in data.machines.iter_mut().filter(|r| r.returned_at.is_none()) {
                    if names.contains(&rented.machine.name.as_str()) {
                        rented.returned_at = Some(Instant::now());
                        rented.machine.end();
                    }
                }
                (200, map(vec![]).encode())
            }
            ("GET", "/machines") => {
                // The list shows the machines as of `list_lag` ago.
                let Some(then) = Instant::now().checked_sub(self.list_lag) else { return (503, error("trouble")) };
                let listed = data.machines.iter().filter(|r| {
                    r.rented_at <= then && r.returned_at.is_none_or(|at| at > then) && r.machine.name.as_str() > after
                });
                let mut rows: Vec<V> = listed
                    .map(|r| {
                        let m = &r.machine;
                        map(vec![
                            ("name_id", t(&m.name)),
                            ("addr", t(&m.addr.to_string())),
                            ("hull", t(m.kind.name)),
                            ("dock", t(&m.zone)),
                            ("driftwood", V::Bool(m.spot)),
                            ("status", t(if r.up_at <= then { "running" } else { "starting" })),
                            ("held_s", V::Num(then.duration_since(r.rented_at).as_secs_f64())),
                        ])
                    })
                    .collect();
                let more = rows.len() > most;
                rows.truncate(most);
                (200, map(vec![("berths", V::List(rows)), ("has_next", V::Bool(more))]).encode())
            }
            _ => (400, error("no such call")),
        }
    }
}

// ---- workers ------------------------------------------------------------------------------------

struct Task {
    status: &'static str,
    cause: &'static str,
    /// When its image is there.
    fetched_at: Instant,
    /// When it is done; none: a service.
    done_at: Option<Instant>,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
}

struct WorkerData {
    session: u64,
    tick: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, Instant>,
    /// When the report was sent whose answer renewed the lease last.
    renewed_at: Instant,
    changed: bool,
    ended: bool,
    node: usize,
}

pub struct Worker {
    pub name: String,
    kind: MachineType,
    zone: String,
    spot: bool,
    addr: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    data: Mutex<WorkerData>,
    world: Arc<World>,
}

impl Worker {
    fn new(name: &str, kind: MachineType, zone: &str, spot: bool, world: Arc<World>) -> Arc<Worker> {
        let listener = TcpListener::bind(any_port()).expect("a free port");
        let data = WorkerData {
            session: 1,
            tick: 0,
            token: 0,
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            renewed_at: Instant::now(),
            changed: true,
            ended: false,
            node: 0,
        };
        Arc::new(Worker {
            name: name.to_string(),
            kind,
            zone: zone.to_string(),
            spot,
            addr: listener.local_addr().expect("an address"),
            listener: Mutex::new(Some(listener)),
            data: Mutex::new(data),
            world,
        })
    }

    /// The cloud has taken the machine back: everything on it is gone.
    fn end(&self) {
        let mut data = self.data.lock().unwrap();
        data.ended = true;
        self.world.note(&format!("{} returned with {} tasks", self.name, on_machine(&data)));
        data.tasks.clear();
    }

    /// Runs the worker until its machine is returned.
    fn run(self: Arc<Worker>) {
        let node = self.name.bytes().map(usize::from).sum::<usize>() % self.world.fronts.len();
        {
            let mut data = self.data.lock().unwrap();
            (data.renewed_at, data.node) = (Instant::now(), node);
        }
        self.world.note(&format!("{} ({}, {}) is up", self.name, self.kind.name, self.zone));
        if let Some(listener) = self.listener.lock().unwrap().take() {
            let worker = self.clone();
            serve(listener, move |request| worker.direct(&request.path, &request.body));
        }
        let clock = self.clone();
        std::thread::spawn(move || {
            while clock.step() {
                sleep(Duration::from_millis(50));
            }
        });
        let (mut last, mut n) = (Instant::now() - Duration::from_secs(60), 0u64);
        loop {
            sleep(Duration::from_millis(20));
            let data = self.data.lock().unwrap();
            if data.ended {
                return;
            }
            // `report_s` plus or minus a quarter, and after a change, at most every half second.
            let period = self.world.report_s * [0.75, 1.0, 1.25, 0.9, 1.1][n as usize % 5];
            let since = last.elapsed().as_secs_f64();
            if since < period && !(data.changed && since >= 0.5) {
                continue;
            }
            drop(data);
            (last, n) = (Instant::now(), n + 1);
            if !self.report() {
                sleep(Duration::from_secs(1));
            }
        }
    }

    /// The worker's report.
    fn build_report(&self, data: &mut WorkerData) -> V {
        data.tick += 1;
        let tasks = data.tasks.iter().map(|((shard, launch), task)| {
            let mut fields = vec![("shard", t(shard)), ("launch", V::Int(*launch)), ("status", t(task.status))];
            if !task.cause.is_empty() {
                fields.push(("cause", t(task.cause)));
            }
            map(fields)
        });
        map(vec![
            ("shards", V::List(tasks.collect())),
            ("berth", t(&self.name)),
            ("addr", t(&self.addr.to_string())),
            ("hull", t(self.kind.name)),
            ("dock", t(&self.zone)),
            ("driftwood", V::Bool(self.spot)),
            ("watch", V::Int(data.session)),
            ("tick", V::Int(data.tick)),
            ("helm", V::Int(data.token)),
            ("recall_s", V::Nil),
        ])
    }

    /// Sends a report and executes the answer. Returns false if the next node is to be tried after a second.
    fn report(&self) -> bool {
        let (report, session, tasks, node) = {
            let mut data = self.data.lock().unwrap();
            data.changed = false;
            (self.build_report(&mut data), data.session, data.tasks.len(), data.node)
        };
        let sent_at = Instant::now();
        let answer = call(self.world.fronts[node], "POST", "/v1/report", Some(&report), Duration::from_secs(4));
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        if status != 200 && status != 421 && status != 503 {
            let bytes = report.json().len();
            self.world.note(&format!("{}: report of {tasks} tasks, {bytes} bytes as JSON, answered with {status}", self.name));
        }
        let mut data = self.data.lock().unwrap();
        let count = self.world.fronts.len();
        let body = answer.and_then(|(_, body)| V::decode(&body)).unwrap_or(V::Nil);
        match status {
            200 => {
                let token = body.int("helm").unwrap_or(0);
                if session == data.session && token >= data.token && token > 0 && !data.ended {
                    data.changed |= token > data.token;
                    (data.token, data.renewed_at) = (token, sent_at);
                    let bytes = body.json().len();
                    if bytes > 64 * KIB {
                        self.world.note(&format!("{}: answer of {bytes} bytes as JSON", self.name));
                    }
                    self.execute(&mut data, body.list("orders"));
                }
                true
            }
            421 => {
                let named = body.text("harbor").and_then(|name| self.world.names.iter().position(|n| n == name));
                match named.filter(|n| *n != node) {
                    Some(named) => {
                        (data.node, data.changed) = (named, true);
                        true
                    }
                    None => {
                        (data.node, data.changed) = ((node + 1) % count, true);
                        false
                    }
                }
            }
            _ => {
                (data.node, data.changed) = ((node + 1) % count, true);
                false
            }
        }
    }

    fn direct(&self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let mut data = self.data.lock().unwrap();
        if data.ended {
            return None;
        }
        if path == "/inspect" {
            return Some((200, self.build_report(&mut data).encode()));
        }
        let body = V::decode(body).unwrap_or(V::Nil);
        let (Some(token), Some(session)) = (body.int("helm"), body.int("watch")) else {
            return Some((400, error("helm or watch is missing")));
        };
        let executed = token >= data.token && session == data.session;
        if executed {
            data.changed |= token > data.token;
            data.token = token;
            self.execute(&mut data, body.list("orders"));
        }
        Some((if executed { 200 } else { 409 }, self.build_report(&mut data).encode()))
    }

    fn execute(&self, data: &mut WorkerData, orders: &[V]) {
        for order in orders {
            let (Some(shard), Some(launch)) = (order.text("shard"), order.int("launch")) else { continue };
            let id = (shard.to_string(), launch);
            match order.text("verb") {
                Some("start") if !data.tasks.contains_key(&id) => self.start(data, id),
                Some("stop") => {
                    let stopped = data.tasks.get_mut(&id).filter(|task| task.status != "exited");
                    if let Some(task) = stopped {
                        (task.status, task.cause) = ("exited", "halted");
                        data.changed = true;
                        self.world.task_event("stopped", shard, &self.name);
                    }
                }
                Some("reap") if data.tasks.get(&id).is_some_and(|task| task.status == "exited") => {
                    data.tasks.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn start(&self, data: &mut WorkerData, id: (String, u64)) {
        data.changed = true;
        let job = id.0.split('/').next().unwrap_or("").to_string();
        let now = Instant::now();
        let mut task =
            Task { status: "exited", cause: "no_such", fetched_at: now, done_at: None, cpus: 0.0, gpus: 0.0, memory_gb: 0.0 };
        if let Some(spec) = self.world.job(&job) {
            (task.cpus, task.gpus, task.memory_gb) =
                (spec.num("cpus").unwrap_or(0.0), spec.num("accelerators").unwrap_or(0.0), spec.num("memory_gb").unwrap_or(0.0));
            let holding: Vec<&Task> = data.tasks.values().filter(|task| task.status != "exited").collect();
            let fits = |of: fn(&Task) -> f64, all: f64| holding.iter().map(|task| of(task)).sum::<f64>() + of(&task) <= all + 1e-6;
            let has_room =
                fits(|x| x.cpus, self.kind.cpus) && fits(|x| x.gpus, self.kind.gpus) && fits(|x| x.memory_gb, self.kind.memory_gb);
            let is_in_use = data.tasks.iter().any(|((shard, _), task)| *shard == id.0 && task.status != "exited");
            task.cause = if is_in_use {
                "in_use"
            } else if !has_room {
                "no_room"
            } else {
                ""
            };
            if task.cause.is_empty() {
                let image = spec.text("bundle").unwrap_or("").to_string();
                let fetch_s = spec.num("pull_gb").unwrap_or(0.0) / self.kind.fetch_gb_per_s;
                let fetched_at = *data.images.entry(image).or_insert(now + Duration::from_secs_f64(fetch_s));
                task.status = "fetching";
                task.fetched_at = fetched_at.max(now);
                let is_service = spec.text("shape") == Some("service");
                let run = Duration::from_secs_f64(self.world.run_s(&job));
                task.done_at = (!is_service).then_some(task.fetched_at + run);
            }
        }
        if task.status == "exited" {
            self.world.task_event(task.cause, &id.0, &self.name);
        }
        data.tasks.insert(id, task);
    }

    /// Advances the tasks and the lease. Returns false once the machine has been returned.
    fn step(&self) -> bool {
        let mut data = self.data.lock().unwrap();
        if data.ended {
            return false;
        }
        let now = Instant::now();
        if now.duration_since(data.renewed_at).as_secs_f64() > self.world.lease_s {
            let killed: Vec<String> =
                data.tasks.iter().filter(|(_, task)| task.status != "exited").map(|((shard, _), _)| shard.clone()).collect();
            self.world.on_lease_end(&self.name, &killed);
            data.tasks.clear();
            data.session += 1;
            (data.renewed_at, data.changed) = (now, true);
        }
        let mut changed = false;
        for ((shard, _), task) in &mut data.tasks {
            if task.status == "fetching" && now >= task.fetched_at {
                task.status = "running";
                changed = true;
                self.world.task_event("runs", shard, &self.name);
            }
            if task.status == "running" && task.done_at.is_some_and(|at| now >= at) {
                (task.status, task.cause) = ("exited", "done");
                changed = true;
                self.world.task_event("done", shard, &self.name);
            }
        }
        data.changed |= changed;
        true
    }
}

fn on_machine(data: &WorkerData) -> usize {
    data.tasks.values().filter(|task| task.status == "running").count()
}
