//! One partition's account of one quota page. The safety of limits rests on this module alone: it moves quota by
//! conditional transactions, each over the records of both sides, and computes how much may be used meanwhile.
//!
//! It implements escrow (O'Neil, "The escrow transactional method", 1986) with the demarcation protocol (Barbará and
//! Garcia-Molina, 1992), with the records in the state service. Only the holder of quota gives it away, after it has
//! stopped using it, and the receiver gets it in the same transaction. So staying within a limit depends on no
//! message, no clock and no agreement with other controllers.
//!
//! An account owns its copy of the page and the one in-flight transaction. The caller reads pages, sends transactions
//! and reports their outcomes.

use crate::constants::UNLIMITED_QUANTITY;
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{
    PartitionId, QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction,
    TeamName, TeamQuota,
};
use std::collections::BTreeMap;

/// Phase of an account, which determines what it may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AccountPhase {
    /// The page has not been read yet: nothing may be used.
    Reading,
    /// The page is known and no transaction is in flight.
    Open,
    /// A transaction is in flight.
    InFlight,
    /// The outcome of a transaction is unknown: it may have been committed, or may still be.
    InDoubt,
    /// Another controller holds the partition: nothing may be used any more. Final.
    Closed,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TransactionOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Rejected, since these keys did not have their expected mod revisions.
    Conflict(Vec<QuotaKey>),
    /// No answer arrived in time.
    Unknown,
}

/// What the caller must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountStep {
    /// Nothing, until the next outcome or page.
    Wait,
    /// Read the page again.
    ReadPage,
    /// Send this transaction again. Its conditions ensure that it is committed at most once.
    Resend(QuotaTransaction),
}

/// The account of one partition on one page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaAccount {
    partition: PartitionId,
    fencing_token: u64,
    phase: AccountPhase,
    page: QuotaPage,
    last_transaction_number: u64,
    in_flight: Option<QuotaTransaction>,
}

