//! The stand-in's state service, cloud and workers, by their protocol.

use super::UserJob;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_core::cloud;
use swiftsail_core::store::{Call, Outcome};
use swiftsail_wire::cloud::{Berths, Hull, Listed, ListedState, Listing, Types};
use swiftsail_wire::state::{Change, Item, News, Page, Pair};
use swiftsail_wire::workers::{Cause, Command, Direct, Orders, Phase, Report, Shard, Verb};

// ---- state service -----------------------------------------------------------------------------

/// A consistent store in memory.
#[derive(Default)]
pub struct StoreSim {
    keys: BTreeMap<String, Pair>,
    epoch: u64,
    grants: BTreeMap<u64, (u64, u64)>,
    next_grant: u64,
    log: Vec<(u64, Item)>,
    pub follows: Vec<(usize, u64, u64, String, u64, u64)>,
    /// Largest value and transaction seen, in JSON bytes.
    pub largest_value: usize,
    pub largest_txn: usize,
    pub most_ops: usize,
}

impl StoreSim {
    pub fn call(&mut self, call: &Call, now: u64) -> Outcome {
        self.expire(now, false);
        match call {
            Call::Get(key) => match self.keys.get(key) {
                Some(pair) => Outcome::Found(pair.clone()),
                None => Outcome::Missing { epoch: self.epoch },
            },
            Call::List { prefix, from } => {
                let found = self.keys.values().filter(|p| {
                    p.key.starts_with(prefix) && from.as_ref().is_none_or(|f| p.key > *f)
                });
                // A small page, so that paging is exercised.
                let mut pairs: Vec<Pair> = found.take(8).cloned().collect();
                let has_next = pairs.len() == 8;
                pairs.truncate(7);
                Outcome::Page(Page { pairs, has_next, epoch: self.epoch })
            }
            Call::Commit(commit) => {
                let bytes = serde_json::to_vec(commit).map_or(0, |v| v.len());
                self.largest_txn = self.largest_txn.max(bytes);
                self.most_ops = self.most_ops.max(commit.apply.len());
                for change in &commit.apply {
                    if let Change::Write { value, mooring, .. } = change {
                        let bytes = serde_json::to_vec(value).map_or(0, |v| v.len());
                        self.largest_value = self.largest_value.max(bytes);
                        if mooring.is_some_and(|m| !self.grants.contains_key(&m)) {
                            return Outcome::NoGrant;
                        }
                    }
                }
                let stamp = |key: &str| self.keys.get(key).map_or(0, |p| p.stamp);
                let failed: Vec<String> = commit
                    .when
                    .iter()
                    .filter(|w| stamp(&w.key) != w.stamp)
                    .map(|w| w.key.clone())
                    .collect();
                if !failed.is_empty() {
                    return Outcome::Conflict(failed);
                }
                if !commit.apply.is_empty() {
                    self.epoch += 1;
                }
                for change in &commit.apply {
                    match change {
                        Change::Write { write, value, mooring } => {
                            self.put(write, value.clone(), *mooring);
                        }
                        Change::Remove { remove } => self.remove(remove),
                    }
                }
                Outcome::Committed(self.epoch)
            }
            Call::Grant { ttl_ms } => {
                self.next_grant += 1;
                self.grants.insert(self.next_grant, (now + ttl_ms, *ttl_ms));
                Outcome::Granted(self.next_grant)
            }
            Call::Extend(id) => match self.grants.get_mut(id) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    Outcome::Granted(*id)
                }
                None => Outcome::NoGrant,
            },
            Call::Follow { .. } => Outcome::Unknown,
        }
    }

    fn put(&mut self, key: &str, value: serde_json::Value, mooring: Option<u64>) {
        let stamp = self.epoch;
        let pair = Pair { key: key.into(), value: value.clone(), stamp, mooring };
        self.keys.insert(key.into(), pair);
        self.log.push((stamp, Item { write: Some(key.into()), remove: None, value, stamp }));
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let value = serde_json::Value::Null;
            let item = Item { write: None, remove: Some(key.into()), value, stamp: self.epoch };
            self.log.push((self.epoch, item));
        }
    }

    /// Ends leases whose time is over. In an outage they keep their whole time.
    pub fn expire(&mut self, now: u64, away: bool) -> bool {
        if away {
            for (until, ttl) in self.grants.values_mut() {
                *until = now + *ttl;
            }
            return false;
        }
        let over: Vec<u64> =
            self.grants.iter().filter(|(_, (u, _))| *u < now).map(|(id, _)| *id).collect();
        for id in &over {
            self.grants.remove(id);
            let tied = self.keys.values().filter(|p| p.mooring == Some(*id));
            let tied: Vec<String> = tied.map(|p| p.key.clone()).collect();
            for key in tied {
                self.epoch += 1;
                self.remove(&key);
            }
        }
        !over.is_empty()
    }

    pub fn ready_follows(&mut self, now: u64) -> Vec<(usize, u64, u64, Outcome)> {
        let (log, epoch) = (&self.log, self.epoch);
        let mut ready = Vec::new();
        self.follows.retain(|(n, life, id, prefix, from, until)| {
            let begin = log.partition_point(|(at, _)| at <= from);
            let key = |i: &Item| i.write.clone().or(i.remove.clone()).unwrap_or_default();
            let news: Vec<Item> = log[begin..]
                .iter()
                .filter(|(_, i)| key(i).starts_with(prefix))
                .map(|(_, i)| i.clone())
                .collect();
            if news.is_empty() && now < *until {
                return true;
            }
            ready.push((*n, *life, *id, Outcome::News(News { epoch, news })));
            false
        });
        ready
    }

    /// Keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

