//! Small worlds in which deciders move amounts, for the explorer: every order of what they do and of what
//! becomes of their messages, with crashes, holders that stand still and wake, and settings that differ.

use crate::explorer::Small;
use std::collections::BTreeMap;
use swiftsail_quota::account::{Account, Next, Outcome, Phase};
use swiftsail_quota::records::{Holding, Key, Page, Pool, Record, Txn};
use swiftsail_quota::{Amount, Amounts};

/// The one team.
const TEAM: &str = "t";

/// A guard that is taken away on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Without {
    /// None is.
    Nothing,
    /// Transactions are not conditional on the holder's token.
    Token,
    /// Nor on the stamp of the sender's own record.
    OwnStamp,
    /// Nor on the stamp of the other record.
    OtherStamp,
    /// What a transaction on its way will leave is not looked at.
    OnItsWay,
    /// What is being stopped is not counted as used.
    Unproved,
    /// Each holder goes by its own settings alone.
    LowerLimit,
}

/// What may happen once or a few times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Chances {
    /// Crashes of a holder: it may yet wake, and does not know that another holds its decider.
    pub crashes: u8,
    /// Answers that are lost.
    pub losses: u8,
    /// Settings that change: the limit of one controller is lowered by one, or raised again.
    pub changes: u8,
}

