//! Small worlds in which deciders move amounts, for the explorer: every order of what they do and of what
//! becomes of their messages, with crashes, holders that stand still and wake, and settings that differ.

use crate::model_checker::Model;
use std::collections::BTreeMap;
use swiftsail_quota::account::{AccountPhase, AccountStep, QuotaAccount, TransactionOutcome};
use swiftsail_quota::records::{
    QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction,
};
use swiftsail_quota::{Quantity, ResourceQuantities};

/// The one team.
const TEAM: &str = "t";

/// A guard that is taken away on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RemovedGuard {
    /// None is.
    None,
    /// Transactions are not conditional on the holder's token.
    FencingToken,
    /// Nor on the stamp of the sender's own record.
    OwnRevision,
    /// Nor on the stamp of the other record.
    OtherRevision,
    /// What a transaction on its way will leave is not looked at.
    InFlightTransactions,
    /// What is being stopped is not counted as used.
    UnconfirmedTerminations,
    /// Each holder goes by its own settings alone.
    LowestLimit,
}

/// What may happen once or a few times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    /// Crashes of a holder: it may yet wake, and does not know that another holds its decider.
    pub crashes: u8,
    /// Answers that are lost.
    pub lost_answers: u8,
    /// Settings that change: the limit of one controller is lowered by one, or raised again.
    pub limit_changes: u8,
}

