//! One controller: the pure core that turns events and time into state and actions.
//!
//! Nothing here does I/O, reads a clock or draws random numbers by itself: [`Node::handle`] takes
//! an event and the time, and leaves the actions to be done in [`Node::take_actions`].

pub mod actor;
mod bindings;
pub mod leader;
pub mod ledger;
mod requests;

use crate::cloud::{self, Cloud};
use crate::constants::*;
use crate::fleet;
use crate::job::{FinalRecord, JobId, Time, chunk_size, keys};
use crate::machine::MachineType;
use crate::placement;
use crate::settings::Settings;
use crate::store::{Call, Finished, Outcome, Patience, Store, Urgency};
use crate::term::{LeaderRecord, Phase, Term, Voucher, may_answer};
use crate::wire::cloud::Types;
use crate::wire::controllers::Beat;
use crate::wire::state::{Change, Commit, When};
use crate::wire::workers::{Direct, Redirect, Report};
use leader::{Leader, Source};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use requests::Requests;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

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
        Reply { status, body: crate::wire::write(body), retry_after: None }
    }
    /// "Come back later."
    pub fn later(why: &str) -> Reply {
        let problem = crate::wire::users::Problem { error: format!("{why}; try again later") };
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
    /// A worker's report, and whether another controller has passed it on.
    Report(RequestId, Box<Report>, bool),
    /// A worker's answer to a direct command.
    Answer(Box<Report>),
    /// The state service answered, or not.
    Store(u64, Outcome),
    /// The cloud answered, or not.
    Cloud(Box<cloud::Call>, cloud::Outcome),
    /// The leader's answer to a report passed on, or none.
    Relayed(RequestId, Option<Reply>),
    /// Another controller's heartbeat, or its answer to ours.
    Beat(Beat),
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
    /// Pass a report on to the controller of that name.
    Relay(RequestId, String, Box<Report>),
    /// Send a heartbeat to every other controller.
    Beat(Beat),
}

/// What a store call was for; `era` tells answers to an earlier term.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum Purpose {
    /// Read who leads.
    ReadTerm,
    /// Watch who leads.
    FollowTerm,
    /// Get a lease to lead.
    Grant { era: u64, asked: Time },
    /// Write the leader's key.
    Acquire { era: u64 },
    /// Extend the lease.
    Extend { era: u64, asked: Time },
    /// Read the machine types.
    ReadTypes,
    /// Keep the machine types.
    WriteTypes { era: u64 },
    /// Read all jobs.
    LoadJobs { era: u64 },
    /// Read all bindings.
    LoadBindings { era: u64 },
    /// Watch the jobs.
    FollowJobs { era: u64 },
    /// Write a job's chunks.
    Flush { era: u64, job: JobId },
    /// Read all sheets of the ledger.
    LoadSheets { era: u64 },
    /// Write new bindings.
    Ledger { era: u64 },
    /// Read a key after a conflict of the ledger.
    ResolveLedger { era: u64, key: String },
    /// Read a job after a conflict.
    ResolveJob { era: u64, job: JobId },
    /// Read a chunk after a conflict.
    ResolveChunk { era: u64, job: JobId, index: usize },
    /// Remove keys that nothing refers to.
    Sweep { era: u64, keys: Vec<String> },
    /// Create a job.
    Create { request: RequestId, job: JobId },
    /// Read a job for those who asked.
    ReadJob(JobId),
    /// Read a job's final record for those who asked.
    ReadFinal(JobId),
    /// Mark a job as cancelled.
    Cancel(JobId),
}

impl Purpose {
    fn era(&self) -> Option<u64> {
        use Purpose::*;
        match self {
            Grant { era, .. }
            | Acquire { era }
            | Extend { era, .. }
            | WriteTypes { era }
            | LoadJobs { era }
            | LoadBindings { era }
            | FollowJobs { era }
            | Flush { era, .. }
            | LoadSheets { era }
            | Ledger { era }
            | ResolveLedger { era, .. }
            | ResolveJob { era, .. }
            | ResolveChunk { era, .. }
            | Sweep { era, .. } => Some(*era),
            _ => None,
        }
    }
}

