//! A small model of quota transfers between controllers, for the model checker: every order of the controllers' steps
//! and of the delivery of their messages, with crashes, replaced processes that go on, and limits that differ between
//! the controllers' settings.
//!
//! A decider is the logical owner of a holding. A holder is a process that acts for a decider; only the latest one has
//! the decider's current fencing token. Each task of the model uses one CPU.

use crate::model_checker::Model;
use std::collections::BTreeMap;
use swiftsail_quota::account::{AccountPhase, AccountStep, QuotaAccount, TransactionOutcome};
use swiftsail_quota::records::{
    QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction,
};
use swiftsail_quota::{Quantity, ResourceQuantities};

/// The one team.
const TEAM: &str = "t";

/// A safeguard that a model leaves out, to show that the checker finds a violation without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RemovedGuard {
    /// All safeguards are in place.
    None,
    /// Transactions are not conditional on the holder's fencing token.
    FencingToken,
    /// Transactions are not conditional on the revision of the sender's own record.
    OwnRevision,
    /// Transactions are not conditional on the revision of the other record.
    OtherRevision,
    /// Transfers in flight are not subtracted from the amount that a holder may use.
    InFlightTransactions,
    /// Tasks that are being stopped do not count as used.
    UnconfirmedTerminations,
    /// Each holder applies only the limit of its own settings, instead of the lowest recorded one.
    LowestLimit,
}

/// How often each kind of fault may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    /// Takeovers of a decider by a new holder. The old holder may go on, unaware that it was replaced.
    pub crashes: u8,
    /// Lost responses of the state service.
    pub lost_answers: u8,
    /// Changes of the limit in one controller's settings, by one in either direction.
    pub limit_changes: u8,
}

