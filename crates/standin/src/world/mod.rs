//! A world in simulated time: the stand-ins around the pure cores of three controllers, and users;
//! with crashes, delays, duplicates and lost answers. The protocol's rules are checked after every
//! step. Every choice comes from one seed.

mod inversions;
mod processor;
mod rules;
mod troubles;
mod users;

use processor::Processor;
pub use troubles::Deafness;
pub use users::{UserJob, assert_over};

use crate::cloud::Offered;
use crate::constants::*;
use crate::plant::Plant;
use crate::store::{Committed, Store, TooOld};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use swiftsail_core::cloud;
use swiftsail_core::job::{JobId, Kind, Priority, Spec, keys};
use swiftsail_core::node::{Action, AdminAsk, Event, Node, Now, Reply};
use swiftsail_core::settings::{Settings, State};
use swiftsail_core::store::{Call, Outcome};
use swiftsail_membership::Probe;
use swiftsail_overload::turned::Turned;
use swiftsail_policy::operator::Operator;
use swiftsail_policy::outbox::Delivery;
use swiftsail_wire as wire;
use swiftsail_wire::cloud::{Berths, Hull};
use swiftsail_wire::controllers::{Answers, Batch, Beat};
use swiftsail_wire::workers::{Direct, Orders, Report};

/// Where the steady clock of the stand-in begins.
pub const BEGIN: u64 = 1_000_000_000;
const NODES: usize = 3;
/// Most time between two checks of the rules, ms.
const CHECK_MS: u64 = 1_000;
/// Time between two looks at a machine, ms.
const STEP_MS: u64 = 200;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Settings of the stand-in's deployment, for a node.
pub fn settings(node: usize) -> Arc<Settings> {
    let others: Vec<String> = (0..NODES)
        .filter(|n| *n != node)
        .map(|n| {
            format!(
                "[[others]]\nhost_name = \"n{n}\"\nsite = \"a\"\naddress = \"127.0.0.1:{}\"\n",
                7000 + n
            )
        })
        .collect();
    let text = format!(
        "host_name = \"n{node}\"\nsite = \"a\"\nfront = \"127.0.0.1:{}\"\ncluster_listen = \"127.0.0.1:{}\"\n\
         future = 1\n{}\
         [endpoints]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n\
         [settings]\nzones = [\"a\",\"b\",\"c\"]\nclock_off_ms = 20.0\n\
         [[settings.teams]]\nname = \"red\"\ncpus = 10.0\ncpus_max = 40.0\n\
         [[settings.teams]]\nname = \"blue\"\n\
         [[settings.teams]]\nname = \"serving\"\ncpus = 40.0\ncpus_max = 400.0\ngpus = 6.0\ngpus_max = 16.0\n\
         [[settings.teams]]\nname = \"tuning\"\ncpus = 40.0\ncpus_max = 400.0\ngpus = 6.0\ngpus_max = 16.0\n\
         [[settings.teams]]\nname = \"lab\"\ncpus = 0.0\ncpus_max = 400.0\ngpus = 0.0\ngpus_max = 16.0\n\
         [settings.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 35.0\n\
         [settings.state]\nrps = 150.0\nwrite_rps = 40.0\nvalue_kb = 8.0\ntxn_ops = 16\n\
         [settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n\
         [settings.machine_limits]\ncores = 0.1\nmem_mb = 40.0\nmax_connections = 500\n",
        6000 + node,
        7000 + node,
        others.concat(),
    );
    Arc::new(Settings::parse("stand-in", &text).expect("the stand-in's settings are sound"))
}

/// What a job of a kind asks for: the class is named after the kind.
pub fn spec(kind: Kind, tasks: u32, cpus: f64, image: &str) -> Spec {
    Spec {
        class: format!("{kind:?}"),
        team: "blue".into(),
        kind,
        priority: if kind == Kind::Service { Priority::Production } else { Priority::Normal },
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 0.5,
        image: image.into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: kind == Kind::Gang,
        spread: false,
        spot: kind != Kind::Service,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: (kind == Kind::Array).then_some(600.0),
    }
}

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
}

