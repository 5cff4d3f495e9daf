//! A world in simulated time: the stand-ins around the pure cores of three controllers, and users;
//! with crashes, delays, duplicates and lost answers. The protocol's rules are checked after every
//! step. Every choice comes from one seed.

mod actions;
mod beside_room;
mod inversions;
mod looks;
mod pipelines;
mod processor;
mod record;
mod rules;
mod scene;
mod served;
mod services;
mod spells;
mod steps;
mod troubles;
mod users;

use processor::Processor;
pub use record::Recorder;
use scene::{NODES, free_limits};
pub use scene::{accelerated, gpu_job, job, mixed_load, offered, settings, spec};
pub use spells::{Fate, Judge, Spell, Trouble};
pub use troubles::Deafness;
pub use users::{UserJob, assert_over};

use crate::cloud::Offered;
use crate::plant::Plant;
use crate::store::Store;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use swiftsail_controller::cloud;
use swiftsail_controller::job::JobId;
use swiftsail_controller::node::{AdminAsk, Event, Node, Now, Reply};
use swiftsail_controller::store::Call;
use swiftsail_overload_control::turned::Turned;
use swiftsail_policy::operator::Operator;
use swiftsail_policy::outbox::Delivery;
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::{Batch, Beat};
use swiftsail_protocol::workers::{Direct, Report};

/// Where the steady clock of the stand-in begins.
pub const BEGIN: u64 = 1_000_000_000;
/// Most time between two checks of the rules, ms.
const CHECK_MS: u64 = 1_000;
/// Time between two looks at a machine, ms.
const STEP_MS: u64 = 200;

#[derive(Debug)]
enum Ev {
    Tick(usize, u64),
    ToNode(usize, u64, Box<Event>),
    StoreCall(usize, u64, u64, Call),
    CloudCall(usize, u64, Box<cloud::Call>),
    Direct(usize, u64, String, Box<Direct>),
    Beat(usize, u64, usize, Beat),
    WorkerStep(String),
    Relay(usize, u64, u64, usize, Box<Batch>),
    Report(usize, Box<Report>, u64),
    Orders(String, u64, u64, Option<Box<Reply>>),
    User(usize, u8),
    UserReply(usize, u8, u64, Option<Reply>),
    Restart(usize),
    Crash(usize),
    Admin(usize, u64, Box<AdminAsk>),
    /// A node's processor is free again.
    Free(usize, u64),
    /// A node stands still until that time.
    Freeze(usize, u64),
    /// It goes on.
    Thaw(usize, u64),
    /// A copy of a report comes, to whoever is there.
    Copy(usize, Box<Report>),
    /// A worker begins anew.
    Reboot(String),
    /// A user asks a controller beside its usual questions.
    Look(usize, usize, u8),
    /// Its answer: to what, and when it was asked.
    LookReply(usize, u8, u64, Reply),
    /// Users send something odd.
    Odd,
    /// What came of a submission that can never run, or that lacks a field.
    OddReply(String, Reply),
    /// Users call off so many jobs that run; some of their machines hang for so long.
    CancelNow(usize, Option<u64>),
}

enum Asker {
    Relay(usize, u64, u64),
    Worker(String, u64, u64),
    User(usize, u8, u64, usize),
    Look(usize, u8, u64),
    Odd(String),
    Admin(u64),
}

/// How rough the weather is.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    /// Chance that a message or its answer is lost.
    pub loss: f64,
    /// Chance that a message is delivered many seconds late.
    pub late: f64,
    /// Crashes of a controller, in all.
    pub crashes: u32,
    /// Times the state service is away, and hangs of machines, in all.
    pub outages: u32,
}

/// A part of the network that is gone for a controller, for a time.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    /// The controller.
    pub node: usize,
    /// From the beginning, ms.
    pub from_ms: u64,
    /// For so long, ms.
    pub for_ms: u64,
    /// It is without the workers.
    pub workers: bool,
    /// It is without the other controllers.
    pub peers: bool,
    /// It is without the state service, which refuses it.
    pub store: bool,
    /// What is sent in the meantime arrives, in order, when it is over: nobody waits for it any more.
    pub hold: bool,
}

impl Cut {
    /// A cut that cuts nothing yet.
    pub fn of(node: usize, from_ms: u64, for_ms: u64) -> Cut {
        let (workers, peers, store, hold) = (false, false, false, false);
        Cut { node, from_ms, for_ms, workers, peers, store, hold }
    }
}

