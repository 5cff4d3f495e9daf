//! Answers to users, in the smallest world that can give them in a wrong order: three controllers, the state service
//! and users, no machine. Every call to the state service is carried out when it likes and answered when it likes;
//! jobs end and move to their last place in between. No answer is older than one that any controller gave before the
//! question was asked.

mod cases;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use swiftsail_controller::cloud;
use swiftsail_controller::job::{Ending, FinalRecord, JobRecord, StoredJob, keys};
use swiftsail_controller::node::{Action, Ask, Event, Node, Now, Reply};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{Call, Outcome};
use swiftsail_simulation::store::{Committed, Store, TooOld};
use swiftsail_simulation::world::{BEGIN, job, offered, settings};
use swiftsail_protocol::cloud::{Listing, Types};
use swiftsail_protocol::controllers::Beat;
use swiftsail_protocol::state::{Change, Commit, When};

const NODES: usize = 3;
/// Time that a user waits for an answer to a submission, a poll and a cancellation, ms (protocol).
const WAITS_MS: [u64; 3] = [5_000, 2_000, 5_000];

/// What a user was told of a job, least first: nothing of it is older than what comes before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum What {
    Submit,
    Poll,
    Cancel,
}

enum Ev {
    Tick(usize),
    Call(usize, u64, Call),
    To(usize, Box<Event>),
    Beat(usize, usize, Box<Beat>),
    Ask(usize, usize, What),
    /// The job's last task has ended, and the leader says so.
    End(usize),
    /// Its record moves to its last place.
    Move(usize),
    Restart(usize),
}

/// How calls fare.
#[derive(Debug, Clone, Copy)]
struct Ways {
    /// Most time until a call is carried out, and until its answer is there, ms.
    slow_ms: u64,
    /// Chance that only the answer is lost.
    lost: f64,
    /// Chance that there is no answer, and a transaction is carried out seconds later.
    late: f64,
    /// Chance that it is refused.
    refused: f64,
}

struct Small {
    now: u64,
    rng: StdRng,
    nodes: Vec<Node>,
    store: Store,
    ways: Ways,
    memory_mb: f64,
    /// The cloud tells the machine types from then on.
    types_from: u64,
    /// Transactions of which the answer alone is lost, whatever the ways.
    loses: fn(&Commit) -> bool,
    /// The record of this job moves as if by an earlier try, just before the transaction that would move it.
    moves_first: Option<usize>,
    /// Nobody follows up what was told, and nothing ends by itself.
    scripted: bool,
    /// A request whose status is waited for: of which node, its number, and the status.
    watched: Option<(usize, u64, u16)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Ev>,
    seq: u64,
    follows: Vec<(usize, u64, String, u64, u64)>,
    /// Questions that wait: by node and number, the job, what, and when asked.
    asked: BTreeMap<(usize, u64), (usize, What, u64)>,
    ids: Vec<String>,
    /// The job that each awaits: it is submitted as soon as that one is accepted.
    after: Vec<Option<usize>>,
    /// What was told of each job so far, and when first.
    told: Vec<BTreeMap<Told, u64>>,
    cancels: BTreeSet<usize>,
    broken: Vec<String>,
    met: BTreeMap<&'static str, u64>,
}

impl Small {
    fn new(seed: u64, ways: Ways, memory_mb: f64) -> Small {
        let limits = settings(0).settings.state.clone();
        let free = swiftsail_controller::settings::State { rps: 1e6, write_rps: 1e6, ..limits };
        let mut small = Small {
            now: BEGIN,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            store: Store::new(free, BEGIN),
            ways,
            memory_mb,
            types_from: 0,
            loses: |_| false,
            moves_first: None,
            scripted: false,
            watched: None,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            seq: 0,
            follows: Vec::new(),
            asked: BTreeMap::new(),
            ids: Vec::new(),
            after: Vec::new(),
            told: Vec::new(),
            cancels: BTreeSet::new(),
            broken: Vec::new(),
            met: BTreeMap::new(),
        };
        for n in 0..NODES {
            let node = small.born(n);
            small.nodes.push(node);
            small.at(BEGIN, Ev::Tick(n));
        }
        small
    }

    fn born(&mut self, n: usize) -> Node {
        let mut own = Settings::clone(&settings(n));
        own.settings.machine_limits.mem_mb = self.memory_mb;
        let now = Now { steady: self.now, wall: self.now };
        Node::new(Arc::new(own), self.rng.random(), now)
    }

    fn at(&mut self, time: u64, ev: Ev) {
        self.seq += 1;
        self.events.insert(self.seq, ev);
        self.queue.push(Reverse((time.max(self.now), self.seq)));
    }