impl QuotaAccount {
    /// The account of a partition whose holder has this fencing token. Nothing may be used before
    /// [`on_page`](QuotaAccount::on_page).
    pub fn new(partition: &str, fencing_token: u64) -> QuotaAccount {
        QuotaAccount {
            partition: partition.to_string(),
            fencing_token,
            phase: AccountPhase::Reading,
            page: QuotaPage::default(),
            last_transaction_number: 0,
            in_flight: None,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> AccountPhase {
        self.phase
    }

    /// The page as last read, with the transactions committed since.
    pub fn page(&self) -> &QuotaPage {
        &self.page
    }

    /// Changes the phase; nothing else does. [`AccountPhase::Closed`] is final.
    fn advance_phase(&mut self, to: AccountPhase) {
        if self.phase != AccountPhase::Closed {
            self.phase = to;
        }
    }

    /// This partition's holding and its mod revision.
    fn own_holding(&self) -> (QuotaHolding, u64) {
        self.page.holdings.get(&self.partition).cloned().unwrap_or_default()
    }

    /// Quota of a team that this partition holds according to the known page.
    pub fn held_amount(&self, team: &str) -> ResourceQuantities {
        let own = self.page.holdings.get(&self.partition);
        own.and_then(|(holding, _)| holding.held.get(team)).copied().unwrap_or_default()
    }

    /// Quota of a team that may be used now: the lower of the amounts held before and after the in-flight transaction.
    pub fn usable_amount(&self, team: &str) -> ResourceQuantities {
        if matches!(self.phase, AccountPhase::Reading | AccountPhase::Closed) {
            return ResourceQuantities::default();
        }
        let own_key = QuotaKey::Holding(self.partition.clone());
        let writes = self.in_flight.iter().flat_map(|transaction| &transaction.writes);
        let mut held_after = writes.filter_map(|(key, record)| match record {
            QuotaRecord::Holding(holding) if *key == own_key => {
                Some(holding.held.get(team).copied().unwrap_or_default())
            }
            _ => None,
        });
        let held = self.held_amount(team);
        held_after.next().map_or(held, |after| held.zip_with(after, Quantity::min))
    }

    /// Quota of a team that this partition must return because the limit was lowered: its proportional part, rounded
    /// up, of the difference between the limit in force and the configured limit. It is returned as soon as it is
    /// unused.
    pub fn owed_amount(&self, team: &str) -> ResourceQuantities {
        let Some(quota) = self.page.pool.0.teams.get(team) else {
            return ResourceQuantities::ZERO;
        };
        let (excess, held) = (quota.limit - quota.target, self.held_amount(team));
        ResourceQuantities {
            cpus: proportional_part(excess.cpus, held.cpus, quota.limit.cpus),
            gpus: proportional_part(excess.gpus, held.gpus, quota.limit.gpus),
        }
    }

    /// A limit from the settings, where 0 means no limit; that is represented by [`UNLIMITED_QUANTITY`].
    pub fn limits_from_settings(cpus: f64, gpus: f64) -> ResourceQuantities {
        let max = UNLIMITED_QUANTITY;
        let bounded = |limit: f64| if limit > 0.0 { limit.min(max) } else { max };
        ResourceQuantities::from_limit(bounded(cpus), bounded(gpus))
    }

    // ---- transactions ---------------------------------------------------------------------------

    /// Records the limits in this holder's settings, and sets each limit to the lowest that any holder has configured:
    /// it is lowered as soon as one holder's settings are lower, and raised only when those of all holders are higher.
    /// Returns `None` if nothing changes or the account is not open.
    pub fn reconcile_limits(
        &mut self,
        settings: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        own.configured_limits.clone_from(settings);
        let mut pool = self.page.pool.0.clone();
        let teams: Vec<TeamName> = pool.teams.keys().chain(settings.keys()).cloned().collect();
        for team in teams {
            let lowest = self.lowest_configured_limit(&team, &own);
            let new_team = TeamQuota { limit: lowest, target: lowest, free: lowest };
            let quota = pool.teams.entry(team).or_insert(new_team);
            let increase = lowest.excess_over(quota.limit);
            quota.target = lowest;
            quota.limit += increase;
            quota.free += increase;
            lower_limit_by_free(quota);
        }
        let is_held = |team: &TeamName| {
            self.page.holdings.values().any(|(holding, _)| holding.held.contains_key(team))
        };
        pool.teams.retain(|team, quota| {
            !quota.limit.is_zero() || !quota.target.is_zero() || is_held(team)
        });
        let (recorded, mod_revision) = self.own_holding();
        if own == recorded && pool == self.page.pool.0 && mod_revision > 0 {
            return None;
        }
        // The pool is always part of the transaction, so that of two concurrent writers one has a conflict.
        Some(self.begin_transaction(own, Some(pool), None))
    }

    /// The lowest limit that any holder has configured for a team; zero if no settings contain the team.
    fn lowest_configured_limit(&self, team: &str, own: &QuotaHolding) -> ResourceQuantities {
        let others = self.page.holdings.iter().filter(|(other, _)| **other != self.partition);
        others
            .map(|(_, (holding, _))| holding)
            .chain([own])
            .filter_map(|holding| holding.configured_limits.get(team).copied())
            .reduce(|lowest, other| lowest.zip_with(other, Quantity::min))
            .unwrap_or_default()
    }

    /// Takes the wanted amounts from the pool, or as much of them as is free. Returns `None` if nothing of them is free
    /// or the account is not open.
    pub fn take_from_pool(
        &mut self,
        wanted: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        let mut pool = self.page.pool.0.clone();
        let mut takes_any = false;
        for (team, wanted) in wanted {
            let Some(quota) = pool.teams.get_mut(team) else { continue };
            let amount = non_negative_min(*wanted, quota.free);
            takes_any |= !amount.is_zero();
            quota.free -= amount;
            *own.held.entry(team.clone()).or_default() += amount;
        }
        takes_any.then(|| self.begin_transaction(own, Some(pool), None))
    }

    /// Transfers quota to another partition, or returns it to the pool if `to` is `None` or this partition. At most the
    /// quota beside `used` is transferred; `used` must include all tasks that are not confirmed terminated. Returns
    /// `None` if there is nothing to transfer, the receiver is not on the page, or the account is not open.
    pub fn transfer_holding(
        &mut self,
        to: Option<&str>,
        amounts: &BTreeMap<TeamName, ResourceQuantities>,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        let mut pool = self.page.pool.0.clone();
        let mut receiver = match to.filter(|to| **to != self.partition) {
            Some(to) => Some((to.to_string(), self.page.holdings.get(to)?.clone())),
            None => None,
        };
        let mut transfers_any = false;
        for (team, requested) in amounts {
            let (Some(held), Some(quota)) = (own.held.get_mut(team), pool.teams.get_mut(team))
            else {
                continue;
            };
            let unused = held.excess_over(used.get(team).copied().unwrap_or_default());
            let amount = non_negative_min(*requested, unused);
            if amount.is_zero() {
                continue;
            }
            transfers_any = true;
            *held -= amount;
            match &mut receiver {
                Some((_, (holding, _))) => *holding.held.entry(team.clone()).or_default() += amount,
                None => {
                    quota.free += amount;
                    lower_limit_by_free(quota);
                }
            }
        }
        if !transfers_any {
            return None;
        }
        own.held.retain(|_, held| !held.is_zero());
        let pool = receiver.is_none().then_some(pool);
        Some(self.begin_transaction(own, pool, receiver))
    }

    /// Deletes this partition's holding, which must be empty; its configured limits then no longer count. Returns
    /// `None` if the partition holds quota, has no record, or the account is not open.
    pub fn remove_holding(&mut self) -> Option<QuotaTransaction> {
        let own = self.holding_if_open()?;
        if !own.held.is_empty() || self.own_holding().1 == 0 {
            return None;
        }
        let mut transaction = self.begin_transaction(own, None, None);
        transaction.writes =
            vec![(QuotaKey::Holding(self.partition.clone()), QuotaRecord::Removed)];
        self.in_flight = Some(transaction.clone());
        Some(transaction)
    }

    /// This partition's holding, if a transaction may begin.
    fn holding_if_open(&self) -> Option<QuotaHolding> {
        (self.phase == AccountPhase::Open).then(|| self.own_holding().0)
    }

    /// Begins a transaction over this partition's holding and the pool or another holding, conditional on their mod
    /// revisions and on the fencing token.
    fn begin_transaction(
        &mut self,
        mut own: QuotaHolding,
        pool: Option<QuotaPool>,
        receiver: Option<(PartitionId, (QuotaHolding, u64))>,
    ) -> QuotaTransaction {
        self.last_transaction_number += 1;
        let id = (self.fencing_token, self.last_transaction_number);
        own.last_transaction = id;
        let own_key = QuotaKey::Holding(self.partition.clone());
        let token_key = QuotaKey::FencingToken(self.partition.clone());
        let mut conditions =
            vec![(token_key, self.fencing_token), (own_key.clone(), self.own_holding().1)];
        let mut writes = vec![(own_key, QuotaRecord::Holding(own))];
        if let Some(pool) = pool {
            conditions.push((QuotaKey::Pool, self.page.pool.1));
            writes.push((QuotaKey::Pool, QuotaRecord::Pool(pool)));
        }
        if let Some((partition, (holding, mod_revision))) = receiver {
            conditions.push((QuotaKey::Holding(partition.clone()), mod_revision));
            writes.push((QuotaKey::Holding(partition), QuotaRecord::Holding(holding)));
        }
        let transaction = QuotaTransaction { id, conditions, writes };
        self.in_flight = Some(transaction.clone());
        self.advance_phase(AccountPhase::InFlight);
        transaction
    }

    // ---- outcomes and pages ----------------------------------------------------------------------

    /// Handles the outcome of the transaction with this id; outcomes of other than the in-flight transaction are
    /// ignored. After a conflict the page must be read: an earlier attempt of the same transaction may have been
    /// committed.
    pub fn on_outcome(&mut self, id: (u64, u64), outcome: &TransactionOutcome) -> AccountStep {
        let Some(transaction) = self.in_flight.clone().filter(|in_flight| in_flight.id == id)
        else {
            return AccountStep::Wait;
        };
        match outcome {
            TransactionOutcome::Committed(mod_revision) => {
                for (key, record) in transaction.writes {
                    self.apply_record(key, record, *mod_revision);
                }
                self.in_flight = None;
                self.advance_phase(AccountPhase::Open);
                AccountStep::Wait
            }
            TransactionOutcome::Conflict(keys)
                if keys.contains(&QuotaKey::FencingToken(self.partition.clone())) =>
            {
                self.close();
                AccountStep::Wait
            }
            TransactionOutcome::Conflict(_) => {
                self.advance_phase(AccountPhase::InDoubt);
                AccountStep::ReadPage
            }
            TransactionOutcome::Unknown => {
                self.advance_phase(AccountPhase::InDoubt);
                AccountStep::Resend(transaction)
            }
        }
    }

    /// Updates the known page from a read. Records older than the known ones are ignored.
    pub fn on_page(&mut self, page: &QuotaPage) {
        if self.phase == AccountPhase::Closed {
            return;
        }
        if page.pool.1 >= self.page.pool.1 {
            self.page.pool = page.pool.clone();
        }
        // A holding missing from the page was deleted, unless a later transaction of this account wrote it.
        let newest = page.holdings.values().map(|holding| holding.1).fold(page.pool.1, u64::max);
        self.page.holdings.retain(|partition, (_, mod_revision)| {
            page.holdings.contains_key(partition) || *mod_revision > newest
        });
        for (partition, read) in &page.holdings {
            if read.1 >= self.holding_mod_revision(partition) {
                self.page.holdings.insert(partition.clone(), read.clone());
            }
        }
        if self.is_in_flight_settled() {
            self.in_flight = None;
        }
        let phase = if self.in_flight.is_some() { self.phase } else { AccountPhase::Open };
        self.advance_phase(phase);
    }

    /// Whether the known page shows that the in-flight transaction was committed, or that it never can be because one
    /// of its conditions no longer holds. Otherwise it may still be committed.
    fn is_in_flight_settled(&self) -> bool {
        let Some(transaction) = &self.in_flight else { return false };
        let mod_revision = |key: &QuotaKey| match key {
            QuotaKey::Pool => Some(self.page.pool.1),
            QuotaKey::Holding(partition) => Some(self.holding_mod_revision(partition)),
            QuotaKey::FencingToken(_) => None,
        };
        let can_never_commit = transaction
            .conditions
            .iter()
            .any(|(key, expected)| mod_revision(key).is_some_and(|found| found != *expected));
        self.own_holding().0.last_transaction == transaction.id || can_never_commit
    }

    /// The known mod revision of a partition's holding; 0 means that there is none.
    fn holding_mod_revision(&self, partition: &str) -> u64 {
        self.page.holdings.get(partition).map_or(0, |(_, mod_revision)| *mod_revision)
    }

    /// Closes the account, because another controller holds the partition.
    pub fn close(&mut self) {
        self.in_flight = None;
        self.advance_phase(AccountPhase::Closed);
    }

    fn apply_record(&mut self, key: QuotaKey, record: QuotaRecord, mod_revision: u64) {
        match (key, record) {
            (QuotaKey::Pool, QuotaRecord::Pool(pool)) if mod_revision > self.page.pool.1 => {
                self.page.pool = (pool, mod_revision);
            }
            (QuotaKey::Holding(partition), QuotaRecord::Removed) => {
                self.page.holdings.remove(&partition);
            }
            (QuotaKey::Holding(partition), QuotaRecord::Holding(holding))
                if mod_revision > self.holding_mod_revision(&partition) =>
            {
                self.page.holdings.insert(partition, (holding, mod_revision));
            }
            _ => {}
        }
    }
}

/// Reduces a limit that is above its target by the free quota.
fn lower_limit_by_free(quota: &mut TeamQuota) {
    let reduction = quota.limit.excess_over(quota.target).zip_with(quota.free, Quantity::min);
    quota.limit -= reduction;
    quota.free -= reduction;
}

/// The lower of two quantities per resource, but not below zero.
fn non_negative_min(one: ResourceQuantities, other: ResourceQuantities) -> ResourceQuantities {
    one.zip_with(other, |one, other| one.min(other).max(Quantity::ZERO))
}

/// `excess * held / limit`, rounded up.
fn proportional_part(excess: Quantity, held: Quantity, limit: Quantity) -> Quantity {
    let (excess, held) = (i128::from(excess.units()), i128::from(held.units()));
    let limit = i128::from(limit.units()).max(1);
    let part = (excess * held + limit - 1) / limit;
    Quantity::from_units(i64::try_from(part).unwrap_or(i64::MAX))
}