// ---- cloud -------------------------------------------------------------------------------------

const CAPACITY: u32 = 6;

/// A cloud with two types in three zones.
#[derive(Default)]
pub struct CloudSim {
    next: u32,
    served: BTreeMap<String, Vec<String>>,
}

pub fn types() -> Types {
    let hull = |sku: &str, cpus: f64, price: f64| Hull {
        sku: sku.into(),
        cpus,
        accelerators: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 0.5,
        price,
        market_price: price / 3.0,
        boot_s: 5.0,
        docks: super::ZONES.iter().map(|z| z.to_string()).collect(),
    };
    Types { hulls: vec![hull("s4", 4.0, 0.3), hull("m8", 8.0, 0.5)] }
}

impl CloudSim {
    /// Serves a call; also names the machines made.
    pub fn call(
        &mut self,
        call: &cloud::Call,
        now: u64,
        workers: &mut BTreeMap<String, Worker>,
        rng: &mut StdRng,
    ) -> (cloud::Outcome, Vec<String>) {
        use cloud::{Call, Outcome};
        match call {
            Call::Types => (Outcome::Types(types()), vec![]),
            Call::Rent(rent) => {
                if let Some(names) = self.served.get(&rent.charter) {
                    return (Outcome::Rented(Berths { berths: names.clone() }), vec![]);
                }
                let held = workers.values().filter(|w| {
                    !w.gone
                        && w.kind == rent.hull
                        && w.zone == rent.dock
                        && w.spot == rent.driftwood
                });
                let number = rent.number.min(CAPACITY.saturating_sub(held.count() as u32));
                if number == 0 {
                    return (Outcome::NoCapacity, vec![]);
                }
                let mut names = Vec::new();
                for _ in 0..number {
                    self.next += 1;
                    let name = format!("m-{:06}", self.next);
                    let up_at = now + rng.random_range(1_000..8_000);
                    let cpus = if rent.hull == "s4" { 4.0 } else { 8.0 };
                    let worker =
                        Worker::new(&name, &rent.hull, &rent.dock, rent.driftwood, cpus, up_at);
                    workers.insert(name.clone(), worker);
                    names.push(name);
                }
                self.served.insert(rent.charter.clone(), names.clone());
                (Outcome::Rented(Berths { berths: names.clone() }), names)
            }
            Call::Return(names) => {
                for name in names {
                    if let Some(worker) = workers.get_mut(name) {
                        worker.gone = true;
                        worker.tasks.clear();
                    }
                }
                (Outcome::Returned, vec![])
            }
            Call::List(from) => {
                let listed = workers.values().filter(|w| {
                    !w.gone && from.as_ref().is_none_or(|f| w.name > *f) && w.up_at + 3_000 < now
                });
                let berths = listed
                    .map(|w| Listed {
                        name_id: w.name.clone(),
                        addr: w.name.clone(),
                        hull: w.kind.clone(),
                        dock: w.zone.clone(),
                        driftwood: w.spot,
                        status: ListedState::Running,
                        held_s: 1.0,
                    })
                    .collect();
                (Outcome::Listed(Listing { berths, has_next: false }), vec![])
            }
        }
    }
}