/// The world.
pub struct World {
    pub now: u64,
    rng: StdRng,
    pub nodes: Vec<Option<Node>>,
    lives: [u64; NODES],
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: HashMap<usize, Ev>,
    seq: u64,
    pub store: Store,
    /// Watches: node, life, call, prefix, revision, end.
    follows: Vec<(usize, u64, u64, String, u64, u64)>,
    /// Cloud, machines and their work.
    pub plant: Plant,
    pub jobs: Vec<UserJob>,
    askers: HashMap<(usize, u64, u64), Asker>,
    next_request: u64,
    weather: Weather,
    away: Vec<(u64, u64)>,
    slow: Vec<(u64, u64)>,
    calm_from: u64,
    version: u64,
    /// What report hooks were sent.
    pub delivered: Vec<Delivery>,
    /// Share of a core that every node has, if its work is to take time.
    pub cores: Option<f64>,
    processors: [Processor; NODES],
    /// Parts of the network that are gone, some time.
    pub cuts: Vec<Cut>,
    /// Until when a node stands still, and what has come for it meanwhile.
    frozen: [(u64, Vec<Event>); NODES],
    /// Time after which an ended controller is started again, ms; none: some seconds.
    pub restart_ms: Option<u64>,
    /// Time between two polls of a user, ms.
    pub poll_ms: u64,
    /// Reports answered with a token that the state service no longer holds.
    pub stale_answers: u32,
    /// Requests that the gate has refused.
    pub refused: u64,
    /// Memory that every node that starts is told it has, MB: with less, workers are shared sooner.
    pub memory_mb: f64,
    /// The limit of team red in each controller's settings, from its next start on.
    pub red_most: [f64; NODES],
    /// The operators' file of every node that starts.
    pub operator: Operator,
    /// Answers to operators, with the numbers of their requests.
    pub answers: BTreeMap<u64, Reply>,
    /// Machines that do not hear, some time.
    pub deafness: Vec<Deafness>,
    /// What was said to each such machine so far.
    unheard: BTreeMap<String, u64>,
    /// Chance that a report comes again, and how much later at most, ms.
    pub copies: Option<(f64, u64)>,
    /// Copies that have come.
    pub copied: u64,
    /// Users are sent to controllers that call themselves healthy, as a load balancer does.
    pub balanced: bool,
    /// When the last trouble is over, ms from the beginning: from then on every job's questions are watched.
    pub troubles_over_ms: Option<u64>,
    turned: [Turned; NODES],
    /// After each pass of a leader it is checked whether waiting core work was passed over.
    pub watches_order: bool,
    /// Where it was.
    pub inversions: Vec<String>,
    waited: BTreeSet<JobId>,
    looked_at: Option<(usize, u64, u64)>,
    checked_at: u64,
    /// Rules broken, in words.
    pub broken: Vec<String>,
    /// Troubles that last for a time: changed by [`World::spell`].
    spells: Vec<Spell>,
    /// Says what becomes of a transaction: time from the beginning in ms, the controller, and it.
    pub judge: Option<Judge>,
    /// How often each trouble has really come about.
    pub met: BTreeMap<&'static str, u64>,
    /// Reports kept for the next leader, and who led last, in which life.
    for_next: Vec<Report>,
    led: Option<(usize, u64)>,
    /// The state service answers 429 beyond its rates: see [`World::limit_store`].
    pub store_limited: bool,
    /// Requests and changes a second that every controller which starts is told; none: the settings' own.
    rates: Option<(f64, f64)>,
    /// Users' requests answered with 503: what was asked, why, and whether another controller reached the state
    /// service then.
    pub put_off: BTreeMap<(u8, String, bool), u64>,
    /// Starts of tasks after their user was told that the job is cancelled.
    pub started_cancelled: Vec<String>,
    /// The latest launch of each task that was seen on a machine.
    seen_on: HashMap<String, u64>,
    /// Once the troubles are over no job may wait for long beside room: see `beside_room`.
    pub watches_waiting: bool,
    odd: u64,
    /// Until when each controller's heartbeats are those of a version that knows no pipelines, ms from the beginning.
    pub earlier_until_ms: [u64; NODES],
    /// Is given all that controllers send; none: nothing is recorded.
    pub recorder: Option<Recorder>,
}

impl World {
    pub fn new(seed: u64, weather: Weather, calm_after_ms: u64) -> World {
        World::sized(seed, weather, calm_after_ms, 6)
    }

    /// A world whose cloud has so many machines of each type, zone and kind.
    pub fn sized(seed: u64, weather: Weather, calm_after_ms: u64, capacity: u32) -> World {
        World::offering(seed, weather, calm_after_ms, offered(capacity))
    }