/// What happens. Deciders and holders go by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuotaStep {
    /// A holder reads the page.
    Read(usize),
    /// A holder writes down what its settings say.
    RecordLimit(usize),
    /// A holder takes one from the pool.
    TakeFromPool(usize),
    /// A holder gives one to a decider, or back to the pool.
    Give(usize, Option<usize>),
    /// A holder binds a task that uses one.
    BindTask(usize),
    /// A holder wants a task stopped.
    StopTask(usize),
    /// A stopped task is proved gone.
    ConfirmTermination(usize),
    /// A message reaches the state service; its answer arrives or is lost.
    Deliver(usize, bool),
    /// A holder crashes; another takes its decider over.
    Crash(usize),
    /// A controller's settings are lowered or raised by one.
    ChangeLimit(usize, bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum QuotaMessage {
    Transfer(QuotaTransaction),
    /// Of a binding, conditional on the token.
    BindTask(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct QuotaHolder {
    decider: usize,
    account: QuotaAccount,
    fencing_token: u64,
    limit: i64,
    /// Bindings on their way.
    bindings_in_flight: i64,
}

/// The world.
#[derive(Debug, Clone, Hash)]
pub struct QuotaModel {
    removed_guard: RemovedGuard,
    fault_budget: FaultBudget,
    revision: u64,
    page: QuotaPage,
    /// Token of each decider.
    fencing_tokens: Vec<u64>,
    /// Tasks bound on each decider's machines and not being stopped, and those being stopped.
    bound: Vec<(i64, i64)>,
    holders: Vec<QuotaHolder>,
    /// Sender and message; one whose answer was lost may arrive again.
    messages_in_flight: Vec<(usize, QuotaMessage)>,
    violation: Option<String>,
}

fn cpu_parts(n: i64) -> ResourceQuantities {
    ResourceQuantities { cpus: Quantity::from_units(n), gpus: Quantity::ZERO }
}

fn team_parts(n: i64) -> BTreeMap<String, ResourceQuantities> {
    BTreeMap::from([(TEAM.to_string(), cpu_parts(n))])
}

fn decider_name(decider: usize) -> String {
    format!("d{decider}")
}

impl QuotaModel {
    /// So many deciders whose settings name a limit.
    pub fn new(
        deciders: usize,
        limit: i64,
        without: RemovedGuard,
        chances: FaultBudget,
    ) -> QuotaModel {
        let mut world = QuotaModel {
            removed_guard: without,
            fault_budget: chances,
            revision: 0,
            page: QuotaPage::default(),
            fencing_tokens: vec![0; deciders],
            bound: vec![(0, 0); deciders],
            holders: Vec::new(),
            messages_in_flight: Vec::new(),
            violation: None,
        };
        for decider in 0..deciders {
            world.take_over(decider, limit);
        }
        world
    }

    fn take_over(&mut self, decider: usize, limit: i64) {
        self.revision += 1;
        self.fencing_tokens[decider] = self.revision;
        let account = QuotaAccount::new(&decider_name(decider), self.revision);
        let holder = QuotaHolder {
            decider,
            account,
            fencing_token: self.revision,
            limit,
            bindings_in_flight: 0,
        };
        self.holders.push(holder);
    }

    /// What a holder counts as used, bindings on their way included.
    fn used_parts(&self, holder: &QuotaHolder) -> i64 {
        let (bound, leaving) = self.bound[holder.decider];
        let leaving =
            if self.removed_guard == RemovedGuard::UnconfirmedTerminations { 0 } else { leaving };
        bound + leaving + holder.bindings_in_flight
    }

    fn settings_of(&self, holder: usize) -> BTreeMap<String, ResourceQuantities> {
        team_parts(self.holders[holder].limit)
    }

    fn send(&mut self, holder: usize, txn: Option<QuotaTransaction>) {
        let Some(mut txn) = txn else { return };
        let own = decider_name(self.holders[holder].decider);
        txn.conditions.retain(|(key, _)| match key {
            QuotaKey::FencingToken(_) => self.removed_guard != RemovedGuard::FencingToken,
            QuotaKey::Holding(d) if *d == own => self.removed_guard != RemovedGuard::OwnRevision,
            _ => self.removed_guard != RemovedGuard::OtherRevision,
        });
        self.messages_in_flight.push((holder, QuotaMessage::Transfer(txn)));
    }

    fn revision_differs(&self, key: &QuotaKey, at: u64) -> bool {
        let stamp = match key {
            QuotaKey::Pool => self.page.pool.1,
            QuotaKey::Holding(d) => self.page.holdings.get(d).map_or(0, |h| h.1),
            QuotaKey::FencingToken(d) => (0..self.fencing_tokens.len())
                .find(|n| decider_name(*n) == *d)
                .map_or(0, |n| self.fencing_tokens[n]),
        };
        stamp != at
    }

    fn deliver(&mut self, packet: usize, answered: bool) {
        let (holder, message) = self.messages_in_flight[packet].clone();
        // A message whose answer is lost may arrive once more, late.
        if answered {
            self.messages_in_flight.remove(packet);
        } else {
            self.fault_budget.lost_answers -= 1;
        }
        match message {
            QuotaMessage::BindTask(token) => {
                let decider = self.holders[holder].decider;
                if self.fencing_tokens[decider] == token {
                    self.bound[decider].0 += 1;
                }
                // The binding is known from the ledger, whether or not the answer came.
                self.holders[holder].bindings_in_flight -= 1;
                if !answered {
                    self.messages_in_flight.remove(packet);
                }
            }
            QuotaMessage::Transfer(txn) => {
                let failed: Vec<QuotaKey> = txn
                    .conditions
                    .iter()
                    .filter(|(key, at)| self.revision_differs(key, *at))
                    .map(|(key, _)| key.clone())
                    .collect();
                let outcome = if failed.is_empty() {
                    self.revision += 1;
                    for (key, record) in &txn.writes {
                        match (key, record) {
                            (QuotaKey::Pool, QuotaRecord::Pool(pool)) => {
                                self.page.pool = (pool.clone(), self.revision);
                            }
                            (QuotaKey::Holding(d), QuotaRecord::Holding(holding)) => {
                                let pair = (holding.clone(), self.revision);
                                self.page.holdings.insert(d.clone(), pair);
                            }
                            _ => {}
                        }
                    }
                    TransactionOutcome::Committed(self.revision)
                } else {
                    TransactionOutcome::Conflict(failed)
                };
                let outcome = if answered { outcome } else { TransactionOutcome::Unknown };
                let next = self.holders[holder].account.on_outcome(txn.id, &outcome);
                // What it sends again is the message that is still on its way.
                debug_assert!(!matches!(next, AccountStep::Resend(_)) || !answered);
            }
        }
    }

    fn check(&mut self) {
        if !self.page.is_conserved() {
            self.violation = Some(format!("amounts are not conserved: {:?}", self.page));
        }
        let Some(kept) = self.page.pool.0.teams.get(TEAM).copied() else { return };
        let used: i64 = self.bound.iter().map(|(b, l)| b + l).sum();
        if used > kept.limit.cpus.units() {
            self.violation = Some(format!("quota: {used} used of {}", kept.limit.cpus.units()));
        }
        for (d, (bound, leaving)) in self.bound.iter().enumerate() {
            let has = self.page.holdings.get(&decider_name(d)).and_then(|(h, _)| h.held.get(TEAM));
            let has = has.map_or(0, |h| h.cpus.units());
            if bound + leaving > has {
                self.violation =
                    Some(format!("{} uses {} and holds {has}", decider_name(d), bound + leaving));
            }
        }
        let sees = self.page.holdings.values().filter_map(|(h, _)| h.configured_limits.get(TEAM));
        let lowest = sees.map(|s| s.cpus.units()).min().unwrap_or(i64::MAX);
        if kept.target.cpus.units() > lowest {
            self.violation = Some(format!(
                "a limit of {} is wanted, the lowest seen is {lowest}",
                kept.target.cpus.units()
            ));
        }
    }
}

impl Model for QuotaModel {
    type Step = QuotaStep;

    fn enabled_steps(&self) -> Vec<QuotaStep> {
        let mut steps = Vec::new();
        for (n, holder) in self.holders.iter().enumerate() {
            let now = self.fencing_tokens[holder.decider] == holder.fencing_token;
            match holder.account.phase() {
                AccountPhase::Closed => continue,
                AccountPhase::Reading | AccountPhase::InDoubt => steps.push(QuotaStep::Read(n)),
                AccountPhase::InFlight => {}
                AccountPhase::Open => {
                    steps.push(QuotaStep::RecordLimit(n));
                    let known = holder.account.page().pool.0.teams.get(TEAM);
                    if known.is_some_and(|k| k.free.cpus.units() > 0) {
                        steps.push(QuotaStep::TakeFromPool(n));
                    }
                    if holder.account.held_amount(TEAM).cpus.units() > self.used_parts(holder) {
                        steps.push(QuotaStep::Give(n, None));
                        let others =
                            (0..self.fencing_tokens.len()).filter(|d| *d != holder.decider);
                        steps.extend(others.map(|d| QuotaStep::Give(n, Some(d))));
                    }
                    // What others have changed is read now and then.
                    if *holder.account.page() != self.page {
                        steps.push(QuotaStep::Read(n));
                    }
                }
            }
            let usable = match self.removed_guard {
                RemovedGuard::InFlightTransactions => holder.account.held_amount(TEAM),
                _ => holder.account.usable_amount(TEAM),
            };
            if usable.cpus.units() > self.used_parts(holder) {
                steps.push(QuotaStep::BindTask(n));
            }
            if now && self.fault_budget.crashes > 0 {
                steps.push(QuotaStep::Crash(n));
            }
            if now && self.fault_budget.limit_changes > 0 {
                steps.push(QuotaStep::ChangeLimit(n, false));
                steps.push(QuotaStep::ChangeLimit(n, true));
            }
        }
        for (decider, (bound, leaving)) in self.bound.iter().enumerate() {
            if *bound > 0 {
                steps.push(QuotaStep::StopTask(decider));
            }
            if *leaving > 0 {
                steps.push(QuotaStep::ConfirmTermination(decider));
            }
        }
        for packet in 0..self.messages_in_flight.len() {
            steps.push(QuotaStep::Deliver(packet, true));
            if self.fault_budget.lost_answers > 0 {
                steps.push(QuotaStep::Deliver(packet, false));
            }
        }
        steps
    }

    fn apply(&mut self, step: &QuotaStep) {
        match *step {
            QuotaStep::Read(n) => {
                let mut page = self.page.clone();
                if self.removed_guard == RemovedGuard::LowestLimit {
                    let own = decider_name(self.holders[n].decider);
                    let others = page.holdings.iter_mut().filter(|(d, _)| **d != own);
                    others.for_each(|(_, (h, _))| h.configured_limits.clear());
                }
                self.holders[n].account.on_page(&page);
            }
            QuotaStep::RecordLimit(n) => {
                let settings = self.settings_of(n);
                let txn = self.holders[n].account.reconcile_limits(&settings);
                self.send(n, txn);
            }
            QuotaStep::TakeFromPool(n) => {
                let txn = self.holders[n].account.take_from_pool(&team_parts(1));
                self.send(n, txn);
            }
            QuotaStep::Give(n, to) => {
                let used = team_parts(self.used_parts(&self.holders[n]));
                let to = to.map(decider_name);
                let txn =
                    self.holders[n].account.transfer_holding(to.as_deref(), &team_parts(1), &used);
                self.send(n, txn);
            }
            QuotaStep::BindTask(n) => {
                self.holders[n].bindings_in_flight += 1;
                let token = self.holders[n].fencing_token;
                self.messages_in_flight.push((n, QuotaMessage::BindTask(token)));
            }
            QuotaStep::StopTask(d) => {
                self.bound[d].0 -= 1;
                self.bound[d].1 += 1;
            }
            QuotaStep::ConfirmTermination(d) => self.bound[d].1 -= 1,
            QuotaStep::Deliver(packet, answered) => self.deliver(packet, answered),
            QuotaStep::Crash(n) => {
                self.fault_budget.crashes -= 1;
                self.take_over(self.holders[n].decider, self.holders[n].limit);
            }
            QuotaStep::ChangeLimit(n, up) => {
                self.fault_budget.limit_changes -= 1;
                self.holders[n].limit += if up { 1 } else { -1 };
            }
        }
        self.check();
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }
}

/// The records of a page as they would be with this in the pool and nothing held: where worlds begin that
/// are not about how a team becomes known.
pub fn initial_page(limit: i64, deciders: usize) -> QuotaPage {
    let kept = swiftsail_quota::records::TeamQuota {
        limit: cpu_parts(limit),
        target: cpu_parts(limit),
        free: cpu_parts(limit),
    };
    let pool = QuotaPool { teams: BTreeMap::from([(TEAM.to_string(), kept)]) };
    let holding = |_| QuotaHolding {
        last_transaction: (0, 0),
        held: BTreeMap::new(),
        configured_limits: team_parts(limit),
    };
    let holdings = (0..deciders).map(|d| (decider_name(d), (holding(d), 1))).collect();
    QuotaPage { pool: (pool, 1), holdings }
}

impl QuotaModel {
    /// The same, with its records written and read by all.
    pub fn with_initial_records(mut self, limit: i64) -> QuotaModel {
        self.page = initial_page(limit, self.fencing_tokens.len());
        self.revision += 1;
        for holder in &mut self.holders {
            holder.account.on_page(&self.page);
        }
        self
    }
}
