//! Old reports: copies that come as a new leader begins, after newer ones, from an earlier session or attempt, by way
//! of a controller that passes them on. A walk at random over the tables of one leader after another, over workers
//! that keep to the protocol, and over everything that was ever sent: what a table lets go is gone.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_controller::job::{Chunk, JobId, JobRecord, Kind, MachineId, Stage, keys};
use swiftsail_controller::machine::Standing;
use swiftsail_controller::tables::{Source, Tables};
use swiftsail_failure_detector::Probe;
use swiftsail_simulation::world::spec;
use swiftsail_protocol::state::{Page, Pair};
use swiftsail_protocol::workers::{Cause, Command, Direct, Orders, Phase, Report, Shard, Verb};

const JOB: &str = "wk-1";
const TASKS: u32 = 4;

/// A worker that keeps to the protocol.
struct Worker {
    name: String,
    session: u64,
    tick: u64,
    token: u64,
    /// Number of the report that waits for its answer.
    flight: Option<usize>,
    tasks: BTreeMap<(String, u64), (Phase, Option<Cause>)>,
}

impl Worker {
    fn report(&mut self) -> Report {
        self.tick += 1;
        let shard = |((shard, launch), (status, cause)): (&(String, u64), &(Phase, _))| Shard {
            shard: shard.clone(),
            launch: *launch,
            status: *status,
            cause: *cause,
            stored: None,
        };
        Report {
            berth: self.name.clone(),
            addr: format!("{}:9000", self.name),
            hull: "s4".into(),
            dock: "a".into(),
            watch: self.session,
            tick: self.tick,
            helm: self.token,
            driftwood: false,
            recall_s: None,
            shards: self.tasks.iter().map(shard).collect(),
        }
    }