/// A step of the model. Deciders and holders are identified by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuotaStep {
    /// A holder reads all quota records.
    Read(usize),
    /// A holder records the limit of its settings.
    RecordLimit(usize),
    /// A holder takes one CPU from the pool.
    TakeFromPool(usize),
    /// A holder transfers one CPU to a decider, or returns it to the pool (`None`).
    Give(usize, Option<usize>),
    /// A holder binds a task.
    BindTask(usize),
    /// A decider's task is told to stop.
    StopTask(usize),
    /// The termination of a stopping task is confirmed.
    ConfirmTermination(usize),
    /// The message at this index reaches the state service; `true` if its response arrives, `false` if it is lost.
    Deliver(usize, bool),
    /// A new holder takes over the decider of this one, which may go on.
    Crash(usize),
    /// The limit in a holder's settings changes by one: up (`true`) or down.
    ChangeLimit(usize, bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum QuotaMessage {
    Transfer(QuotaTransaction),
    /// A binding, conditional on this fencing token.
    BindTask(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct QuotaHolder {
    decider: usize,
    account: QuotaAccount,
    fencing_token: u64,
    limit: i64,
    /// Bindings sent and not yet processed by the state service.
    bindings_in_flight: i64,
}

/// A state of the model.
#[derive(Debug, Clone, Hash)]
pub struct QuotaModel {
    removed_guard: RemovedGuard,
    fault_budget: FaultBudget,
    revision: u64,
    page: QuotaPage,
    /// Current fencing token of each decider.
    fencing_tokens: Vec<u64>,
    /// Running and stopping tasks of each decider.
    bound: Vec<(i64, i64)>,
    holders: Vec<QuotaHolder>,
    /// Sender and message. A transfer whose response was lost stays, and may be delivered again.
    messages_in_flight: Vec<(usize, QuotaMessage)>,
    violation: Option<String>,
}

fn cpu_quantities(n: i64) -> ResourceQuantities {
    ResourceQuantities { cpus: Quantity::from_units(n), gpus: Quantity::ZERO }
}

fn team_quantities(n: i64) -> BTreeMap<String, ResourceQuantities> {
    BTreeMap::from([(TEAM.to_string(), cpu_quantities(n))])
}

fn decider_name(decider: usize) -> String {
    format!("d{decider}")
}

impl QuotaModel {
    /// A model in which no quota record is written yet and every holder's settings have the same limit, in tasks.
    pub fn new(
        deciders: usize,
        limit: i64,
        removed_guard: RemovedGuard,
        fault_budget: FaultBudget,
    ) -> QuotaModel {
        let mut model = QuotaModel {
            removed_guard,
            fault_budget,
            revision: 0,
            page: QuotaPage::default(),
            fencing_tokens: vec![0; deciders],
            bound: vec![(0, 0); deciders],
            holders: Vec::new(),
            messages_in_flight: Vec::new(),
            violation: None,
        };
        for decider in 0..deciders {
            model.take_over(decider, limit);
        }
        model
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

    /// The CPUs that a holder counts as used, including bindings in flight.
    fn used_units(&self, holder: &QuotaHolder) -> i64 {
        let (bound, stopping) = self.bound[holder.decider];
        let stopping =
            if self.removed_guard == RemovedGuard::UnconfirmedTerminations { 0 } else { stopping };
        bound + stopping + holder.bindings_in_flight
    }

    fn configured_limits(&self, holder: usize) -> BTreeMap<String, ResourceQuantities> {
        team_quantities(self.holders[holder].limit)
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
        let revision = match key {
            QuotaKey::Pool => self.page.pool.1,
            QuotaKey::Holding(d) => self.page.holdings.get(d).map_or(0, |h| h.1),
            QuotaKey::FencingToken(d) => (0..self.fencing_tokens.len())
                .find(|n| decider_name(*n) == *d)
                .map_or(0, |n| self.fencing_tokens[n]),
        };
        revision != at
    }

    fn deliver(&mut self, index: usize, answered: bool) {
        let (holder, message) = self.messages_in_flight[index].clone();
        // A message whose response is lost may be delivered again later.
        if answered {
            self.messages_in_flight.remove(index);
        } else {
            self.fault_budget.lost_answers -= 1;
        }
        match message {
            QuotaMessage::BindTask(token) => {
                let decider = self.holders[holder].decider;
                if self.fencing_tokens[decider] == token {
                    self.bound[decider].0 += 1;
                }
                // The holder learns of the binding from the binding records even if the response is lost.
                self.holders[holder].bindings_in_flight -= 1;
                if !answered {
                    self.messages_in_flight.remove(index);
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
                // The account resends only after a lost response; the message to resend is still in flight.
                debug_assert!(!matches!(next, AccountStep::Resend(_)) || !answered);
            }
        }
    }

    fn check(&mut self) {
        if !self.page.is_conserved() {
            self.violation = Some(format!("amounts are not conserved: {:?}", self.page));
        }
        let Some(quota) = self.page.pool.0.teams.get(TEAM).copied() else { return };
        let used: i64 = self.bound.iter().map(|(b, l)| b + l).sum();
        if used > quota.limit.cpus.units() {
            self.violation = Some(format!("quota: {used} used of {}", quota.limit.cpus.units()));
        }
        for (d, (bound, stopping)) in self.bound.iter().enumerate() {
            let held = self.page.holdings.get(&decider_name(d)).and_then(|(h, _)| h.held.get(TEAM));
            let held = held.map_or(0, |h| h.cpus.units());
            if bound + stopping > held {
                self.violation =
                    Some(format!("{} uses {} and holds {held}", decider_name(d), bound + stopping));
            }
        }
        let limits = self.page.holdings.values().filter_map(|(h, _)| h.configured_limits.get(TEAM));
        let lowest = limits.map(|s| s.cpus.units()).min().unwrap_or(i64::MAX);
        if quota.target.cpus.units() > lowest {
            self.violation = Some(format!(
                "target limit {} exceeds the lowest configured limit {lowest}",
                quota.target.cpus.units()
            ));
        }
    }
}

impl Model for QuotaModel {
    type Step = QuotaStep;

    fn enabled_steps(&self) -> Vec<QuotaStep> {
        let mut steps = Vec::new();
        for (n, holder) in self.holders.iter().enumerate() {
            let is_current = self.fencing_tokens[holder.decider] == holder.fencing_token;
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
                    if holder.account.held_amount(TEAM).cpus.units() > self.used_units(holder) {
                        steps.push(QuotaStep::Give(n, None));
                        let others =
                            (0..self.fencing_tokens.len()).filter(|d| *d != holder.decider);
                        steps.extend(others.map(|d| QuotaStep::Give(n, Some(d))));
                    }
                    // A holder may read the records again once they have changed.
                    if *holder.account.page() != self.page {
                        steps.push(QuotaStep::Read(n));
                    }
                }
            }
            let usable = match self.removed_guard {
                RemovedGuard::InFlightTransactions => holder.account.held_amount(TEAM),
                _ => holder.account.usable_amount(TEAM),
            };
            if usable.cpus.units() > self.used_units(holder) {
                steps.push(QuotaStep::BindTask(n));
            }
            if is_current && self.fault_budget.crashes > 0 {
                steps.push(QuotaStep::Crash(n));
            }
            if is_current && self.fault_budget.limit_changes > 0 {
                steps.push(QuotaStep::ChangeLimit(n, false));
                steps.push(QuotaStep::ChangeLimit(n, true));
            }
        }
        for (decider, (bound, stopping)) in self.bound.iter().enumerate() {
            if *bound > 0 {
                steps.push(QuotaStep::StopTask(decider));
            }
            if *stopping > 0 {
                steps.push(QuotaStep::ConfirmTermination(decider));
            }
        }
        for index in 0..self.messages_in_flight.len() {
            steps.push(QuotaStep::Deliver(index, true));
            if self.fault_budget.lost_answers > 0 {
                steps.push(QuotaStep::Deliver(index, false));
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
                let settings = self.configured_limits(n);
                let txn = self.holders[n].account.reconcile_limits(&settings);
                self.send(n, txn);
            }
            QuotaStep::TakeFromPool(n) => {
                let txn = self.holders[n].account.take_from_pool(&team_quantities(1));
                self.send(n, txn);
            }
            QuotaStep::Give(n, to) => {
                let used = team_quantities(self.used_units(&self.holders[n]));
                let to = to.map(decider_name);
                let txn = self.holders[n].account.transfer_holding(
                    to.as_deref(),
                    &team_quantities(1),
                    &used,
                );
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
            QuotaStep::Deliver(index, answered) => self.deliver(index, answered),
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

/// The quota records with the whole limit in the pool and nothing held by any decider: the initial state of models that
/// leave out how a team's record is first written.
pub fn initial_page(limit: i64, deciders: usize) -> QuotaPage {
    let quota = swiftsail_quota::records::TeamQuota {
        limit: cpu_quantities(limit),
        target: cpu_quantities(limit),
        free: cpu_quantities(limit),
    };
    let pool = QuotaPool { teams: BTreeMap::from([(TEAM.to_string(), quota)]) };
    let holding = |_| QuotaHolding {
        last_transaction: (0, 0),
        held: BTreeMap::new(),
        configured_limits: team_quantities(limit),
    };
    let holdings = (0..deciders).map(|d| (decider_name(d), (holding(d), 1))).collect();
    QuotaPage { pool: (pool, 1), holdings }
}

impl QuotaModel {
    /// Returns this model with its quota records written, as by [`initial_page`], and read by every holder.
    pub fn with_initial_records(mut self, limit: i64) -> QuotaModel {
        self.page = initial_page(limit, self.fencing_tokens.len());
        self.revision += 1;
        for holder in &mut self.holders {
            holder.account.on_page(&self.page);
        }
        self
    }
}