/// What the leader's functions work with.
pub struct Ctx<'a> {
    /// Steady time.
    pub now: Time,
    /// Time of day.
    pub wall: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// The machine types, if known.
    pub types: Option<Arc<Vec<MachineType>>>,
    /// The state service.
    pub store: &'a mut Store<Purpose>,
    /// The cloud.
    pub cloud: &'a mut Cloud,
    /// Commands to send straight to workers.
    pub direct: &'a mut Vec<(String, Direct)>,
}

impl Ctx<'_> {
    /// A machine type by name.
    pub fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.types.as_ref()?.iter().find(|t| t.name == name)
    }
}

struct Peer {
    voucher: Voucher,
    leads: bool,
}

/// What this node, not leading, has done with a worker's reports.
#[derive(Debug, Default, Clone, Copy)]
struct Passed {
    relayed: Time,
    redirected: Time,
    relay_until: Time,
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
    leader: Option<Leader>,
    loading: Option<Leader>,
    types: Option<Arc<Vec<MachineType>>>,
    requests: Requests,
    finals: HashMap<JobId, FinalRecord>,
    final_order: VecDeque<JobId>,
    counts: BTreeMap<String, (u32, u32)>,
    peers: BTreeMap<String, Peer>,
    passed: HashMap<String, Passed>,
    held_reports: Vec<(RequestId, Box<Report>, bool)>,
    read_at: Time,
    beat_at: Time,
    following: bool,
    actions: Vec<Action>,
    direct: Vec<(String, Direct)>,
    types_asked: Time,
}

macro_rules! ctx {
    ($node:expr) => {
        Ctx {
            now: $node.now.steady,
            wall: $node.now.wall,
            settings: &$node.settings,
            types: $node.types.clone(),
            store: &mut $node.store,
            cloud: &mut $node.cloud,
            direct: &mut $node.direct,
        }
    };
}

