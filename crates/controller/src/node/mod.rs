//! One controller: the pure core that turns events and time into state and actions.
//!
//! Nothing here does I/O, reads a clock or draws random numbers by itself: [`Node::handle`] takes
//! an event and the time, and leaves the actions to be done in [`Node::take_actions`].

/// The leader's context, borrowed beside its tables.
macro_rules! ctx {
    ($node:expr) => {
        Ctx {
            now: $node.now.steady,
            wall: $node.now.wall,
            settings: &$node.settings,
            store: &mut $node.store,
        }
    };
}

mod admin;
mod calls;
mod chunks;
mod desk;
mod dispatch;
mod effort;
mod lead;
mod ledger;
mod loans;
mod mirror;
mod order;
mod owed;
mod passes;
mod peers;
mod pipelines;
mod plugins;
mod reach;
mod relay;
mod requests;
mod rollout;
mod standstill;
mod status;
mod steer;
mod workers;

pub use admin::AdminAsk;
pub use calls::Purpose;
pub use order::{plan_of as plan_of_file, record as tiers_of_file};
pub use passes::{Passed as PassOutcome, pass, rent, tend};
pub use steer::{Asking, steer};

use crate::Time;
use crate::cloud::{self, Cloud};
use crate::constants::*;
use crate::job::{FinalRecord, JobId, MachineId, chunk_size, keys};
use crate::machine::MachineType;
use crate::settings::Settings;
use crate::steering::Steering;
use crate::store::{Call, Outcome, Patience, Store, Urgency};
use crate::tables::Tables;
use crate::term::{Held, Phase, Term, Voice};
use desk::Desk;
use mirror::Mirror;
use order::Order;
use owed::Owed;
use peers::Peer;
use pipelines::Walks;
use plugins::Plugins;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reach::Reach;
use relay::Relays;
use requests::Requests;
use rollout::Rollout;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use swiftsail_failure_detector::Probe;
use swiftsail_overload_control::budget::Budget;
use swiftsail_overload_control::headroom::Load;
use swiftsail_overload_control::pressure::Pressure;
use swiftsail_policy::host::Host;
use swiftsail_policy::operator::Operator;
use swiftsail_policy::outbox::Delivery;
use swiftsail_policy::policy::Policy;
use swiftsail_protocol::controllers::{Answers, Batch, Beat};
use swiftsail_protocol::workers::{Direct, Report};
use workers::Passed;

/// Steady time and time of day, ms.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Steady time.
    pub steady: Time,
    /// Time of day since the epoch.
    pub wall: u64,
}

/// Number of a request that waits for its answer.
pub type RequestId = u64;

/// An answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// When to come back, s.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// An answer with a body.
    pub fn new<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: swiftsail_protocol::write(body), retry_after: None }
    }
    /// "Come back later."
    pub fn later(why: &str) -> Reply {
        let problem = swiftsail_protocol::users::Problem { error: format!("{why}; try again later") };
        Reply { retry_after: Some(RETRY_AFTER_S), ..Reply::new(503, &problem) }
    }
}

/// What a user asks.
#[derive(Debug)]
pub enum Ask {
    /// Submit: the body as it came.
    Submit(Vec<u8>),
    /// The state of a job.
    Poll(String),
    /// The state of a job about which a question was turned away here before.
    Press(String),
    /// Cancel a job.
    Cancel(String),
    /// Health.
    Health,
}

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A user's request.
    User(RequestId, Ask),
    /// A worker's report.
    Report(RequestId, Box<Report>),
    /// A worker's answer to a direct command.
    Answer(Box<Report>),
    /// The state service answered, or not.
    Store(u64, Outcome),
    /// The cloud answered, or not.
    Cloud(Box<cloud::Call>, cloud::Outcome),
    /// Reports that another controller passes on.
    Batch(RequestId, Box<Batch>),
    /// The leader's answers to reports passed on, or none.
    Relayed(u64, Option<Answers>),
    /// Another controller's heartbeat, or its answer to ours.
    Beat(Beat),
    /// An operator's request.
    Admin(RequestId, AdminAsk),
    /// A delivery to a report hook has ended: of which plug-in, and whether it was taken.
    Delivered(String, bool),
    /// A machine was asked directly whether it lives: what came of it, and its report if it answered.
    Probed(MachineId, Probe, Option<Box<Report>>),
    /// The process has used so much of a core, us, over so much time, ms.
    Spent(u64, u64),
}