/// What happens. Deciders and holders go by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// A holder reads the page.
    Read(usize),
    /// A holder writes down what its settings say.
    Agree(usize),
    /// A holder takes one from the pool.
    Take(usize),
    /// A holder gives one to a decider, or back to the pool.
    Give(usize, Option<usize>),
    /// A holder binds a task that uses one.
    Bind(usize),
    /// A holder wants a task stopped.
    Stop(usize),
    /// A stopped task is proved gone.
    Gone(usize),
    /// A message reaches the state service; its answer arrives or is lost.
    Arrive(usize, bool),
    /// A holder crashes; another takes its decider over.
    Crash(usize),
    /// A controller's settings are lowered or raised by one.
    Settings(usize, bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Move(Txn),
    /// Of a binding, conditional on the token.
    Bind(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    decider: usize,
    account: Account,
    token: u64,
    limit: i64,
    /// Bindings on their way.
    binding: i64,
}

/// The world.
#[derive(Debug, Clone, Hash)]
pub struct Deciders {
    without: Without,
    chances: Chances,
    stamp: u64,
    page: Page,
    /// Token of each decider.
    tokens: Vec<u64>,
    /// Tasks bound on each decider's machines and not being stopped, and those being stopped.
    bound: Vec<(i64, i64)>,
    holders: Vec<Holder>,
    /// Sender and message; one whose answer was lost may arrive again.
    packets: Vec<(usize, Message)>,
    wrong: Option<String>,
}

fn one(n: i64) -> Amounts {
    Amounts { cpus: Amount::of_parts(n), gpus: Amount::ZERO }
}

fn team(n: i64) -> BTreeMap<String, Amounts> {
    BTreeMap::from([(TEAM.to_string(), one(n))])
}

fn name(decider: usize) -> String {
    format!("d{decider}")
}

impl Deciders {
    /// So many deciders whose settings name a limit.
    pub fn new(deciders: usize, limit: i64, without: Without, chances: Chances) -> Deciders {
        let mut world = Deciders {
            without,
            chances,
            stamp: 0,
            page: Page::default(),
            tokens: vec![0; deciders],
            bound: vec![(0, 0); deciders],
            holders: Vec::new(),
            packets: Vec::new(),
            wrong: None,
        };
        for decider in 0..deciders {
            world.claim(decider, limit);
        }
        world
    }

    fn claim(&mut self, decider: usize, limit: i64) {
        self.stamp += 1;
        self.tokens[decider] = self.stamp;
        let account = Account::new(&name(decider), self.stamp);
        let holder = Holder { decider, account, token: self.stamp, limit, binding: 0 };
        self.holders.push(holder);
    }

    /// What a holder counts as used, bindings on their way included.
    fn used(&self, holder: &Holder) -> i64 {
        let (bound, leaving) = self.bound[holder.decider];
        let leaving = if self.without == Without::Unproved { 0 } else { leaving };
        bound + leaving + holder.binding
    }

    fn settings(&self, holder: usize) -> BTreeMap<String, Amounts> {
        team(self.holders[holder].limit)
    }

    fn send(&mut self, holder: usize, txn: Option<Txn>) {
        let Some(mut txn) = txn else { return };
        let own = name(self.holders[holder].decider);
        txn.when.retain(|(key, _)| match key {
            Key::Token(_) => self.without != Without::Token,
            Key::Of(d) if *d == own => self.without != Without::OwnStamp,
            _ => self.without != Without::OtherStamp,
        });
        self.packets.push((holder, Message::Move(txn)));
    }

    fn differs(&self, key: &Key, at: u64) -> bool {
        let stamp = match key {
            Key::Pool => self.page.pool.1,
            Key::Of(d) => self.page.holdings.get(d).map_or(0, |h| h.1),
            Key::Token(d) => {
                (0..self.tokens.len()).find(|n| name(*n) == *d).map_or(0, |n| self.tokens[n])
            }
        };
        stamp != at
    }

    fn arrive(&mut self, packet: usize, answered: bool) {
        let (holder, message) = self.packets[packet].clone();
        // A message whose answer is lost may arrive once more, late.
        if answered {
            self.packets.remove(packet);
        } else {
            self.chances.losses -= 1;
        }
        match message {
            Message::Bind(token) => {
                let decider = self.holders[holder].decider;
                if self.tokens[decider] == token {
                    self.bound[decider].0 += 1;
                }
                // The binding is known from the ledger, whether or not the answer came.
                self.holders[holder].binding -= 1;
                if !answered {
                    self.packets.remove(packet);
                }
            }
            Message::Move(txn) => {
                let failed: Vec<Key> = txn
                    .when
                    .iter()
                    .filter(|(key, at)| self.differs(key, *at))
                    .map(|(key, _)| key.clone())
                    .collect();
                let outcome = if failed.is_empty() {
                    self.stamp += 1;
                    for (key, record) in &txn.apply {
                        match (key, record) {
                            (Key::Pool, Record::Pool(pool)) => {
                                self.page.pool = (pool.clone(), self.stamp);
                            }
                            (Key::Of(d), Record::Holding(holding)) => {
                                let pair = (holding.clone(), self.stamp);
                                self.page.holdings.insert(d.clone(), pair);
                            }
                            _ => {}
                        }
                    }
                    Outcome::Committed(self.stamp)
                } else {
                    Outcome::Conflict(failed)
                };
                let outcome = if answered { outcome } else { Outcome::Unknown };
                let next = self.holders[holder].account.on_outcome(txn.by, &outcome);
                // What it sends again is the message that is still on its way.
                debug_assert!(!matches!(next, Next::Again(_)) || !answered);
            }
        }
    }

    fn check(&mut self) {
        if !self.page.conserved() {
            self.wrong = Some(format!("amounts are not conserved: {:?}", self.page));
        }
        let Some(kept) = self.page.pool.0.teams.get(TEAM).copied() else { return };
        let used: i64 = self.bound.iter().map(|(b, l)| b + l).sum();
        if used > kept.limit.cpus.parts() {
            self.wrong = Some(format!("quota: {used} used of {}", kept.limit.cpus.parts()));
        }
        for (d, (bound, leaving)) in self.bound.iter().enumerate() {
            let has = self.page.holdings.get(&name(d)).and_then(|(h, _)| h.has.get(TEAM));
            let has = has.map_or(0, |h| h.cpus.parts());
            if bound + leaving > has {
                self.wrong = Some(format!("{} uses {} and holds {has}", name(d), bound + leaving));
            }
        }
        let sees = self.page.holdings.values().filter_map(|(h, _)| h.sees.get(TEAM));
        let lowest = sees.map(|s| s.cpus.parts()).min().unwrap_or(i64::MAX);
        if kept.target.cpus.parts() > lowest {
            self.wrong = Some(format!(
                "a limit of {} is wanted, the lowest seen is {lowest}",
                kept.target.cpus.parts()
            ));
        }
    }
}

impl Small for Deciders {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (n, holder) in self.holders.iter().enumerate() {
            let now = self.tokens[holder.decider] == holder.token;
            match holder.account.phase() {
                Phase::Closed => continue,
                Phase::Reading | Phase::Doubtful => steps.push(Step::Read(n)),
                Phase::Moving => {}
                Phase::Open => {
                    steps.push(Step::Agree(n));
                    let known = holder.account.page().pool.0.teams.get(TEAM);
                    if known.is_some_and(|k| k.free.cpus.parts() > 0) {
                        steps.push(Step::Take(n));
                    }
                    if holder.account.has(TEAM).cpus.parts() > self.used(holder) {
                        steps.push(Step::Give(n, None));
                        let others = (0..self.tokens.len()).filter(|d| *d != holder.decider);
                        steps.extend(others.map(|d| Step::Give(n, Some(d))));
                    }
                    // What others have changed is read now and then.
                    if *holder.account.page() != self.page {
                        steps.push(Step::Read(n));
                    }
                }
            }
            let usable = match self.without {
                Without::OnItsWay => holder.account.has(TEAM),
                _ => holder.account.usable(TEAM),
            };
            if usable.cpus.parts() > self.used(holder) {
                steps.push(Step::Bind(n));
            }
            if now && self.chances.crashes > 0 {
                steps.push(Step::Crash(n));
            }
            if now && self.chances.changes > 0 {
                steps.push(Step::Settings(n, false));
                steps.push(Step::Settings(n, true));
            }
        }
        for (decider, (bound, leaving)) in self.bound.iter().enumerate() {
            if *bound > 0 {
                steps.push(Step::Stop(decider));
            }
            if *leaving > 0 {
                steps.push(Step::Gone(decider));
            }
        }
        for packet in 0..self.packets.len() {
            steps.push(Step::Arrive(packet, true));
            if self.chances.losses > 0 {
                steps.push(Step::Arrive(packet, false));
            }
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Read(n) => {
                let mut page = self.page.clone();
                if self.without == Without::LowerLimit {
                    let own = name(self.holders[n].decider);
                    let others = page.holdings.iter_mut().filter(|(d, _)| **d != own);
                    others.for_each(|(_, (h, _))| h.sees.clear());
                }
                self.holders[n].account.on_page(&page);
            }
            Step::Agree(n) => {
                let settings = self.settings(n);
                let txn = self.holders[n].account.agree(&settings);
                self.send(n, txn);
            }
            Step::Take(n) => {
                let txn = self.holders[n].account.take(&team(1));
                self.send(n, txn);
            }
            Step::Give(n, to) => {
                let used = team(self.used(&self.holders[n]));
                let to = to.map(name);
                let txn = self.holders[n].account.give(to.as_deref(), &team(1), &used);
                self.send(n, txn);
            }
            Step::Bind(n) => {
                self.holders[n].binding += 1;
                let token = self.holders[n].token;
                self.packets.push((n, Message::Bind(token)));
            }
            Step::Stop(d) => {
                self.bound[d].0 -= 1;
                self.bound[d].1 += 1;
            }
            Step::Gone(d) => self.bound[d].1 -= 1,
            Step::Arrive(packet, answered) => self.arrive(packet, answered),
            Step::Crash(n) => {
                self.chances.crashes -= 1;
                self.claim(self.holders[n].decider, self.holders[n].limit);
            }
            Step::Settings(n, up) => {
                self.chances.changes -= 1;
                self.holders[n].limit += if up { 1 } else { -1 };
            }
        }
        self.check();
    }

    fn broken(&self) -> Option<String> {
        self.wrong.clone()
    }
}

/// The records of a page as they would be with this in the pool and nothing held: where worlds begin that
/// are not about how a team becomes known.
pub fn begun(limit: i64, deciders: usize) -> Page {
    let kept = swiftsail_quota::records::Kept {
        limit: one(limit),
        target: one(limit),
        free: one(limit),
    };
    let pool = Pool { teams: BTreeMap::from([(TEAM.to_string(), kept)]) };
    let holding = |_| Holding { by: (0, 0), has: BTreeMap::new(), sees: team(limit) };
    let holdings = (0..deciders).map(|d| (name(d), (holding(d), 1))).collect();
    Page { pool: (pool, 1), holdings }
}

impl Deciders {
    /// The same, with its records written and read by all.
    pub fn begun(mut self, limit: i64) -> Deciders {
        self.page = begun(limit, self.tokens.len());
        self.stamp += 1;
        for holder in &mut self.holders {
            holder.account.on_page(&self.page);
        }
        self
    }
}