impl Node {
    /// A node that has just started. `seed` feeds all its random choices.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Now) -> Node {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rps, write_rps) = rates(&settings, false);
        let cloud = Cloud::new(settings.settings.cloud.rps, now.steady);
        let mut node = Node {
            process: rng.random::<u64>() >> 1,
            now,
            rng,
            term: Term::default(),
            store: Store::new(rps, write_rps, now.steady),
            cloud,
            leader: None,
            loading: None,
            types: None,
            requests: Requests::default(),
            finals: HashMap::new(),
            final_order: VecDeque::new(),
            counts: BTreeMap::new(),
            peers: BTreeMap::new(),
            passed: HashMap::new(),
            held_reports: Vec::new(),
            read_at: 0,
            beat_at: 0,
            following: false,
            actions: Vec::new(),
            direct: Vec::new(),
            types_asked: 0,
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
        let calls = self.cloud.pump(self.now.steady);
        self.actions.extend(calls.into_iter().map(Action::Cloud));
        self.actions.extend(self.direct.drain(..).map(|(to, d)| Action::Direct(to, d)));
        std::mem::take(&mut self.actions)
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Now) {
        self.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::User(id, ask) => self.on_user(id, ask),
            Event::Report(id, report, relayed) => self.on_report(id, report, relayed),
            Event::Answer(report) => self.on_answer(&report),
            Event::Store(id, outcome) => {
                if let Some(end) = self.store.finish(id, outcome, now.steady) {
                    self.on_store(end);
                }
            }
            Event::Cloud(call, outcome) => self.on_cloud(&call, &outcome),
            Event::Relayed(id, reply) => {
                let reply = reply.filter(|r| r.status == 200).unwrap_or_else(|| self.redirect());
                self.actions.push(Action::Reply(id, reply));
            }
            Event::Beat(beat) => self.on_beat(&beat),
        }
        self.place();
    }

    /// Whether this node leads.
    pub fn leads(&self) -> bool {
        self.term.phase() == Phase::Leading
    }

    /// The leader's tables, if this node leads.
    pub fn tables(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    fn place(&mut self) {
        let now = self.now.steady;
        if let Some(leader) = &mut self.leader
            && let Some(full) = placement::want_pass(leader, now)
        {
            placement::pass(leader, &mut ctx!(self), full);
        }
    }

    fn tick(&mut self) {
        let now = self.now.steady;
        if let Phase::Vacant(at) = self.term.phase()
            && now >= at
        {
            self.term.advance(Phase::Granting);
            let purpose = Purpose::Grant { era: self.term.era, asked: now };
            let call = Call::Grant { ttl_ms: GRANT_TTL_MS };
            self.store.push(call, purpose, Urgency::Term, Patience::Once(now + STORE_TIMEOUT_MS));
        }
        if self.term.holds() && now >= self.term.extend_at {
            self.term.extend_at = now + GRANT_EXTEND_MS;
            let purpose = Purpose::Extend { era: self.term.era, asked: now };
            let call = Call::Extend(self.term.grant);
            self.store.push(call, purpose, Urgency::Term, Patience::Once(now + GRANT_EXTEND_MS));
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
            self.actions.push(Action::Beat(self.beat()));
        }
        if let Some(leader) = &mut self.leader {
            let mut ctx = ctx!(self);
            leader.stops(&mut ctx);
            fleet::tick(leader, &mut ctx);
            leader.write_ledger(&mut ctx);
            leader.flush_all(&mut ctx);
            sweep(leader, &mut ctx);
            leader.status(&ctx);
        }
    }

    // ---- the term ------------------------------------------------------------------------------

    fn read_term(&mut self) {
        self.read_at = self.now.steady;
        let call = Call::List { prefix: keys::TERM.into(), from: None };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        self.store.push(call, Purpose::ReadTerm, Urgency::Term, Patience::Once(until));
    }

    fn follow_term(&mut self, from: u64) {
        if !self.following {
            self.following = true;
            let call = Call::Follow { prefix: keys::TERM.into(), from };
            let until = self.now.steady + STORE_TIMEOUT_MS;
            self.store.push(call, Purpose::FollowTerm, Urgency::Term, Patience::Once(until));
        }
    }

    fn term_key(&mut self, held: Option<(LeaderRecord, u64)>) {
        match held {
            None => {
                if self.term.holds() {
                    self.step_down("its key is gone");
                }
                if matches!(self.term.phase(), Phase::Unknown | Phase::Following) {
                    let wait = self.rng.random_range(0..=CAMPAIGN_JITTER_MS);
                    self.term.leader = None;
                    self.term.advance(Phase::Vacant(self.now.steady + wait));
                }
            }
            Some((record, stamp)) => {
                let mine = record.node == self.settings.host_name && record.process == self.process;
                if mine && matches!(self.term.phase(), Phase::Acquiring(_)) {
                    self.acquired(stamp);
                    return;
                }
                if self.term.saw(stamp) {
                    self.step_down("another leads");
                }
                if !self.term.holds() {
                    self.term.held_by(&record.node, stamp);
                    // A campaign under way ends by itself: its write finds the key.
                    if !matches!(self.term.phase(), Phase::Granting | Phase::Acquiring(_)) {
                        self.term.advance(Phase::Following);
                    }
                }
            }
        }
    }

    fn acquired(&mut self, token: u64) {
        let now = self.now.steady;
        self.term.token = token;
        if let Phase::Acquiring(grant) = self.term.phase() {
            self.term.grant = grant;
        }
        self.term.saw(token);
        if !self.term.advance(Phase::Loading) {
            self.term.advance(Phase::Unknown);
            return;
        }
        self.term.held_by(&self.settings.host_name.clone(), token);
        self.term.extend_at = now;
        let (rps, writes) = rates(&self.settings, true);
        self.store.set_rates(rps, writes, now);
        tracing::info!(term = token, "leading: reading the store");
        let era = self.term.era;
        self.loading = Some(Leader::new(token, era, now));
        let call = Call::List { prefix: keys::JOBS.into(), from: None };
        self.store.push(call, Purpose::LoadJobs { era }, Urgency::Term, Patience::Always);
    }

    fn step_down(&mut self, why: &str) {
        tracing::warn!(term = self.term.token, why, "stepping down");
        self.term.advance(Phase::Unknown);
        self.leader = None;
        self.loading = None;
        self.counts.clear();
        let (rps, writes) = rates(&self.settings, false);
        self.store.set_rates(rps, writes, self.now.steady);
        let era = self.term.era;
        self.store.forget(|p| p.era().is_none_or(|e| e == era));
        self.cloud.clear();
        for (id, ..) in std::mem::take(&mut self.held_reports) {
            self.actions.push(Action::Reply(id, self.redirect()));
        }
        self.read_term();
    }

    fn on_store(&mut self, end: Finished<Purpose>) {
        if end.purpose.era().is_some_and(|era| era != self.term.era) {
            return;
        }
        let now = self.now.steady;
        match end.purpose.clone() {
            Purpose::ReadTerm => {
                if let Outcome::Page(page) = end.outcome {
                    let held = page.pairs.iter().find(|p| p.key == keys::LEADER).and_then(|p| {
                        Some((serde_json::from_value(p.value.clone()).ok()?, p.stamp))
                    });
                    self.term_key(held);
                    self.follow_term(page.epoch);
                }
            }
            Purpose::FollowTerm => {
                self.following = false;
                if let Outcome::News(news) = end.outcome {
                    for item in &news.news {
                        if item.write.as_deref() == Some(keys::LEADER)
                            && let Ok(record) = serde_json::from_value(item.value.clone())
                        {
                            self.term_key(Some((record, item.stamp)));
                        } else if item.remove.as_deref() == Some(keys::LEADER) {
                            // Of an older term than ours, the removal says nothing.
                            if !self.term.holds() || item.stamp > self.term.token {
                                self.term_key(None);
                            }
                        }
                    }
                    self.follow_term(news.epoch);
                }
            }
            Purpose::Grant { asked, .. } => match end.outcome {
                Outcome::Granted(grant) => {
                    self.term.extended_at = asked;
                    self.term.advance(Phase::Acquiring(grant));
                    let record = LeaderRecord {
                        node: self.settings.host_name.clone(),
                        process: self.process,
                    };
                    let commit = Commit {
                        when: vec![When { key: keys::LEADER.into(), stamp: 0 }],
                        apply: vec![Change::Write {
                            write: keys::LEADER.into(),
                            value: serde_json::to_value(&record).unwrap_or_default(),
                            mooring: Some(grant),
                        }],
                    };
                    let purpose = Purpose::Acquire { era: self.term.era };
                    let until = now + STORE_TIMEOUT_MS;
                    self.store.push(
                        Call::Commit(commit),
                        purpose,
                        Urgency::Term,
                        Patience::Once(until),
                    );
                }
                _ => self.campaign_failed(),
            },
            Purpose::Acquire { .. } => match end.outcome {
                Outcome::Committed(epoch) => self.acquired(epoch),
                // It may have been applied: the key tells. If it shows nothing of ours, the
                // lease is left to run out and the next campaign takes a new one.
                Outcome::Unknown => {
                    self.read_term();
                    self.campaign_failed();
                }
                _ => self.campaign_failed(),
            },
            Purpose::Extend { asked, .. } => match end.outcome {
                Outcome::Granted(_) => self.term.extended_at = self.term.extended_at.max(asked),
                Outcome::NoGrant | Outcome::Missing { .. } => self.step_down("its lease has ended"),
                _ => {}
            },
            Purpose::ReadTypes => {
                if let Outcome::Found(pair) = end.outcome
                    && self.types.is_none()
                    && let Ok(types) = serde_json::from_value::<Types>(pair.value)
                {
                    self.know_types(&types);
                }
            }
            Purpose::WriteTypes { .. } | Purpose::Sweep { .. } => {}
            ref load @ (Purpose::LoadJobs { era }
            | Purpose::LoadBindings { era }
            | Purpose::LoadSheets { era }) => self.on_load(end.outcome, era, load),
            Purpose::FollowJobs { era } => self.on_follow_jobs(end.outcome, era),
            Purpose::Flush { ref job, .. } => {
                let lost = match &mut self.leader {
                    Some(leader) => leader.on_flushed(job, &end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            Purpose::Ledger { .. } => {
                let lost = match &mut self.leader {
                    Some(leader) => leader.on_ledger(&end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            Purpose::ResolveLedger { key, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_ledger(&key, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::ResolveJob { job, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_job(&job, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::ResolveChunk { job, index, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_chunk(&job, index, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::Create { .. }
            | Purpose::ReadJob(_)
            | Purpose::ReadFinal(_)
            | Purpose::Cancel(_) => {
                self.on_user_store(end);
            }
        }
    }

    fn campaign_failed(&mut self) {
        if matches!(self.term.phase(), Phase::Granting | Phase::Acquiring(_)) {
            let wait = CAMPAIGN_RETRY_MS + self.rng.random_range(0..=CAMPAIGN_JITTER_MS);
            self.term.advance(Phase::Vacant(self.now.steady + wait));
            self.read_term();
        }
    }

    /// A page of what a new leader reads: all jobs, then all chunks, then the ledger.
    fn on_load(&mut self, outcome: Outcome, era: u64, load: &Purpose) {
        let Some(mut leader) = self.loading.take() else { return };
        let Outcome::Page(page) = outcome else {
            self.loading = Some(leader);
            return;
        };
        let (now, wall) = (self.now.steady, self.now.wall);
        let (prefix, next) = match load {
            Purpose::LoadJobs { .. } => {
                leader.load_jobs(&page, now, wall);
                (keys::JOBS, Some((keys::BINDINGS, Purpose::LoadBindings { era })))
            }
            Purpose::LoadBindings { .. } => {
                leader.load_bindings(&page, now);
                (keys::BINDINGS, Some((keys::SHEETS, Purpose::LoadSheets { era })))
            }
            _ => {
                leader.load_sheets(&page, now);
                (keys::SHEETS, None)
            }
        };
        let more = page.pairs.last().filter(|_| page.has_next).map(|p| p.key.clone());
        let (prefix, purpose) = match (&more, next) {
            (Some(_), _) => (prefix, load.clone()),
            (None, Some(next)) => next,
            (None, None) => return self.loaded(leader, era),
        };
        self.loading = Some(leader);
        let call = Call::List { prefix: prefix.into(), from: more };
        self.store.push(call, purpose, Urgency::Term, Patience::Always);
    }

    fn loaded(&mut self, mut leader: Leader, era: u64) {
        if !self.term.advance(Phase::Leading) {
            self.step_down("a newer term was seen while reading the store");
            return;
        }
        let now = self.now.steady;
        leader.index(now);
        leader.since = now;
        let from = leader.follow_from;
        tracing::info!(
            term = leader.token,
            jobs = leader.jobs.len(),
            machines = leader.machines.len(),
            "leading"
        );
        self.leader = Some(leader);
        self.follow_jobs(from, era);
        self.keep_types();
        for (id, report, relayed) in std::mem::take(&mut self.held_reports) {
            self.on_report(id, report, relayed);
        }
    }

    fn follow_jobs(&mut self, from: u64, era: u64) {
        let call = Call::Follow { prefix: keys::JOBS.into(), from };
        self.store.push(call, Purpose::FollowJobs { era }, Urgency::Term, Patience::Always);
    }

    fn on_follow_jobs(&mut self, outcome: Outcome, era: u64) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(leader) = &mut self.leader else { return };
        match outcome {
            Outcome::News(news) => {
                for item in &news.news {
                    leader.on_news(item, now, wall);
                }
                leader.follow_from = news.epoch;
                self.follow_jobs(news.epoch, era);
            }
            // Too far behind: a new term reads everything anew.
            _ => self.step_down("the watch of jobs was lost"),
        }
    }

    // ---- machine types -------------------------------------------------------------------------

    fn know_types(&mut self, types: &Types) {
        if !types.hulls.is_empty() {
            self.types = Some(Arc::new(types.hulls.iter().map(MachineType::from).collect()));
        }
    }

    fn on_cloud(&mut self, call: &cloud::Call, outcome: &cloud::Outcome) {
        self.cloud.finish(outcome, self.now.steady);
        if let cloud::Outcome::Types(types) = outcome {
            self.know_types(types);
            self.keep_types_as(types);
        }
        if let Some(leader) = &mut self.leader {
            fleet::on_cloud(leader, call, outcome, &mut ctx!(self));
        }
    }

    fn keep_types(&mut self) {
        if self.types.is_none() {
            self.types_asked = 0;
        }
    }

    /// The leader keeps the machine types in the store, for nodes that start while the cloud is
    /// away.
    fn keep_types_as(&mut self, types: &Types) {
        let Some(leader) = &self.leader else { return };
        let commit = Commit {
            when: vec![When { key: keys::LEADER.into(), stamp: leader.token }],
            apply: vec![bindings::put(keys::TYPES.into(), types)],
        };
        let purpose = Purpose::WriteTypes { era: leader.era };
        let until = self.now.steady + CLOUD_TYPES_MS;
        self.store.push(Call::Commit(commit), purpose, Urgency::Tidy, Patience::Once(until));
    }

    // ---- workers -------------------------------------------------------------------------------

    /// Where a worker should report instead.
    fn redirect(&self) -> Reply {
        let leader = self.term.leader.clone().filter(|l| *l != self.settings.host_name);
        Reply::new(421, &Redirect { harbor: leader })
    }

    fn on_report(&mut self, id: RequestId, report: Box<Report>, relayed: bool) {
        if self.term.saw(report.helm) {
            self.step_down("a worker has seen a newer token");
        }
        if self.loading.is_some() && self.held_reports.len() < HELD_REPORTS_MOST {
            self.held_reports.push((id, report, relayed));
            return;
        }
        if !self.leads() {
            // What another node has passed on is not passed on again: the two could disagree for
            // ever on who leads.
            if relayed {
                return self.actions.push(Action::Reply(id, self.redirect()));
            }
            return self.pass_on(id, report);
        }
        let reply = if !self.may_answer() {
            Reply::later("without the state service this node may not answer for the controllers")
        } else if let Some(leader) = &mut self.leader {
            let orders = leader.on_report(&report, Source::Report, &mut ctx!(self));
            Reply::new(200, &orders)
        } else {
            self.redirect()
        };
        self.actions.push(Action::Reply(id, reply));
    }

    /// Not leading: a worker's first report is passed on to the leader, so that its lease lives;
    /// the next is answered with the way there. A worker that comes back could not reach the
    /// leader (a cut between them) and is served through this node for a while. The answer passed
    /// on is always the leader's own.
    fn pass_on(&mut self, id: RequestId, report: Box<Report>) {
        let now = self.now.steady;
        let near = self.term.leader.as_ref().and_then(|l| {
            let peer = self.peers.get(l)?;
            let fresh = now.saturating_sub(peer.voucher.heard) <= BEAT_FRESH_MS;
            (fresh && peer.leads).then(|| l.clone())
        });
        if self.passed.len() >= RELAYED_MOST {
            self.passed.clear();
        }
        let passed = self.passed.entry(report.berth.clone()).or_default();
        let recent = |at: Time| at > 0 && now.saturating_sub(at) <= CAME_BACK_MS;
        let Some(leader) = near else {
            // Where this node has lost the leader, a worker of its zone will not reach it either:
            // named again and again, the leader would keep it from ever trying the third node.
            let lost = self.term.leader.as_ref().is_some_and(|l| self.peers.contains_key(l));
            let reply = if lost && report.dock == self.settings.site || recent(passed.redirected) {
                Reply::new(421, &Redirect { harbor: None })
            } else {
                passed.redirected = now;
                self.redirect()
            };
            return self.actions.push(Action::Reply(id, reply));
        };
        if now >= passed.relay_until && recent(passed.redirected) {
            passed.relay_until = now + RELAY_MS;
        } else if now >= passed.relay_until && recent(passed.relayed) {
            *passed = Passed { redirected: now, ..Passed::default() };
            let reply = self.redirect();
            return self.actions.push(Action::Reply(id, reply));
        }
        passed.relayed = now;
        passed.redirected = 0;
        self.actions.push(Action::Relay(id, leader, report));
    }

    fn on_answer(&mut self, report: &Report) {
        if self.term.saw(report.helm) {
            self.step_down("a worker has seen a newer token");
        }
        if let Some(leader) = &mut self.leader {
            leader.on_report(report, Source::Answer, &mut ctx!(self));
        }
    }

    fn may_answer(&self) -> bool {
        let workers = &self.settings.settings.workers;
        let spare = ((workers.cancel_s - workers.lease_s) * MS_PER_S) as u64;
        let limit = spare.saturating_sub(FADE_MARGIN_MS).max(FADE_LEAST_MS.min(spare / 2));
        let vouchers: Vec<Voucher> = self.peers.values().map(|p| p.voucher).collect();
        let ok = self.store.last_ok.unwrap_or(0);
        let all = self.settings.controllers();
        may_answer(self.now.steady, self.term.token, ok, limit, &vouchers, all)
    }

    // ---- controllers ---------------------------------------------------------------------------

    /// This node's heartbeat.
    pub fn beat(&self) -> Beat {
        let ok = self.store.last_ok.unwrap_or(0);
        let away = self.store.away() || self.store.last_ok.is_none();
        Beat {
            node: self.settings.host_name.clone(),
            token: self.term.highest,
            leads: self.leads(),
            store_age_ms: if away { self.now.steady.saturating_sub(ok) } else { 0 },
            counts: self.leader.as_ref().map(Leader::counts).unwrap_or_default(),
        }
    }

    fn on_beat(&mut self, beat: &Beat) {
        if !self.settings.others.iter().any(|o| o.host_name == beat.node) {
            return;
        }
        if self.term.saw(beat.token) {
            self.step_down("another controller knows a newer token");
        }
        if beat.leads && beat.token >= self.term.highest {
            self.term.held_by(&beat.node, beat.token);
            self.counts = beat.counts.iter().map(|(id, d, r)| (id.clone(), (*d, *r))).collect();
        }
        let voucher =
            Voucher { heard: self.now.steady, store_age_ms: beat.store_age_ms, token: beat.token };
        self.peers.insert(beat.node.clone(), Peer { voucher, leads: beat.leads });
    }

    /// Whether users should be sent here: not while this node alone is without the store.
    fn healthy(&self) -> bool {
        if self.store.last_ok.is_none() {
            return false;
        }
        let now = self.now.steady;
        let others_have_it = self.peers.values().any(|p| {
            now.saturating_sub(p.voucher.heard) <= BEAT_FRESH_MS && p.voucher.store_age_ms == 0
        });
        !(self.store.away() && others_have_it)
    }

    fn remember_final(&mut self, id: &JobId, record: FinalRecord) {
        if self.finals.insert(id.clone(), record).is_none() {
            self.final_order.push_back(id.clone());
            if self.final_order.len() > FINALS_CACHED
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

/// Removes records of bindings whose job is over, a few at a time.
fn sweep(leader: &mut Leader, ctx: &mut Ctx) {
    if leader.fleet.left_over.is_empty() {
        return;
    }
    let most = ctx.settings.settings.state.txn_ops;
    let left = leader.fleet.left_over.len().saturating_sub(most);
    let keys = leader.fleet.left_over.split_off(left);
    let commit = Commit {
        when: vec![When { key: keys::LEADER.into(), stamp: leader.token }],
        apply: keys.iter().map(|k| Change::Remove { remove: k.clone() }).collect(),
    };
    let purpose = Purpose::Sweep { era: leader.era, keys };
    ctx.store.push(Call::Commit(commit), purpose, Urgency::Tidy, Patience::Always);
}