    /// A world whose cloud offers these machines.
    pub fn offering(
        seed: u64,
        weather: Weather,
        calm_after_ms: u64,
        offered: Vec<Offered>,
    ) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World {
            now: BEGIN,
            nodes: Vec::new(),
            lives: [0; NODES],
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            seq: 0,
            store: Store::new(free_limits(), BEGIN),
            follows: Vec::new(),
            plant: Plant::new(offered, settings(0).settings.clone(), NODES, 1.0, seed, BEGIN),
            jobs: Vec::new(),
            askers: HashMap::new(),
            next_request: 1,
            weather,
            away: Vec::new(),
            slow: Vec::new(),
            calm_from: BEGIN + calm_after_ms,
            version: 0,
            delivered: Vec::new(),
            cores: None,
            processors: Default::default(),
            cuts: Vec::new(),
            frozen: Default::default(),
            restart_ms: None,
            poll_ms: 5_000,
            stale_answers: 0,
            refused: 0,
            memory_mb: 40.0,
            red_most: [40.0; NODES],
            operator: Operator::default(),
            answers: BTreeMap::new(),
            deafness: Vec::new(),
            unheard: BTreeMap::new(),
            copies: None,
            copied: 0,
            balanced: false,
            troubles_over_ms: None,
            turned: Default::default(),
            watches_order: false,
            inversions: Vec::new(),
            waited: BTreeSet::new(),
            looked_at: None,
            checked_at: 0,
            broken: Vec::new(),
            spells: Vec::new(),
            judge: None,
            met: BTreeMap::new(),
            for_next: Vec::new(),
            led: None,
            store_limited: false,
            rates: None,
            put_off: BTreeMap::new(),
            started_cancelled: Vec::new(),
            seen_on: HashMap::new(),
            watches_waiting: false,
            odd: 0,
            earlier_until_ms: [0; NODES],
            recorder: None,
            rng: StdRng::seed_from_u64(seed ^ 0xabcd),
        };
        for n in 0..NODES {
            world.nodes.push(None);
            world.at(BEGIN + n as u64, Ev::Restart(n));
        }
        for _ in 0..weather.crashes {
            let at = BEGIN + rng.random_range(3_000..calm_after_ms);
            world.at(at, Ev::Crash(rng.random_range(0..NODES)));
        }
        for _ in 0..weather.outages {
            let at = BEGIN + rng.random_range(3_000..calm_after_ms);
            world.away.push((at, at + rng.random_range(2_000..15_000)));
        }
        world
    }

    fn at(&mut self, time: u64, ev: Ev) {
        self.seq += 1;
        self.events.insert(self.seq as usize, ev);
        self.queue.push(Reverse((time.max(self.now), self.seq, self.seq as usize)));
    }

    fn calm(&self) -> bool {
        self.now >= self.calm_from
    }

    fn lost(&mut self) -> bool {
        !self.calm() && self.rng.random_bool(self.weather.loss)
    }

    fn delay(&mut self) -> u64 {
        if !self.calm() && self.rng.random_bool(self.weather.late) {
            return self.rng.random_range(2_000..20_000);
        }
        match self.spelled(|t| if let Trouble::SlowLinks(ms) = t { Some(*ms) } else { None }) {
            Some(ms) => self.rng.random_range(ms / 2..=ms),
            None => self.rng.random_range(1..15),
        }
    }

    fn store_away(&self) -> bool {
        self.away.iter().any(|(from, to)| (*from..*to).contains(&self.now))
    }

    /// A user submits a job at a time, and cancels it later if told to.
    pub fn submit(&mut self, at_ms: u64, cancel_ms: Option<u64>, body: Value) {
        let at = BEGIN + at_ms;
        let id = body["name_id"].as_str().expect("a job has an id").to_string();
        let cancel_at = cancel_ms.map(|c| BEGIN + c);
        let packed = rmp_serde::to_vec_named(&body).expect("JSON packs");
        let read = wire::users::read_submission(&packed).expect("the stand-in's jobs are sound");
        if let Ok(spec) = read.spec {
            self.plant.describe(&id, spec, true);
        }
        self.jobs.push(UserJob {
            id,
            body,
            at,
            cancel_at,
            accepted: false,
            last: None,
            told_cancelled: None,
            open: [None; 3],
            final_at: 0,
            answered_at: at,
            accepted_at: None,
            ended: false,
            beside_room: None,
        });
        self.at(at, Ev::User(self.jobs.len() - 1, 0));
    }

    /// The state service takes so many requests and changes a second, and controllers that start are told so.
    pub fn limit_store(&mut self, rps: f64, write_rps: f64) {
        self.store_limited = true;
        self.rates = Some((rps, write_rps));
        self.store.limit_rates(rps, write_rps, self.now);
    }

    /// The state service is away for all from a time on, for so long.
    pub fn outage(&mut self, at_ms: u64, for_ms: u64) {
        self.away.push((BEGIN + at_ms, BEGIN + at_ms + for_ms));
    }

    /// The state service answers slowly from a time on, for so long.
    pub fn slow(&mut self, at_ms: u64, for_ms: u64) {
        self.slow.push((BEGIN + at_ms, BEGIN + at_ms + for_ms));
    }

    /// A controller crashes at a time.
    pub fn crash(&mut self, at_ms: u64, node: usize) {
        self.at(BEGIN + at_ms, Ev::Crash(node));
    }

    /// A controller stands still from a time on, for so long, while clocks run on: what comes for it waits.
    pub fn freeze(&mut self, at_ms: u64, node: usize, for_ms: u64) {
        self.at(BEGIN + at_ms, Ev::Freeze(node, BEGIN + at_ms + for_ms));
    }

    /// So many `of` so many machines that are up die now, with all that is on them. Returns how many.
    pub fn die(&mut self, part: usize, of: usize) -> usize {
        let now = self.now;
        let up = self.plant.workers.iter().filter(|(_, w)| !w.gone && w.up_at <= now);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        let names: Vec<String> =
            names.into_iter().enumerate().filter(|(n, _)| n % of < part).map(|(_, n)| n).collect();
        self.plant.gone(&names, true, now);
        names.len()
    }

    /// An operator asks a controller something at a time. Returns the number of the answer.
    pub fn ask(&mut self, at_ms: u64, node: usize, ask: AdminAsk) -> u64 {
        self.next_request += 1;
        let id = self.next_request;
        self.at(BEGIN + at_ms, Ev::Admin(node, id, Box::new(ask)));
        id
    }

    /// Lets time pass.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            if *time > BEGIN + until_ms {
                break;
            }
            let Some(Reverse((time, _, key))) = self.queue.pop() else { break };
            self.now = time;
            if let Some(ev) = self.events.remove(&key) {
                // Only these change what is on a machine, or what its user was told.
                let matters = matches!(
                    ev,
                    Ev::WorkerStep(_) | Ev::Orders(..) | Ev::Direct(..) | Ev::UserReply(..)
                );
                let before = (self.version, self.plant.version);
                self.step(ev);
                if matters && before.1 != self.plant.version {
                    self.cancel_at_end();
                }
                // What stays where it is may be too late there.
                let due = self.now >= self.checked_at + CHECK_MS;
                if due || matters && before != (self.version, self.plant.version) {
                    self.checked_at = self.now;
                    self.check();
                }
            }
        }
        self.now = BEGIN + until_ms;
    }

    fn handle(&mut self, n: usize, life: u64, event: Event) {
        match self.cores {
            _ if self.lives[n] != life => {}
            _ if self.stands_still(n) => self.frozen[n].1.push(event),
            None => self.work(n, life, event),
            Some(_) => self.queue_up(n, life, event),
        }
    }

    /// Whether a controller is without a part of the network now.
    fn cut(&self, n: usize, part: impl Fn(&Cut) -> bool) -> bool {
        let now = self.now - BEGIN;
        let its = |c: &&Cut| c.node == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now);
        self.cuts.iter().filter(its).any(part)
    }

    /// When what is held back for that part of a controller's network arrives, if it is held back now.
    fn held_until(&self, n: usize, part: impl Fn(&Cut) -> bool) -> Option<u64> {
        let now = self.now - BEGIN;
        let its = |c: &&Cut| c.node == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now);
        let held = self.cuts.iter().filter(its).filter(|c| c.hold && part(c));
        held.map(|c| BEGIN + c.from_ms + c.for_ms).max()
    }

    /// Whether two controllers do not reach each other now.
    fn apart(&self, a: usize, b: usize) -> bool {
        self.cut(a, |c| c.peers) || self.cut(b, |c| c.peers) || self.zone_apart(a, b)
    }

    fn stands_still(&self, n: usize) -> bool {
        self.now < self.frozen[n].0
    }

    fn work(&mut self, n: usize, life: u64, event: Event) {
        let now = Now { steady: self.now, wall: 1_700_000_000_000 + self.now + n as u64 * 7 };
        let Some(node) = self.nodes[n].as_mut() else { return };
        node.handle(event, now);
        loop {
            let actions = self.nodes[n].as_mut().map(Node::take_actions).unwrap_or_default();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.act(n, life, action);
            }
        }
        self.look_for_inversions(n);
        self.look_for_leader(n);
    }
}