    fn count(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    fn met(&self, what: &str) -> u64 {
        self.met.get(what).copied().unwrap_or(0)
    }

    fn known_job(&mut self, id: String, after: Option<usize>) {
        self.ids.push(id);
        self.after.push(after);
        self.told.push(BTreeMap::new());
    }

    fn submit(&mut self, at_ms: u64, id: String) {
        self.known_job(id, None);
        let node = self.rng.random_range(0..NODES);
        self.at(BEGIN + at_ms, Ev::Ask(self.ids.len() - 1, node, What::Submit));
    }

    fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((time, key))) = self.queue.peek().copied() {
            if time > BEGIN + until_ms {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(ev) = self.events.remove(&key) {
                self.step(ev);
            }
        }
        self.now = BEGIN + until_ms;
    }

    fn delay(&mut self) -> u64 {
        // Mostly some ms, sometimes as long as it may be.
        match self.rng.random_range(0..4) {
            0 => self.rng.random_range(1..=self.ways.slow_ms),
            _ => self.rng.random_range(1..12),
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = Now { steady: self.now, wall: self.now };
        self.nodes[n].handle(event, now);
        loop {
            let actions = self.nodes[n].take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(n, action);
            }
        }
    }

    fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::Reply(id, reply) => self.answered(n, id, &reply),
            Action::Store(id, call) => {
                let at = self.now + self.delay();
                self.at(at, Ev::Call(n, id, call));
            }
            Action::Cloud(call) => {
                let outcome = match &call {
                    cloud::Call::Types if self.now < self.types_from => cloud::Outcome::Failed,
                    cloud::Call::Types => {
                        let hulls = offered(6).into_iter().map(|o| o.hull).collect();
                        cloud::Outcome::Types(Types { hulls })
                    }
                    cloud::Call::List(_) => cloud::Outcome::Listed(Listing::default()),
                    cloud::Call::Rent(_) => cloud::Outcome::NoCapacity,
                    cloud::Call::Return(_) => cloud::Outcome::Returned,
                };
                let event = Event::Cloud(Box::new(call), outcome);
                self.at(self.now + 20, Ev::To(n, Box::new(event)));
            }
            Action::Beat(beat) => {
                for other in (0..NODES).filter(|o| *o != n) {
                    let at = self.now + self.delay();
                    self.at(at, Ev::Beat(n, other, Box::new(beat.clone())));
                }
            }
            _ => {}
        }
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(n) => {
                self.handle(n, Event::Tick);
                self.at(self.now + 100, Ev::Tick(n));
                let ended = self.store.expire(self.now, false);
                if ended || n == 0 {
                    self.wake_follows();
                }
            }
            Ev::To(n, event) => self.handle(n, *event),
            Ev::Beat(from, to, beat) => {
                let brief = beat.brief;
                self.handle(to, Event::Beat(*beat));
                let ours = self.nodes[to].beat(brief);
                let at = self.now + self.delay();
                self.at(at, Ev::To(from, Box::new(Event::Beat(ours))));
            }
            Ev::Call(n, id, call) => self.call(n, id, call),
            Ev::Ask(job, n, what) => self.ask(job, n, what),
            Ev::End(job) => self.end(job),
            Ev::Move(job) => self.move_on(job),
            Ev::Restart(n) => {
                self.asked.retain(|(node, _), _| *node != n);
                self.follows.retain(|f| f.0 != n);
                self.nodes[n] = self.born(n);
            }
        }
    }

    // ---- the state service ----

    fn call(&mut self, n: usize, id: u64, call: Call) {
        if let Call::Follow { prefix, from } = call {
            self.follows.push((n, id, prefix, from, self.now + 10_000));
            return self.wake_follows();
        }
        // The lead itself is not what is looked at: its calls fare well.
        let term = match &call {
            Call::Grant { .. } | Call::Extend(_) => true,
            Call::Commit(c) => c.when.iter().any(|w| w.key == keys::LEADER),
            _ => false,
        };
        if let Call::Commit(commit) = &call {
            if let Some(job) = self.moves_first
                && commit.apply.contains(&Change::Remove { remove: keys::job(&self.ids[job]) })
            {
                self.moves_first = None;
                self.count("moved first");
                self.move_on(job);
            }
            if (self.loses)(commit) {
                self.count("lost by choice");
                self.serve(&call);
                self.at(self.now + 1_500, Ev::To(n, Box::new(Event::Store(id, Outcome::Unknown))));
                return self.wake_follows();
            }
        }
        let fate = if term { 1.0 } else { self.rng.random_range(0.0..1.0) };
        let Ways { lost, late, refused, .. } = self.ways;
        let commit = matches!(call, Call::Commit(_));
        let silent = (self.now + 1_500, Outcome::Unknown);
        let (at, outcome) = if fate < lost {
            if commit {
                self.count("answer lost");
            }
            self.serve(&call);
            silent
        } else if fate < lost + late {
            if commit && id != 0 {
                self.count("carried out late");
                let at = self.now + self.rng.random_range(1_000..12_000);
                // To nobody.
                self.at(at, Ev::Call(NODES, 0, call));
            }
            silent
        } else if fate < lost + late + refused {
            (self.now + self.rng.random_range(1..12), Outcome::Refused)
        } else {
            let outcome = self.serve(&call);
            (self.now + self.delay().min(1_400), outcome)
        };
        if n < NODES {
            self.at(at, Ev::To(n, Box::new(Event::Store(id, outcome))));
        }
        self.wake_follows();
    }

    fn serve(&mut self, call: &Call) -> Outcome {
        let now = self.now;
        match call {
            Call::Get(key) => match self.store.get(key) {
                Some(pair) => Outcome::Found(pair.clone()),
                None => Outcome::Missing { epoch: self.store.epoch() },
            },
            Call::List { prefix, from } => {
                Outcome::Page(self.store.list(prefix, from.as_deref(), 7))
            }
            Call::Commit(commit) => match self.store.commit(commit) {
                Committed::At(epoch) => Outcome::Committed(epoch),
                Committed::Failed(keys) => Outcome::Conflict(keys),
                Committed::NoGrant => Outcome::NoGrant,
                Committed::Malformed(why) => Outcome::Malformed(why),
            },
            Call::Grant { ttl_ms } => match self.store.grant(*ttl_ms, now) {
                Some(id) => Outcome::Granted(id),
                None => Outcome::Malformed("no such time to live".into()),
            },
            Call::Extend(id) if self.store.extend(*id, now) => Outcome::Granted(*id),
            Call::Extend(_) => Outcome::NoGrant,
            Call::Release(id) => {
                self.store.end_grant(*id);
                Outcome::Granted(*id)
            }
            Call::News { prefix, from } => match self.store.news(prefix, *from) {
                Err(TooOld) => Outcome::TooOld,
                Ok(news) => Outcome::News(news.unwrap_or_else(|| self.store.no_news())),
            },
            Call::Follow { .. } => Outcome::Unknown,
        }
    }

    fn wake_follows(&mut self) {
        let (store, now) = (&self.store, self.now);
        let mut ready = VecDeque::new();
        self.follows.retain(|(n, id, prefix, from, until)| {
            let outcome = match store.news(prefix, *from) {
                Err(TooOld) => Outcome::TooOld,
                Ok(Some(news)) => Outcome::News(news),
                Ok(None) if now >= *until => Outcome::News(store.no_news()),
                Ok(None) => return true,
            };
            ready.push_back((*n, *id, outcome));
            false
        });
        for (n, id, outcome) in ready {
            let at = self.now + self.delay();
            self.at(at, Ev::To(n, Box::new(Event::Store(id, outcome))));
        }
    }

    // ---- the job's end, as a leader writes it ----

    /// Questions about a job that wait for their answer.
    fn open(&self, job: usize) -> bool {
        self.asked.values().any(|(j, ..)| *j == job)
    }

    fn end(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let Some(pair) = self.store.get(&key).cloned() else { return };
        let Some(StoredJob::Live(record)) = StoredJob::read(&pair.value) else { return };
        if record.cancelled {
            return;
        }
        if let Some(before) = self.after[job] {
            let places = [keys::job(&self.ids[before]), keys::end(&self.ids[before])];
            let found = places.iter().find_map(|key| self.store.get(key));
            let last =
                found.and_then(|p| serde_json::from_value::<FinalRecord>(p.value.clone()).ok());
            match last.map(|l| l.ending) {
                Some(Ending::Done) => {}
                Some(Ending::Cancelled) => return,
                // It waits.
                None => return self.at(self.now + 700, Ev::End(job)),
            }
        }
        if self.open(job) {
            self.count("ended while asked about");
        }
        let last = FinalRecord { ending: Ending::Done, done: 1, at_wall: None };
        let value = serde_json::to_value(last).expect("our own record");
        let apply = vec![Change::Write { write: key.clone(), value, mooring: None }];
        self.store.commit(&Commit { when: vec![When { key, stamp: pair.stamp }], apply });
        self.wake_follows();
        let at = self.now + self.rng.random_range(1..1_500);
        self.at(at, Ev::Move(job));
    }

    fn move_on(&mut self, job: usize) {
        let (key, last) = (keys::job(&self.ids[job]), keys::end(&self.ids[job]));
        let Some(pair) = self.store.get(&key).cloned() else { return };
        if self.open(job) {
            self.count("moved while asked about");
        }
        let apply = vec![
            Change::Remove { remove: key.clone() },
            Change::Write { write: last, value: pair.value, mooring: None },
        ];
        self.store.commit(&Commit { when: vec![When { key, stamp: pair.stamp }], apply });
        self.wake_follows();
    }

    // ---- users ----

    fn ask(&mut self, job: usize, n: usize, what: What) {
        let id = self.ids[job].clone();
        let ask = match what {
            What::Submit => {
                let mut body = job_body(&id);
                if let Some(before) = self.after[job] {
                    body["awaits"] = serde_json::json!([self.ids[before]]);
                }
                Ask::Submit(rmp_serde::to_vec_named(&body).expect("JSON packs"))
            }
            What::Poll if self.rng.random_bool(0.2) => Ask::Press(id),
            What::Poll => Ask::Poll(id),
            What::Cancel => Ask::Cancel(id),
        };
        if what == What::Cancel {
            self.cancels.insert(job);
        }
        self.seq += 1;
        let request = self.seq;
        self.asked.insert((n, request), (job, what, self.now));
        self.handle(n, Event::User(request, ask));
    }

    fn answered(&mut self, n: usize, request: u64, reply: &Reply) {
        if let Some(watched) = self.watched.as_mut().filter(|w| (w.0, w.1) == (n, request)) {
            watched.2 = reply.status;
        }
        let Some((job, what, sent)) = self.asked.remove(&(n, request)) else { return };
        let now = self.now;
        if now >= sent + WAITS_MS[what as usize] {
            self.count("answered too late");
            return;
        }
        let body: serde_json::Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let told = match (reply.status, body["status"].as_str().unwrap_or("")) {
            (200 | 201, "pending" | "running") => Told::Accepted,
            (200, "done") => Told::Done,
            (200, "withdrawn") => Told::Cancelled,
            // Accepted, and called off: what it awaits was cancelled before.
            (201, "withdrawn") if self.after[job].is_some() => Told::Cancelled,
            (404, _) => Told::Unknown,
            (503, _) => {
                self.count("turned away");
                let settled = self.told[job].keys().any(|t| *t > Told::Accepted);
                if what == What::Submit && self.told[job].is_empty()
                    || what == What::Cancel && !settled
                {
                    let node = self.rng.random_range(0..NODES);
                    self.at(now + 1_000, Ev::Ask(job, node, what));
                }
                return;
            }
            (status, said) => {
                self.broken.push(format!("{} got {status} `{said}`", self.ids[job]));
                return;
            }
        };
        let before = self.told[job].iter().filter(|(_, at)| **at < sent).map(|(t, _)| *t).max();
        let older = before.is_some_and(|before| told < before);
        let other = before.is_some_and(|before| before > Told::Accepted && told != before);
        if older || other {
            let id = &self.ids[job];
            self.broken.push(format!("{id}: {told:?} for {what:?} after {before:?}"));
        }
        let ahead = std::iter::successors(self.after[job], |before| self.after[*before]);
        let before = ahead.into_iter().any(|before| self.cancels.contains(&before));
        if told == Told::Cancelled && !self.cancels.contains(&job) {
            self.count("called off");
        }
        if told == Told::Cancelled && !self.cancels.contains(&job) && !before {
            self.broken.push(format!("{} was not cancelled", self.ids[job]));
        }
        self.count("answered");
        if told > Told::Unknown && !self.told[job].contains_key(&told) {
            self.told[job].insert(told, now);
            self.news(job, told);
        }
    }

    /// A user was told something new: it asks everywhere, at once.
    fn news(&mut self, job: usize, told: Told) {
        if self.scripted {
            return;
        }
        let next = self.after.iter().position(|a| *a == Some(job));
        if let Some(next) = next.filter(|n| told == Told::Accepted && self.told[*n].is_empty()) {
            let (at, node) =
                (self.now + self.rng.random_range(1..900), self.rng.random_range(0..NODES));
            self.at(at, Ev::Ask(next, node, What::Submit));
        }
        for n in 0..NODES {
            for what in [What::Poll, What::Submit, What::Poll] {
                for _ in 0..2 {
                    // Half within milliseconds, half while the job ends and moves.
                    let most = if self.rng.random_bool(0.5) { 8 } else { 2_500 };
                    let at = self.now + self.rng.random_range(0..most);
                    self.at(at, Ev::Ask(job, n, what));
                }
            }
        }
        if told > Told::Accepted {
            let node = self.rng.random_range(0..NODES);
            return self.at(self.now + 1, Ev::Ask(job, node, What::Cancel));
        }
        let end = self.now + self.rng.random_range(1..2_500);
        self.at(end, Ev::End(job));
        // A half is called off: at once, or as it ends.
        let at = match self.rng.random_range(0..4) {
            0 => self.now,
            1 => end - self.rng.random_range(0..20),
            _ => return,
        };
        self.at(at, Ev::Ask(job, job % NODES, What::Cancel));
    }
}

fn job_body(id: &str) -> serde_json::Value {
    job(id, "array", "blue", 1, 1.0, 5.0)
}