enum Asker {
    Relay(usize, u64, u64),
    Worker(String, u64, u64),
    User(usize, u8, u64, usize),
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
        self.rng.random_range(1..15)
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
        });
        self.at(at, Ev::User(self.jobs.len() - 1, 0));
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
        self.cut(a, |c| c.peers) || self.cut(b, |c| c.peers)
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
    }

    fn act(&mut self, n: usize, life: u64, action: Action) {
        let at = self.now + self.delay();
        match action {
            Action::Reply(id, reply) => match self.askers.remove(&(n, life, id)) {
                Some(Asker::Worker(name, watch, sent)) => {
                    self.look_at_token(n, &reply);
                    if self.deaf(&name, true) {
                        let given_up = (sent + 4_000).max(at);
                        return self.at(given_up, Ev::Orders(name, watch, sent, None));
                    }
                    let reply = (!self.lost()).then(|| Box::new(reply));
                    self.at(at, Ev::Orders(name, watch, sent, reply));
                }
                Some(Asker::Relay(to, to_life, to_id)) => {
                    let good = (reply.status == 200).then_some(reply.body);
                    let answers = good.and_then(|body| wire::read::<Answers>(&body).ok());
                    let event = Box::new(Event::Relayed(to_id, answers));
                    self.at(at, Ev::ToNode(to, to_life, event));
                }
                Some(Asker::User(job, what, sent, node)) => {
                    if what == 1 {
                        let (turned, id, now) =
                            (&mut self.turned[node], &self.jobs[job].id, self.now);
                        match reply.status {
                            503 => turned.away(id, now),
                            _ => turned.answered(id),
                        }
                    }
                    let reply = (!self.lost()).then_some(reply);
                    self.at(at, Ev::UserReply(job, what, sent, reply));
                }
                Some(Asker::Admin(id)) => {
                    self.answers.insert(id, reply);
                }
                None => {}
            },
            Action::Store(id, call) => self.at(at, Ev::StoreCall(n, life, id, call)),
            Action::Cloud(call) => self.at(at + 100, Ev::CloudCall(n, life, Box::new(call))),
            Action::Direct(addr, direct) => {
                if let Some(until) = self.held_until(n, |c| c.workers) {
                    return self.at(until, Ev::Direct(n, life, addr, Box::new(direct)));
                }
                if !self.lost() && !self.cut(n, |c| c.workers) && !self.deaf(&addr, false) {
                    self.at(at, Ev::Direct(n, life, addr, Box::new(direct)));
                }
            }
            Action::Probe(id, addr) => {
                let hang = |w: &&crate::worker::Worker| !w.gone && w.hang_until > self.now;
                let mute = self.plant.workers.get(&*id).filter(hang).is_some();
                let probe = if mute { Probe::Mute } else { Probe::Silent };
                let message = Direct { helm: 0, watch: 0, orders: Vec::new() };
                let now = self.now;
                let report =
                    if mute || self.lost() || self.cut(n, |c| c.workers) || self.deaf(&addr, false)
                    {
                        None
                    } else {
                        self.plant.direct(&addr, &message, now)
                    };
                let event = match report {
                    Some((_, report)) => {
                        (at, Event::Probed(id, Probe::Answered, Some(Box::new(report))))
                    }
                    None => (now + 1_200, Event::Probed(id, probe, None)),
                };
                self.at(event.0, Ev::ToNode(n, life, Box::new(event.1)));
            }
            Action::Relay(id, leader, report) => {
                let other = leader.trim_start_matches('n').parse().unwrap_or(0);
                if self.lost() || self.apart(n, other) {
                    let event = Box::new(Event::Relayed(id, None));
                    return self.at(self.now + 2_500, Ev::ToNode(n, life, event));
                }
                self.at(at, Ev::Relay(n, life, id, other, report));
            }
            Action::Deliver(delivery) => {
                let taken = !self.lost();
                if taken {
                    self.delivered.push(delivery.clone());
                }
                let event = Box::new(Event::Delivered(delivery.plugin, taken));
                self.at(at, Ev::ToNode(n, life, event));
            }
            Action::Beat(beat) => {
                for other in (0..NODES).filter(|o| *o != n) {
                    if !self.lost() && !self.apart(n, other) {
                        self.at(at, Ev::Beat(n, life, other, beat.clone()));
                    }
                }
            }
        }
    }

    /// Counts answers to reports under a token that is no longer the leader's key.
    fn look_at_token(&mut self, n: usize, reply: &Reply) {
        let orders = wire::read::<Orders>(&reply.body).ok().filter(|_| reply.status == 200);
        let held = self.store.get(keys::LEADER).map(|pair| pair.stamp);
        let own = self.nodes[n].as_ref().is_some_and(Node::leads);
        if own && orders.is_some_and(|o| held != Some(o.helm)) {
            self.stale_answers += 1;
        }
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(n, life) => {
                if self.stands_still(n) {
                    let until = self.frozen[n].0;
                    return self.at(until, Ev::Tick(n, life));
                }
                if self.lives[n] == life && self.nodes[n].is_some() {
                    self.handle(n, life, Event::Tick);
                    // A timer that is late fires late again from then on.
                    let free = self.processors[n].free_at;
                    self.at(free.max(self.now) + 100, Ev::Tick(n, life));
                }
            }
            Ev::Free(n, life) => self.go_on(n, life),
            Ev::Freeze(n, until) => {
                self.frozen[n].0 = until;
                let life = self.lives[n];
                self.at(until, Ev::Thaw(n, life));
            }
            Ev::Thaw(n, life) => {
                for event in std::mem::take(&mut self.frozen[n].1) {
                    self.handle(n, life, event);
                }
            }
            Ev::Restart(n) => {
                self.lives[n] += 1;
                let now = Now { steady: self.now, wall: 1_700_000_000_000 + self.now };
                let mut settings = Settings::clone(&settings(n));
                settings.settings.machine_limits.mem_mb = self.memory_mb;
                settings.settings.teams[0].cpus_max = self.red_most[n];
                settings.settings.machine_limits.cores = self.cores.unwrap_or(1.0);
                self.processors[n] = Processor::default();
                let settings = Arc::new(settings);
                let node = Node::operated(settings, &self.operator, self.rng.random(), now);
                self.nodes[n] = Some(node);
                self.at(self.now, Ev::Tick(n, self.lives[n]));
            }
            Ev::Crash(n) => {
                self.nodes[n] = None;
                self.lives[n] += 1;
                self.frozen[n] = (0, Vec::new());
                let pause = self.rng.random_range(2_000..6_000);
                let at = self.now + self.restart_ms.unwrap_or(pause);
                self.at(at, Ev::Restart(n));
            }
            Ev::Copy(n, report) => self.copy_comes(n, report),
            Ev::Reboot(name) => self.plant.reboot(&name, self.now),
            Ev::ToNode(n, life, event) => self.handle(n, life, *event),
            Ev::Beat(from, life, to, beat) => {
                let brief = beat.brief;
                self.handle(to, self.lives[to], Event::Beat(beat));
                if self.stands_still(to) {
                    return;
                }
                if let Some(ours) = self.nodes[to].as_mut().map(|n| n.beat(brief)) {
                    let at = self.now + self.delay();
                    self.at(at, Ev::ToNode(from, life, Box::new(Event::Beat(ours))));
                }
            }
            Ev::StoreCall(n, life, id, call) => self.store_call(n, life, id, call),
            Ev::CloudCall(n, life, call) => {
                let outcome = if self.lost() {
                    cloud::Outcome::Failed
                } else {
                    let outcome = self.cloud_call(&call);
                    if self.lost() { cloud::Outcome::Failed } else { outcome }
                };
                let at = self.now + self.delay();
                self.at(at, Ev::ToNode(n, life, Box::new(Event::Cloud(call, outcome))));
            }
            Ev::Direct(n, life, addr, direct) => {
                let now = self.now;
                let Some((_, report)) = self.plant.direct(&addr, &direct, now) else { return };
                let at = self.now + self.delay();
                if !self.lost() {
                    self.at(at, Ev::ToNode(n, life, Box::new(Event::Answer(Box::new(report)))));
                }
            }
            Ev::WorkerStep(name) => self.worker_step(&name),
            Ev::Relay(from, from_life, from_id, to, report) => {
                self.next_request += 1;
                let (id, life) = (self.next_request, self.lives[to]);
                self.askers.insert((to, life, id), Asker::Relay(from, from_life, from_id));
                if self.stands_still(to) {
                    let event = Box::new(Event::Relayed(from_id, None));
                    self.at(self.now + 2_500, Ev::ToNode(from, from_life, event));
                }
                self.handle(to, life, Event::Batch(id, report));
            }
            Ev::Report(n, report, sent) => {
                let life = self.lives[n];
                if let Some(until) = self.held_until(n, |c| c.workers) {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    self.at(until, Ev::Copy(n, report));
                    return self.at(sent + 4_000, Ev::Orders(name, watch, sent, None));
                }
                if self.nodes[n].is_none() || self.cut(n, |c| c.workers) {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    return self.at(self.now + 1, Ev::Orders(name, watch, sent, None));
                }
                self.next_request += 1;
                let id = self.next_request;
                let asker = Asker::Worker(report.berth.clone(), report.watch, sent);
                self.askers.insert((n, life, id), asker);
                if self.stands_still(n) {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    self.at(sent + 4_000, Ev::Orders(name, watch, sent, None));
                }
                self.handle(n, life, Event::Report(id, report));
            }
            Ev::Orders(name, watch, sent, reply) => {
                let now = self.now;
                let Some(worker) = self.plant.workers.get_mut(&name) else { return };
                let Some(reply) = reply else { return worker.unanswered(sent, now) };
                let orders = (reply.status == 200).then(|| wire::read::<Orders>(&reply.body));
                let harbor = wire::read::<wire::workers::Redirect>(&reply.body).unwrap_or_default();
                match orders {
                    Some(Ok(orders)) => self.plant.answered(&name, &orders, watch, sent, now),
                    _ => {
                        let to = harbor.harbor.and_then(|h| h.strip_prefix('n')?.parse().ok());
                        worker.redirected(sent, to, now);
                    }
                }
            }
            Ev::Admin(n, id, ask) => {
                let life = self.lives[n];
                self.next_request += 1;
                let request = self.next_request;
                self.askers.insert((n, life, request), Asker::Admin(id));
                self.handle(n, life, Event::Admin(request, *ask));
            }
            Ev::User(job, what) => self.user(job, what),
            Ev::UserReply(job, what, sent, reply) => self.user_reply(job, what, sent, reply),
        }
    }

    fn store_call(&mut self, n: usize, life: u64, id: u64, call: Call) {
        let away = self.store_away() || self.cut(n, |c| c.store) && life != 0;
        if let Call::Follow { prefix, from } = &call {
            self.follows.push((n, life, id, prefix.clone(), *from, self.now + 10_000));
            return self.wake_follows();
        }
        if let Some(until) = self.held_until(n, |c| c.store).filter(|_| life != 0) {
            let outcome = Event::Store(id, Outcome::Unknown);
            self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
            if matches!(call, Call::Commit(_)) {
                self.at(until, Ev::StoreCall(n, 0, 0, call));
            }
            return;
        }
        let back = self.now + self.delay();
        // Slow answers: some come after their caller has given up, of what was done at once or only then.
        if self.slow.iter().any(|(from, to)| (*from..*to).contains(&self.now)) && life != 0 && !away
        {
            let after = self.rng.random_range(0..3_000);
            if after > 1_500 {
                let outcome = Event::Store(id, Outcome::Unknown);
                self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
                if matches!(call, Call::Commit(_)) {
                    self.at(self.now + after * 4, Ev::StoreCall(n, 0, 0, call));
                }
                return;
            }
            let outcome = Event::Store(id, self.serve(&call));
            self.at(self.now + after, Ev::ToNode(n, life, Box::new(outcome)));
            return self.wake_follows();
        }
        if away {
            let event = Event::Store(id, Outcome::Refused);
            return self.at(back, Ev::ToNode(n, life, Box::new(event)));
        }
        // Lost on the way, lost on the way back, or applied late after the caller gave up.
        let fate = if self.calm() { 1.0 } else { self.rng.random_range(0.0..1.0) };
        if fate < self.weather.loss {
            let outcome = Event::Store(id, Outcome::Unknown);
            self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
            if fate < self.weather.loss / 2.0 && matches!(call, Call::Commit(_)) {
                let at = self.now + self.rng.random_range(1..20_000);
                // To a life that never was: applied, told to nobody.
                return self.at(at, Ev::StoreCall(n, 0, 0, call));
            }
            return;
        }
        let outcome = self.serve(&call);
        let lost = self.lost();
        let (at, outcome) =
            if lost { (self.now + 1_500, Outcome::Unknown) } else { (back, outcome) };
        self.at(at, Ev::ToNode(n, life, Box::new(Event::Store(id, outcome))));
        self.wake_follows();
    }

    /// The store's answer to a call.
    fn serve(&mut self, call: &Call) -> Outcome {
        let now = self.now;
        self.store.expire(now, false);
        let reads = matches!(call, Call::Get(_) | Call::List { .. } | Call::News { .. });
        self.store.reads += usize::from(reads);
        match call {
            Call::Get(key) => match self.store.get(key) {
                Some(pair) => Outcome::Found(pair.clone()),
                None => Outcome::Missing { epoch: self.store.epoch() },
            },
            // A small page, so that paging is exercised.
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

    fn cloud_call(&mut self, call: &cloud::Call) -> cloud::Outcome {
        use cloud::{Call, Outcome};
        let now = self.now;
        match call {
            Call::Types => Outcome::Types(self.plant.cloud.types(now)),
            Call::Rent(rent) => {
                let before: BTreeSet<String> = self.plant.workers.keys().cloned().collect();
                let Some(names) = self.plant.rent(rent, now) else {
                    return Outcome::Malformed("no such type".into());
                };
                for name in names.iter().filter(|n| !before.contains(*n)) {
                    let at = self.plant.workers[name].up_at;
                    if at < u64::MAX {
                        self.at(at, Ev::WorkerStep(name.clone()));
                    }
                }
                match names.is_empty() {
                    true => Outcome::NoCapacity,
                    false => Outcome::Rented(Berths { berths: names }),
                }
            }
            Call::Return(names) => {
                self.plant.gone(names, false, now);
                Outcome::Returned
            }
            Call::List(from) => {
                Outcome::Listed(self.plant.cloud.list(from.as_deref(), LIST_MOST, now))
            }
        }
    }

    fn wake_follows(&mut self) {
        // An open watch waits through an outage, and through a refusal of its controller.
        if self.store_away() {
            return;
        }
        let refused: Vec<usize> = (0..NODES).filter(|n| self.cut(*n, |c| c.store)).collect();
        let mut ready = Vec::new();
        let (store, now) = (&self.store, self.now);
        self.follows.retain(|(n, life, id, prefix, from, until)| {
            if refused.contains(n) {
                return true;
            }
            let outcome = match store.news(prefix, *from) {
                Err(TooOld) => Outcome::TooOld,
                Ok(Some(news)) => Outcome::News(news),
                Ok(None) if now >= *until => Outcome::News(store.no_news()),
                Ok(None) => return true,
            };
            ready.push((*n, *life, *id, outcome));
            false
        });
        for (n, life, id, outcome) in ready {
            let at = self.now + self.delay();
            self.at(at, Ev::ToNode(n, life, Box::new(Event::Store(id, outcome))));
        }
    }

    fn worker_step(&mut self, name: &str) {
        let now = self.now;
        let paused = self.store_away();
        let ended = self.store.expire(now, paused);
        if ended || self.rng.random_bool(0.2) {
            self.wake_follows();
        }
        let hang = !self.calm() && self.weather.outages > 0 && self.rng.random_bool(0.0005);
        let taken = !self.calm() && self.weather.outages > 0 && self.rng.random_bool(0.002);
        let span = self.rng.random_range(2_000..15_000);
        let Some(worker) = self.plant.workers.get_mut(name).filter(|w| !w.gone) else { return };
        if hang {
            worker.hang_until = now + span;
        }
        // Spot machines are taken, mostly with a notice.
        if taken && worker.hardware.spot && worker.taken_at.is_none() {
            worker.taken_at = Some(now + if hang { 0 } else { span });
            worker.changed = true;
        }
        if let Some((node, report)) = self.plant.step(name, now) {
            let at = self.now + self.delay();
            self.copy_later(node, &report);
            if !self.lost() {
                self.at(at, Ev::Report(node, Box::new(report), now));
            }
        }
        if !self.plant.workers[name].gone {
            self.at(now + STEP_MS, Ev::WorkerStep(name.to_string()));
        }
    }
}

/// Limits that no test runs into: the node keeps its own.
fn free_limits() -> State {
    let limits = settings(0).settings.state.clone();
    State { rps: 1e6, write_rps: 1e6, ..limits }
}

/// Two machine types in three zones, so many of each, zone and kind.
pub fn offered(capacity: u32) -> Vec<Offered> {
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
        docks: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    let types = [hull("s4", 4.0, 0.3), hull("m8", 8.0, 0.5)];
    types.into_iter().map(|hull| Offered { hull, capacity }).collect()
}

/// Machines with two accelerators beside the usual ones, so many in each zone, ordinary and spot each.
pub fn accelerated(capacity: u32) -> Vec<Offered> {
    let mut all = offered(2);
    let mut hull = all[1].hull.clone();
    (hull.sku, hull.cpus, hull.accelerators) = ("g2".into(), 24.0, 2.0);
    (hull.price, hull.market_price) = (6.0, 2.4);
    all.push(Offered { hull, capacity });
    all
}

/// A job that takes accelerators.
pub fn gpu_job(id: &str, shape: &str, crew: &str, shards: u32, gpus: f64, eta_s: f64) -> Value {
    let mut body = job(id, shape, crew, shards, 4.0, eta_s);
    body["accelerators"] = gpus.into();
    body["bundle"] = format!("weights-{crew}").into();
    body["due_s"] = Value::Null;
    if crew == "lab" {
        body["rank"] = "low".into();
    }
    body
}

/// A job of a shape, with what the tests vary.
pub fn job(id: &str, shape: &str, crew: &str, shards: u32, cpus: f64, eta_s: f64) -> Value {
    json!({"name_id": id, "jobclass": shape, "crew": crew, "shape": shape,
        "rank": if shape == "service" { "production" } else { "standard" },
        "shards": shards, "cpus": cpus, "accelerators": 0.0, "memory_gb": 1.0,
        "bundle": "img", "pull_gb": 0.5, "hulls": null, "dock": null, "one_zone": shape == "gang",
        "scatter": shape == "service", "driftwood": shape != "service" || id.ends_with('2'),
        "eta_s": eta_s, "mark_s": if shape == "gang" { 5.0 } else { 0.0 }, "stow_s": 1.0,
        "due_s": if shape == "array" { json!(eta_s * 4.0 + 60.0) } else { Value::Null }})
}

/// A mixed load: as many arrays, gangs and services, some of them cancelled.
pub fn mixed_load(world: &mut World, number: u64) {
    for n in 0..number {
        let id = format!("wk-a{n}");
        let cancel = (n % 3 == 2).then_some(20_000 + n * 5_000);
        world.submit(500 + n * 4_000, cancel, job(&id, "array", "red", 8, 2.0, 6.0));
        let id = format!("wk-g{n}");
        world.submit(1_000 + n * 5_000, None, job(&id, "gang", "blue", 3, 2.0, 8.0));
        let id = format!("wk-s{n}");
        let cancel = (n % 2 == 1).then_some(45_000 + n * 3_000);
        world.submit(200 + n * 2_000, cancel, job(&id, "service", "blue", 2, 1.0, 0.0));
    }
}