/// What a node wants done.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Reply(RequestId, Reply),
    /// Call the state service.
    Store(u64, Call),
    /// Call the cloud.
    Cloud(cloud::Call),
    /// Send commands straight to a worker.
    Direct(String, Direct),
    /// Ask a machine at its address whether it lives.
    Probe(MachineId, String),
    /// Pass reports on to the controller of that name; the number is of the message.
    Relay(u64, String, Box<Batch>),
    /// Send a heartbeat to every other controller.
    Beat(Beat),
    /// Deliver events to a report hook.
    Deliver(Delivery),
}

/// What the leader's functions work with.
pub struct Ctx<'a> {
    /// Steady time.
    pub now: Time,
    /// Time of day.
    pub wall: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// The state service.
    pub store: &'a mut Store<Purpose>,
}

/// One controller.
pub struct Node {
    settings: Arc<Settings>,
    process: u64,
    now: Now,
    rng: StdRng,
    term: Term,
    store: Store<Purpose>,
    cloud: Cloud,
    leader: Option<Tables>,
    loading: Option<Tables>,
    types: Option<Arc<Vec<MachineType>>>,
    steering: Steering,
    policy: Policy,
    host: Host,
    plugins: Plugins,
    /// Attributes of the cluster as the leader last told them.
    heard: Vec<f64>,
    scored: u64,
    /// What each part may hold.
    budget: Budget,
    /// How far behind this node is.
    pressure: Pressure,
    /// How much of its processor it uses.
    load: Load,
    /// Of that, what the machines cost, whatever is placed.
    upkeep: Load,
    /// When the platform last told what the process uses.
    measured_at: Time,
    /// What this node's work has cost by count, us of a whole core: events, and passes.
    cost_us: f64,
    pass_us: f64,
    /// When they were last looked at, and what they were then.
    counted: (Time, f64, f64),
    ticked_at: Time,
    bound_told_at: Time,
    /// No pass before that: the last one cost as much.
    rest_until: Time,
    status_at: Time,
    requests: Requests,
    /// Questions under way about what comes before a job.
    walks: Walks,
    /// Whether every controller knows the form of records that this one writes.
    rollout: Rollout,
    mirror: Mirror,
    finals: HashMap<JobId, FinalRecord>,
    final_order: VecDeque<JobId>,
    counts: BTreeMap<String, (u32, u32)>,
    peers: BTreeMap<String, Peer>,
    /// Cancellations held for the leader, and what others hold.
    held: Held,
    voice: Voice,
    passed: HashMap<String, Passed>,
    held_reports: Vec<(RequestId, Box<Report>)>,
    /// Questions to machines that an earlier lead of this process has asked and that are open.
    questions: HashMap<MachineId, u32>,
    relays: Relays,
    reach: Reach,
    desk: Desk,
    order: Order,
    /// Returns that a lead which is over has left undone.
    owed: Owed,
    /// Workers by the controller that they report to, this one under its own name.
    loads: BTreeMap<Arc<str>, usize>,
    /// Workers are shared among controllers.
    sharing: bool,
    read_at: Time,
    beat_at: Time,
    /// When a heartbeat was last made because a user waits for it.
    hurried_at: Time,
    following: bool,
    actions: Vec<Action>,
    direct: Vec<(String, Direct)>,
    types_asked: Time,
    /// When the process last woke from a standstill.
    woke_at: Time,
}