// ---- workers -----------------------------------------------------------------------------------

/// Where a task stands, with the time of its next step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum At {
    Fetching(u64),
    Gathering(u64),
    Running(u64),
    Exited(Cause),
}

impl At {
    pub fn on_machine(&self) -> bool {
        matches!(self, At::Gathering(_) | At::Running(_))
    }
}

#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub launch: u64,
    pub at: At,
    cpus: f64,
}

pub struct Worker {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    cpus: f64,
    pub up_at: u64,
    pub gone: bool,
    pub hang_until: u64,
    pub taken_at: Option<u64>,
    watch: u64,
    tick: u64,
    helm: u64,
    pub tasks: Vec<Task>,
    node: usize,
    in_flight: Option<u64>,
    next_report: u64,
    last_report: u64,
    changed: bool,
    leased: u64,
}

const LEASE: u64 = 10_000;

impl Worker {
    fn new(name: &str, kind: &str, zone: &str, spot: bool, cpus: f64, up_at: u64) -> Worker {
        Worker {
            name: name.into(),
            kind: kind.into(),
            zone: zone.into(),
            spot,
            cpus,
            up_at,
            gone: false,
            hang_until: 0,
            taken_at: None,
            watch: 1,
            tick: 0,
            helm: 0,
            tasks: vec![],
            node: 0,
            in_flight: None,
            next_report: up_at,
            last_report: 0,
            changed: true,
            leased: up_at,
        }
    }

    pub fn awake(&self, now: u64) -> bool {
        !self.gone && now >= self.up_at && now >= self.hang_until
    }

    fn report(&mut self, now: u64) -> Report {
        self.tick += 1;
        let shards = self.tasks.iter().map(|t| {
            let (status, cause) = match t.at {
                At::Fetching(_) => (Phase::Fetching, None),
                At::Gathering(_) => (Phase::Waiting, None),
                At::Running(_) => (Phase::Running, None),
                At::Exited(cause) => (Phase::Exited, Some(cause)),
            };
            Shard { shard: t.name.clone(), launch: t.launch, status, cause, stored: None }
        });
        Report {
            berth: self.name.clone(),
            addr: self.name.clone(),
            hull: self.kind.clone(),
            dock: self.zone.clone(),
            driftwood: self.spot,
            watch: self.watch,
            tick: self.tick,
            helm: self.helm,
            recall_s: self.taken_at.map(|at| at.saturating_sub(now) as f64 / 1000.0),
            shards: shards.collect(),
        }
    }

    /// The report that is due, and to which node.
    pub fn report_due(&mut self, now: u64) -> Option<(usize, Report)> {
        if let Some(sent) = self.in_flight {
            if now < sent + 4_000 {
                return None;
            }
            self.unanswered(sent, now);
        }
        let due = now >= self.next_report || (self.changed && now >= self.last_report + 500);
        if !due {
            return None;
        }
        self.in_flight = Some(now);
        self.last_report = now;
        self.next_report = now + 1_000;
        self.changed = false;
        Some((self.node, self.report(now)))
    }

    pub fn unanswered(&mut self, sent: u64, now: u64) {
        if self.in_flight == Some(sent) {
            self.in_flight = None;
            self.node = (self.node + 1) % super::NODES;
            self.next_report = now + 1_000;
            self.changed = false;
        }
    }

    pub fn redirected(&mut self, sent: u64, to: Option<&str>, now: u64) {
        if self.in_flight != Some(sent) {
            return;
        }
        let named = to.and_then(|t| t.strip_prefix('n')).and_then(|n| n.parse::<usize>().ok());
        match named {
            Some(n) if n != self.node => {
                self.in_flight = None;
                self.node = n;
                self.next_report = now;
            }
            _ => self.unanswered(sent, now),
        }
    }

    pub fn orders(&mut self, orders: &Orders, watch: u64, sent: u64, now: u64, jobs: &[UserJob]) {
        // An answer to a report given up, or of an earlier session, is dropped.
        if self.in_flight != Some(sent) || !self.awake(now) {
            return;
        }
        self.in_flight = None;
        if watch != self.watch || orders.helm < self.helm {
            return;
        }
        self.changed |= orders.helm > self.helm;
        self.helm = orders.helm;
        self.leased = sent;
        self.execute(&orders.orders, now, jobs);
    }