    fn execute(&mut self, orders: &[Command]) {
        for order in orders {
            let key = (order.shard.clone(), order.launch);
            match order.verb {
                Verb::Start if self.tasks.contains_key(&key) => {}
                Verb::Start => {
                    let twice = self.has(&order.shard);
                    let cause = twice.then_some(Cause::InUse);
                    let phase = if twice { Phase::Exited } else { Phase::Fetching };
                    self.tasks.insert(key, (phase, cause));
                }
                Verb::Stop => {
                    if let Some(task) = self.tasks.get_mut(&key).filter(|t| t.0 != Phase::Exited) {
                        *task = (Phase::Exited, Some(Cause::Stopped));
                    }
                }
                Verb::Forget => {
                    if self.tasks.get(&key).is_some_and(|t| t.0 == Phase::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Whether a task is there in any attempt.
    fn has(&self, shard: &str) -> bool {
        self.tasks.iter().any(|((s, _), (phase, _))| s == shard && *phase != Phase::Exited)
    }
}

/// How often each meeting came about.
#[derive(Debug, Default, Clone, Copy)]
struct Met {
    /// A new leader's first report of a machine is a copy that lacks what it holds there.
    absent_first: u32,
    /// A copy is the first that shows this leader's token, and lacks what the leader holds there.
    absent_with_token: u32,
    /// A copy was older than what the leader knew.
    after_newer: u32,
    /// ... and of an earlier session.
    earlier_session: u32,
    /// A copy was the newest that the leader knew.
    as_news: u32,
    /// A copy came by way of another controller as "the same".
    passed_on: u32,
    /// An answer to a direct question came after something newer.
    answers_overtaken: u32,
    leaders: u32,
    started: u32,
    let_go: u32,
}

struct Walk {
    rng: StdRng,
    now: u64,
    token: u64,
    tables: Tables,
    workers: Vec<Worker>,
    /// What the state service holds.
    chunk: Chunk,
    /// Every report ever sent, of which worker; whether its worker still waits for an answer is the worker's to say.
    sent: Vec<(usize, Report)>,
    /// Answers on their way: to which report.
    answers: Vec<(usize, Orders)>,
    /// Commands sent straight to workers, ever.
    direct: Vec<(usize, Direct)>,
    /// Answers to them, ever.
    told: Vec<Report>,
    /// Answers to direct questions of this leader on their way.
    inspected: Vec<(MachineId, Report)>,
    /// What another controller remembers of each machine: shown, session, token of who answered.
    deputy: BTreeMap<String, (u64, u64, u64)>,
    met: Met,
}

fn record() -> serde_json::Value {
    let record = JobRecord {
        awaits: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_000,
        chunk_tasks: TASKS,
        nonce: 0,
        tier: None,
        spec: spec(Kind::Array, TASKS, 1.0, "i"),
    };
    serde_json::to_value(record).expect("our own record")
}

fn shown(report: &Report) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    report.shards.hash(&mut hasher);
    hasher.finish() >> 1
}

impl Walk {
    fn new(seed: u64) -> Walk {
        let worker = |n: usize| Worker {
            name: format!("m-{n}"),
            session: 1,
            tick: 0,
            token: 0,
            flight: None,
            tasks: BTreeMap::new(),
        };
        let mut walk = Walk {
            rng: StdRng::seed_from_u64(seed),
            now: 10_000,
            token: 0,
            tables: Tables::new(1, 1, 0),
            workers: (0..3).map(worker).collect(),
            chunk: Chunk::default(),
            sent: Vec::new(),
            answers: Vec::new(),
            direct: Vec::new(),
            told: Vec::new(),
            inspected: Vec::new(),
            deputy: BTreeMap::new(),
            met: Met::default(),
        };
        walk.lead();
        walk
    }

    /// A new leader reads what the state service holds.
    fn lead(&mut self) {
        self.token += self.rng.random_range(1..4);
        self.met.leaders += 1;
        let mut tables = Tables::new(self.token, self.token, self.now);
        let key = keys::job(JOB);
        let pair = Pair { key, value: record(), stamp: 1, mooring: None };
        let page = Page { pairs: vec![pair], has_next: false, epoch: 1 };
        tables.load_jobs(&page, self.now, 2_000);
        let job = tables.jobs.get_mut(JOB).expect("just loaded");
        job.restore(0, &self.chunk, 1, self.now);
        tables.index(self.now, self.now);
        self.tables = tables;
        // What an earlier leader has asked is its own: `Node` keeps the answers apart.
        self.inspected.clear();
    }

    /// What the tables hold is committed.
    fn commit(&mut self) {
        let last = self.tables.last_launch();
        let job = self.tables.jobs.get_mut(JOB).expect("the job stays");
        self.chunk = job.chunk(0, (1, last), usize::MAX, true, |_| false);
        for attempt in job.attempts.values_mut() {
            if attempt.stage() == Stage::Committing {
                attempt.advance(Stage::Bound, self.now);
            }
        }
    }

    fn bind(&mut self) {
        let id = JobId::from(JOB);
        let ready = self.tables.machines.values();
        let ready = ready.filter(|m| m.standing() == Standing::Ready && m.trusted());
        let ready: Vec<MachineId> = ready.map(|m| m.id.clone()).collect();
        let Some(machine) = ready.choose(&mut self.rng) else { return };
        if self.tables.jobs[JOB].waiting.is_empty() {
            return;
        }
        let launch = self.tables.next_launch();
        self.tables.bind(&id, machine, launch, 8_192, self.now);
    }

    /// Whether the leader would learn of this machine by this report for the first time, and misses there what it
    /// holds bound.
    fn weigh_copy(&mut self, report: &Report) {
        let Some(machine) = self.tables.machines.get(report.berth.as_str()) else { return };
        let at = (report.watch, report.tick);
        if at <= machine.latest {
            self.met.after_newer += 1;
            self.met.earlier_session += u32::from(report.watch < machine.latest.0);
            return;
        }
        self.met.as_news += 1;
        let lacks = machine.tasks.iter().any(|((job, task), launch)| {
            let name = format!("{job}/{task}");
            !report.shards.iter().any(|s| s.shard == name && s.launch == *launch)
        });
        self.met.absent_first += u32::from(machine.latest == (0, 0) && lacks);
        let first = machine.helm < self.token && report.helm == self.token;
        self.met.absent_with_token += u32::from(first && lacks);
    }

    /// A report arrives at the leader, straight or by way of another controller. The orders, if it is answered.
    fn arrive(&mut self, report: &Report, copy: bool) -> Option<Orders> {
        if report.helm > self.token {
            // A leader that sees a newer token steps down.
            return None;
        }
        if copy {
            self.weigh_copy(report);
        }
        let passed = self.rng.random_bool(0.3);
        if !passed {
            let orders = self.tables.on_report(report, Source::Report, self.now, &[]);
            if let Some(machine) = self.tables.just_heard(report, self.now) {
                (machine.via, machine.shown) = (None, None);
            }
            return Some(orders);
        }
        let number = shown(report);
        let known = self.deputy.get(&report.berth) == Some(&(number, report.watch, report.helm));
        let at = (report.watch, report.tick);
        if known && self.tables.on_same(&report.berth, at, number, self.now) {
            self.met.passed_on += u32::from(copy);
            return Some(Orders { helm: self.token, orders: Vec::new() });
        }
        let orders = self.tables.on_report(report, Source::Report, self.now, &[]);
        if let Some(machine) = self.tables.just_heard(report, self.now) {
            (machine.shown, machine.via) = (Some(number), Some("n1".into()));
        }
        self.deputy.insert(report.berth.clone(), (number, report.watch, self.token));
        Some(orders)
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..400);
        let n = self.rng.random_range(0..self.workers.len());
        match self.rng.random_range(0..100) {
            // A worker reports, and its report arrives or is only on its way.
            0..30 => {
                if self.workers[n].flight.is_none() {
                    let report = self.workers[n].report();
                    self.workers[n].flight = Some(self.sent.len());
                    self.sent.push((n, report.clone()));
                    if self.rng.random_bool(0.7)
                        && let Some(orders) = self.arrive(&report, false)
                    {
                        self.answers.push((self.sent.len() - 1, orders));
                    }
                }
            }
            // One that was held back arrives, or any that was ever sent arrives again: the later ones more often.
            30..45 => {
                let last = self.sent.len();
                let from = if self.rng.random_bool(0.7) { last.saturating_sub(12) } else { 0 };
                if from < last {
                    let at = self.rng.random_range(from..last);
                    let (of, report) = self.sent[at].clone();
                    let waits = self.workers[of].flight == Some(at);
                    if let Some(orders) = self.arrive(&report, true).filter(|_| waits) {
                        self.answers.push((at, orders));
                    }
                }
            }
            // An answer comes, or comes too late.
            45..65 => {
                if !self.answers.is_empty() {
                    let at = self.rng.random_range(0..self.answers.len());
                    let (to, orders) = self.answers.swap_remove(at);
                    let (of, report) = (self.sent[to].0, self.sent[to].1.watch);
                    let worker = &mut self.workers[of];
                    if worker.flight == Some(to) {
                        worker.flight = None;
                        if worker.session == report && orders.helm >= worker.token {
                            worker.token = orders.helm;
                            let starts = orders.orders.iter().filter(|o| o.verb == Verb::Start);
                            self.met.started += starts.count() as u32;
                            worker.execute(&orders.orders);
                        }
                    }
                }
            }
            65..70 => self.workers[n].flight = None,
            // Tasks go on.
            70..78 => {
                let end = [Cause::Error, Cause::Stopped];
                let end = end.choose(&mut self.rng).copied();
                for task in self.workers[n].tasks.values_mut() {
                    *task = match task.0 {
                        Phase::Fetching => (Phase::Running, None),
                        Phase::Running if self.rng.random_bool(0.3) => (Phase::Exited, end),
                        _ => *task,
                    };
                }
            }
            78..80 => {
                let worker = &mut self.workers[n];
                (worker.session, worker.flight) = (worker.session + 1, None);
                worker.tasks.clear();
            }
            80..86 => self.bind(),
            86..91 => self.commit(),
            // Commands straight to workers: told now, or any that was ever sent, again.
            91..93 => {
                let sent = self.tables.stops(self.now);
                let of = |addr: &str| self.workers.iter().position(|w| addr.starts_with(&w.name));
                let sent: Vec<_> =
                    sent.into_iter().filter_map(|(to, d)| Some((of(&to)?, d))).collect();
                self.direct.extend(sent);
            }
            93..96 => {
                if let Some((to, direct)) = self.direct.choose(&mut self.rng).cloned() {
                    let worker = &mut self.workers[to];
                    if direct.helm >= worker.token && direct.watch == worker.session {
                        worker.token = direct.helm;
                        worker.execute(&direct.orders);
                    }
                    let report = worker.report();
                    self.told.push(report);
                }
                if let Some(report) = self.told.choose(&mut self.rng).cloned()
                    && report.helm <= self.token
                {
                    self.tables.on_report(&report, Source::Answer, self.now, &[]);
                }
            }
            96 => {
                let id = MachineId::from(self.workers[n].name.as_str());
                if self.tables.machines.contains_key(&id) {
                    self.tables.question(&id);
                    let report = self.workers[n].report();
                    self.inspected.push((id, report));
                }
                if !self.inspected.is_empty() && self.rng.random_bool(0.6) {
                    let at = self.rng.random_range(0..self.inspected.len());
                    let (id, report) = self.inspected.swap_remove(at);
                    let known = self.tables.machines.get(&id).map_or((0, 0), |m| m.latest);
                    let overtaken = (report.watch, report.tick) < known;
                    self.met.answers_overtaken += u32::from(overtaken);
                    self.tables.on_probed(&id, Probe::Answered, Some(&report), self.now);
                    if report.helm <= self.token {
                        self.tables.on_report(&report, Source::Answer, self.now, &[]);
                    }
                }
            }
            97 => {
                let tasks: Vec<u32> = self.tables.jobs[JOB].attempts.keys().copied().collect();
                if let Some(task) = tasks.choose(&mut self.rng) {
                    self.tables.want_stop(&JobId::from(JOB), *task, self.now);
                }
            }
            _ => self.lead(),
        }
        let job = self.tables.jobs.get_mut(JOB).expect("the job stays");
        // So that there is always something to bind.
        let exited: Vec<u32> = job.held.keys().copied().collect();
        for task in exited {
            job.held.remove(&task);
            job.waiting.insert(task);
        }
    }

    /// What is wrong, if anything is.
    fn broken(&mut self) -> Option<String> {
        if let Some(machine) = self.tables.machines.values().find(|m| m.renewed) {
            return Some(format!("{} is taken for one that has begun anew", machine.id));
        }
        for task in 0..TASKS {
            let name = format!("{JOB}/{task}");
            let on = self.workers.iter().filter(|w| w.has(&name)).count();
            if on > 1 {
                return Some(format!("ran_twice: {name}"));
            }
            if !self.tables.jobs[JOB].waiting.contains(&task) {
                continue;
            }
            self.met.let_go += 1;
            if on > 0 {
                return Some(format!("{name} waits, and is on a machine"));
            }
            // Nor may an answer on its way start it yet.
            let starts = self.answers.iter().any(|(to, orders)| {
                let worker = &self.workers[self.sent[*to].0];
                worker.flight == Some(*to)
                    && worker.session == self.sent[*to].1.watch
                    && orders.helm >= worker.token
                    && orders.orders.iter().any(|o| o.verb == Verb::Start && o.shard == name)
            });
            if starts {
                return Some(format!("{name} waits, and its start is on its way"));
            }
        }
        None
    }
}

/// Seeds of walks: a few, or those that `WALKS=from..to` names.
fn walks() -> std::ops::Range<u64> {
    let range = std::env::var("WALKS").ok();
    let ends = range.as_deref().and_then(|r| r.split_once(".."));
    let ends = ends.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    ends.unwrap_or(0..300)
}

/// Whatever comes again, in whatever order, to whichever leader: a task that the tables let go is on no machine and
/// can no longer start there.
#[test]
fn no_old_report_proves_what_is_not_so() {
    let mut met = Met::default();
    for seed in walks() {
        let mut walk = Walk::new(seed);
        for step in 0..1_500 {
            walk.step();
            if let Some(what) = walk.broken() {
                panic!("seed {seed}, step {step}: {what}");
            }
        }
        met.absent_first += walk.met.absent_first;
        met.absent_with_token += walk.met.absent_with_token;
        met.after_newer += walk.met.after_newer;
        met.earlier_session += walk.met.earlier_session;
        met.as_news += walk.met.as_news;
        met.passed_on += walk.met.passed_on;
        met.answers_overtaken += walk.met.answers_overtaken;
        met.leaders += walk.met.leaders;
        met.started += walk.met.started;
        met.let_go += walk.met.let_go;
    }
    println!("{met:?}");
    assert!(met.absent_first > 500 && met.absent_with_token > 50, "{met:?}");
    assert!(met.after_newer > 1_000 && met.earlier_session > 200, "{met:?}");
    assert!(met.as_news > 1_000 && met.passed_on > 50, "{met:?}");
    assert!(met.answers_overtaken > 50, "{met:?}");
    assert!(met.leaders > 1_000 && met.started > 1_000 && met.let_go > 10_000, "{met:?}");
}