impl Node {
    /// A node that has just started, without an operators' file.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Now) -> Node {
        Node::operated(settings, &Operator::default(), seed, now)
    }

    /// A node that has just started. `seed` feeds all its random choices.
    pub fn operated(settings: Arc<Settings>, operator: &Operator, seed: u64, now: Now) -> Node {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rps, write_rps) = rates(&settings, false);
        let cloud = Cloud::new(settings.settings.cloud.rps, now.steady);
        let limits = settings.settings.machine_limits.clone();
        let budget = Budget::of(limits.mem_mb, limits.max_connections);
        let mut node = Node {
            process: rng.random::<u64>() >> 1,
            now,
            rng,
            term: Term::default(),
            store: Store::new(rps, write_rps, now.steady).seeded(seed),
            cloud,
            leader: None,
            loading: None,
            types: None,
            steering: Steering::default(),
            policy: operator.policy(),
            host: Host::default(),
            plugins: Plugins::new(operator.plugins.enabled),
            heard: Vec::new(),
            scored: 0,
            budget,
            pressure: Pressure::new(now.steady),
            load: Load::default(),
            upkeep: Load::default(),
            measured_at: 0,
            cost_us: 0.0,
            pass_us: 0.0,
            counted: (now.steady, 0.0, 0.0),
            ticked_at: 0,
            bound_told_at: 0,
            rest_until: 0,
            status_at: 0,
            requests: Requests::default(),
            walks: Walks::default(),
            rollout: Rollout::default(),
            mirror: Mirror::new(budget.mirrored),
            finals: HashMap::new(),
            final_order: VecDeque::new(),
            counts: BTreeMap::new(),
            peers: BTreeMap::new(),
            held: Held::default(),
            voice: Voice::default(),
            passed: HashMap::new(),
            held_reports: Vec::new(),
            questions: HashMap::new(),
            relays: Relays::default(),
            reach: Reach::default(),
            desk: Desk::new(
                operator.amounts.durable,
                &settings.host_name,
                &settings.settings.teams,
            ),
            order: Order::new(operator, &settings.settings.state, now.steady),
            owed: Owed::default(),
            loads: BTreeMap::new(),
            sharing: false,
            read_at: 0,
            beat_at: 0,
            hurried_at: 0,
            following: false,
            actions: Vec::new(),
            direct: Vec::new(),
            types_asked: 0,
            woke_at: 0,
            settings,
        };
        node.read_term();
        node.store.push(
            Call::Get(keys::TYPES.into()),
            Purpose::ReadTypes,
            Urgency::Work,
            Patience::Always,
        );
        node
    }

    /// The actions that have come up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let (calls, late) = self.store.pump(self.now.steady);
        self.actions.extend(calls.into_iter().map(|(id, c)| Action::Store(id, c)));
        for end in late {
            self.on_store(end);
        }
        // What a leader in doubt asks of the cloud or orders straight would be done under another's lead.
        if self.sure() {
            let calls = self.cloud.pump(self.now.steady);
            self.actions.extend(calls.into_iter().map(Action::Cloud));
            self.actions.extend(self.direct.drain(..).map(|(to, d)| Action::Direct(to, d)));
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Now) {
        let stood_ms = now.steady.saturating_sub(self.now.steady);
        self.now = now;
        if stood_ms >= STANDSTILL_MS {
            self.wake(stood_ms);
        }
        self.count_cost(&event);
        match event {
            Event::Tick => self.tick(),
            Event::User(id, ask) => self.on_user(id, ask),
            Event::Report(id, report) => self.on_report(id, report),
            Event::Answer(report) => self.on_answer(&report),
            Event::Store(id, outcome) => {
                if let Some(end) = self.store.finish(id, outcome, now.steady) {
                    self.on_store(end);
                }
            }
            Event::Cloud(call, outcome) => self.on_cloud(&call, &outcome),
            Event::Batch(id, batch) => self.on_batch(id, &batch),
            Event::Relayed(number, answers) => self.on_relayed(number, answers),
            Event::Beat(beat) => self.on_beat(&beat),
            Event::Admin(id, ask) => self.on_admin(id, ask),
            Event::Delivered(name, taken) => self.host.delivered(&name, taken, now.steady),
            Event::Probed(id, probe, report) => self.on_probed(&id, probe, report),
            Event::Spent(us, over_ms) => self.on_spent(us, over_ms),
        }
        self.confirm();
        self.place();
        self.pass_reports_on();
        self.tell();
    }

    /// Whether this node leads.
    pub fn leads(&self) -> bool {
        self.term.phase() == Phase::Leading
    }

    /// Scores computed so far: what passes cost, whatever the processor's speed.
    pub fn scored(&self) -> u64 {
        self.scored
    }

    /// The leader's tables, if this node leads.
    pub fn tables(&self) -> Option<&Tables> {
        self.leader.as_ref()
    }

    fn tick(&mut self) {
        let now = self.now.steady;
        self.feel(now);
        if let Phase::Vacant(at) = self.term.phase()
            && now >= at
        {
            self.term.advance(Phase::Granting);
            let purpose = Purpose::Grant { era: self.term.era, asked: now };
            let call = Call::Grant { ttl_ms: GRANT_TTL_MS };
            self.store.push(call, purpose, Urgency::Term, Patience::Once(now + STORE_TIMEOUT_MS));
        }
        if self.term.holds() && now >= self.term.extend_at {
            self.extend();
        }
        // A look at the term now and then also tells whether the store is there.
        if !self.term.holds() && now >= self.read_at + 2 * BEAT_MS {
            self.read_term();
        }
        if self.types.is_none() && now >= self.types_asked + CLOUD_BACKOFF_MS {
            self.types_asked = now;
            self.cloud.push(cloud::Call::Types);
        }
        if now >= self.beat_at + BEAT_MS {
            self.beat_at = now;
            self.count_loads();
            let beat = self.beat(false);
            self.actions.push(Action::Beat(beat));
        }
        if self.sure() {
            self.lead();
        } else {
            self.doubt_on();
        }
        self.tend_owed();
        self.tend_mirror();
        self.tend_plugins();
        self.tend_order();
        self.status();
    }

    /// A leader's part of a timer step.
    fn lead(&mut self) {
        self.weigh_reach();
        self.read_jobs();
        self.weigh_voice();
        if let Some(leader) = &mut self.leader {
            self.direct.extend(leader.stops(self.now.steady));
        }
        self.tend_desk();
        self.tend_loans();
        self.tend_dispatch();
        self.tend_pipelines();
        self.tend_fleet();
        self.end_jobs();
        if let Some(leader) = &mut self.leader {
            let mut ctx = ctx!(self);
            leader.write_ledger(&mut ctx);
            leader.flush_all(&mut ctx);
        }
        self.sweep();
        self.retire();
    }

    fn remember_final(&mut self, id: &JobId, record: FinalRecord) {
        if self.finals.insert(id.clone(), record).is_none() {
            self.final_order.push_back(id.clone());
            if self.final_order.len() > self.budget.finals
                && let Some(oldest) = self.final_order.pop_front()
            {
                self.finals.remove(&oldest);
            }
        }
    }

    fn counts_of(&self, id: &str) -> (u32, u32) {
        match &self.leader {
            Some(leader) => leader.jobs.get(id).map_or((0, 0), |j| j.counts()),
            None => self.counts.get(id).copied().unwrap_or((0, 0)),
        }
    }

    fn chunk_tasks(&self) -> u32 {
        chunk_size(&self.settings.settings.state)
    }
}

/// Requests and writes a second for a node: together the nodes stay within the limits.
fn rates(settings: &Settings, leads: bool) -> (f64, f64) {
    let state = &settings.settings.state;
    let others = settings.others.len();
    let share = if others == 0 {
        STORE_SHARE_ALL
    } else if leads {
        STORE_SHARE_ALL * STORE_SHARE_LEADER
    } else {
        STORE_SHARE_ALL * (1.0 - STORE_SHARE_LEADER) / others as f64
    };
    (state.rps * share, state.write_rps * share)
}