    pub fn direct(&mut self, direct: &Direct, now: u64) -> Report {
        if direct.helm >= self.helm && direct.watch == self.watch {
            self.helm = direct.helm;
            self.execute(&direct.orders, now, &[]);
        }
        self.report(now)
    }

    fn execute(&mut self, orders: &[Command], now: u64, jobs: &[UserJob]) {
        for order in orders {
            let held =
                self.tasks.iter_mut().find(|t| t.name == order.shard && t.launch == order.launch);
            match order.verb {
                Verb::Stop => {
                    if let Some(task) = held.filter(|t| !matches!(t.at, At::Exited(_))) {
                        task.at = At::Exited(Cause::Stopped);
                        self.changed = true;
                    }
                }
                Verb::Forget => {
                    let it = |t: &Task| t.name == order.shard && t.launch == order.launch;
                    self.tasks.retain(|t| !(it(t) && matches!(t.at, At::Exited(_))));
                }
                Verb::Start => {
                    if held.is_some() {
                        continue;
                    }
                    self.changed = true;
                    let id = order.shard.split('/').next().unwrap_or("");
                    let Some(job) = jobs.iter().find(|j| j.id == id) else { continue };
                    let used: f64 = self
                        .tasks
                        .iter()
                        .filter(|t| !matches!(t.at, At::Exited(_)))
                        .map(|t| t.cpus)
                        .sum();
                    let cpus = job.number("cpus");
                    let twice = self
                        .tasks
                        .iter()
                        .any(|t| t.name == order.shard && !matches!(t.at, At::Exited(_)));
                    let at = if twice {
                        At::Exited(Cause::InUse)
                    } else if used + cpus > self.cpus + 1e-6 {
                        At::Exited(Cause::NoRoom)
                    } else {
                        At::Fetching(now + 1_000)
                    };
                    self.tasks.push(Task {
                        name: order.shard.clone(),
                        launch: order.launch,
                        at,
                        cpus,
                    });
                }
            }
        }
    }

    /// Time passes on the machine.
    pub fn advance(
        &mut self,
        now: u64,
        jobs: &[UserJob],
        all: &[(String, u64, At)],
        done: &mut BTreeSet<String>,
        started: &mut u64,
    ) -> bool {
        let mut moved = false;
        if now > self.leased + LEASE {
            self.tasks.clear();
            self.watch += 1;
            self.leased = now;
            self.in_flight = None;
            self.changed = true;
        }
        for task in &mut self.tasks {
            let id = task.name.split('/').next().unwrap_or("").to_string();
            let Some(job) = jobs.iter().find(|j| j.id == id) else { continue };
            let mates: Vec<&At> = all
                .iter()
                .filter(|(n, l, _)| *l == task.launch && n.split('/').next() == Some(id.as_str()))
                .map(|(_, _, at)| at)
                .collect();
            let gang = job.text("shape") == "gang";
            // A gang completes together, and a result once there is kept.
            let over = done.contains(&task.name)
                || gang && (0..job.tasks()).any(|t| done.contains(&format!("{id}/{t}")));
            let next = match task.at {
                At::Fetching(at) if now < at => None,
                At::Fetching(_) | At::Gathering(_) | At::Running(_) if over => {
                    done.insert(task.name.clone());
                    Some(At::Exited(Cause::Done))
                }
                At::Fetching(_) => {
                    *started += 1;
                    Some(if gang { At::Gathering(now + 30_000) } else { run(job, now) })
                }
                At::Gathering(until) => {
                    let ready = mates.iter().filter(|a| a.on_machine()).count();
                    if ready == job.tasks() as usize {
                        Some(run(job, now))
                    } else {
                        (now >= until).then_some(At::Exited(Cause::Alone))
                    }
                }
                At::Running(until) if now >= until => {
                    done.insert(task.name.clone());
                    Some(At::Exited(Cause::Done))
                }
                At::Running(_) if gang => {
                    let whole =
                        mates.iter().all(|a| a.on_machine() || **a == At::Exited(Cause::Done));
                    let there = mates.len() == job.tasks() as usize;
                    (!whole || !there).then_some(At::Exited(Cause::PeersGone))
                }
                _ => None,
            };
            if let Some(next) = next {
                task.at = next;
                self.changed = true;
                moved = true;
            }
        }
        moved
    }
}

fn run(job: &UserJob, now: u64) -> At {
    match job.text("shape") {
        "service" => At::Running(u64::MAX),
        _ => At::Running(now + (job.number("eta_s") * 1000.0) as u64),
    }
}
