//! A decider's account of one page: the part that must never be wrong. It moves amounts by conditional
//! transactions, each over the records on both sides, and says what may be used meanwhile.
//!
//! Escrow (O'Neil, "The escrow transactional method", 1986) and the demarcation protocol (Barbará and
//! Garcia-Molina, 1992) with the state service as the record: whoever holds an amount alone lowers it, after
//! it has ceased to use it, and what is raised was lowered in the same transaction. So no message, clock or
//! second opinion is needed to be within a limit.

use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{
    PartitionId, QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction,
    TeamName, TeamQuota,
};
use std::collections::BTreeMap;

/// Where an account stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AccountPhase {
    /// Its records are not known: nothing may be used.
    Reading,
    /// Known; no transaction on its way.
    Open,
    /// A transaction is on its way.
    InFlight,
    /// One had no answer: it may be applied, or may yet be.
    InDoubt,
    /// Another holds the decider: nothing may be used, for good.
    Closed,
}

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TransactionOutcome {
    /// Applied at this revision.
    Committed(u64),
    /// Not applied: these keys differ.
    Conflict(Vec<QuotaKey>),
    /// Not known.
    Unknown,
}

/// What an account wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountStep {
    /// Nothing.
    Wait,
    /// Read the page.
    ReadPage,
    /// Send this again: it is applied at most once.
    Resend(QuotaTransaction),
}

/// An account.
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
    /// The account of a holder with this token; its records are to be read.
    pub fn new(decider: &str, fencing_token: u64) -> QuotaAccount {
        QuotaAccount {
            partition: decider.to_string(),
            fencing_token,
            phase: AccountPhase::Reading,
            page: QuotaPage::default(),
            last_transaction_number: 0,
            in_flight: None,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> AccountPhase {
        self.phase
    }

    /// The page as last known.
    pub fn page(&self) -> &QuotaPage {
        &self.page
    }

    /// The one function that changes the phase. Closed is for good.
    fn advance_phase(&mut self, to: AccountPhase) {
        if self.phase != AccountPhase::Closed {
            self.phase = to;
        }
    }

    fn own_holding(&self) -> (QuotaHolding, u64) {
        self.page.holdings.get(&self.partition).cloned().unwrap_or_default()
    }

    /// What the holder has of a team, as far as known.
    pub fn held_amount(&self, team: &str) -> ResourceQuantities {
        let own = self.page.holdings.get(&self.partition);
        own.and_then(|(h, _)| h.held.get(team)).copied().unwrap_or_default()
    }

    /// What may be used of a team now: no more than before or after whatever is on its way.
    pub fn usable_amount(&self, team: &str) -> ResourceQuantities {
        if matches!(self.phase, AccountPhase::Reading | AccountPhase::Closed) {
            return ResourceQuantities::default();
        }
        let after = self.in_flight.iter().flat_map(|f| &f.writes).find_map(|(key, record)| {
            let own = *key == QuotaKey::Holding(self.partition.clone());
            let QuotaRecord::Holding(holding) = record else { return None };
            own.then(|| holding.held.get(team).copied().unwrap_or_default())
        });
        let has = self.held_amount(team);
        after.map_or(has, |after| has.zip_with(after, Quantity::min))
    }

    /// This decider's part of what a lowered limit is still above what is wanted.
    pub fn owed_amount(&self, team: &str) -> ResourceQuantities {
        let Some(kept) = self.page.pool.0.teams.get(team) else {
            return ResourceQuantities::default();
        };
        let part = |owed: Quantity, has: Quantity, limit: Quantity| {
            let (owed, has) = (i128::from(owed.units()), i128::from(has.units()));
            let limit = i128::from(limit.units()).max(1);
            Quantity::from_units(
                i64::try_from((owed * has + limit - 1) / limit).unwrap_or(i64::MAX),
            )
        };
        let (owed, has) = (kept.limit - kept.target, self.held_amount(team));
        ResourceQuantities {
            cpus: part(owed.cpus, has.cpus, kept.limit.cpus),
            gpus: part(owed.gpus, has.gpus, kept.limit.gpus),
        }
    }

    /// A limit in the settings.
    pub fn limits_from_settings(cpus: f64, gpus: f64) -> ResourceQuantities {
        let most = crate::constants::UNLIMITED_QUANTITY;
        let cap = |limit: f64| if limit > 0.0 { limit.min(most) } else { most };
        ResourceQuantities::from_limit(cap(cpus), cap(gpus))
    }

    // ---- moves ---------------------------------------------------------------------------------

    /// Writes down what this holder's settings say, and changes limits where that is allowed: a limit is
    /// lowered as soon as any holder's settings are lower, and raised only when all holders' are higher.
    /// None: nothing to do, or not now.
    pub fn reconcile_limits(
        &mut self,
        settings: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        own.configured_limits.clone_from(settings);
        let mut pool = self.page.pool.0.clone();
        // What no settings name is wanted by nobody.
        let teams: Vec<TeamName> = pool.teams.keys().chain(settings.keys()).cloned().collect();
        for team in teams {
            let others = self.page.holdings.iter().filter(|(d, _)| **d != self.partition);
            let seen = others.filter_map(|(_, (h, _))| h.configured_limits.get(&team));
            let seen = seen.chain(own.configured_limits.get(&team)).copied();
            let lowest = seen.reduce(|a, b| a.zip_with(b, Quantity::min)).unwrap_or_default();
            let fresh = TeamQuota { limit: lowest, target: lowest, free: lowest };
            let kept = pool.teams.entry(team).or_insert(fresh);
            let more = lowest.zip_with(kept.limit, |to, limit| (to - limit).max(Quantity::ZERO));
            kept.target = lowest;
            (kept.limit, kept.free) = (kept.limit + more, kept.free + more);
            lower_limit_by_free(kept);
        }
        let empty = |k: &TeamQuota| {
            k.limit == ResourceQuantities::default() && k.target == ResourceQuantities::default()
        };
        let used = |t: &TeamName| self.page.holdings.values().any(|(h, _)| h.held.contains_key(t));
        pool.teams.retain(|team, kept| !empty(kept) || used(team));
        if own == self.own_holding().0 && pool == self.page.pool.0 && self.own_holding().1 > 0 {
            return None;
        }
        // Whoever writes down what its settings say writes the pool too: of two at once one must read again.
        Some(self.begin_transaction(own, Some(pool), None))
    }

    /// Takes from the pool what there is of what is wanted.
    pub fn take_from_pool(
        &mut self,
        wants: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        let mut pool = self.page.pool.0.clone();
        let mut some = false;
        for (team, want) in wants {
            let Some(kept) = pool.teams.get_mut(team) else { continue };
            let part = want.zip_with(kept.free, |w, free| w.min(free).max(Quantity::ZERO));
            some |= part != ResourceQuantities::default();
            kept.free -= part;
            *own.held.entry(team.clone()).or_default() += part;
        }
        some.then(|| self.begin_transaction(own, Some(pool), None))
    }

    /// Gives amounts to another decider, or back to the pool: at most what is not `used`, everything not
    /// proved gone counted.
    pub fn transfer_holding(
        &mut self,
        to: Option<&str>,
        gifts: &BTreeMap<TeamName, ResourceQuantities>,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let mut own = self.holding_if_open()?;
        let mut pool = self.page.pool.0.clone();
        let mut other = match to.filter(|to| **to != self.partition) {
            Some(to) => Some((to.to_string(), self.page.holdings.get(to)?.clone())),
            None => None,
        };
        let mut some = false;
        for (team, gift) in gifts {
            let (Some(has), Some(kept)) = (own.held.get_mut(team), pool.teams.get_mut(team)) else {
                continue;
            };
            let used = used.get(team).copied().unwrap_or_default();
            let spare = has.zip_with(used, |has, used| (has - used).max(Quantity::ZERO));
            let part = gift.zip_with(spare, |g, spare| g.min(spare).max(Quantity::ZERO));
            if part == ResourceQuantities::default() {
                continue;
            }
            some = true;
            *has -= part;
            match &mut other {
                Some((_, (holding, _))) => {
                    *holding.held.entry(team.clone()).or_default() += part;
                }
                None => {
                    kept.free += part;
                    lower_limit_by_free(kept);
                }
            }
        }
        own.held.retain(|_, has| *has != ResourceQuantities::default());
        if !some {
            return None;
        }
        let pool = other.is_none().then_some(pool);
        Some(self.begin_transaction(own, pool, other))
    }

    /// Takes the decider off the page, once it holds nothing: its settings then no longer count.
    pub fn remove_holding(&mut self) -> Option<QuotaTransaction> {
        let own = self.holding_if_open()?;
        if !own.held.is_empty() || self.own_holding().1 == 0 {
            return None;
        }
        let mut txn = self.begin_transaction(own, None, None);
        txn.writes = vec![(QuotaKey::Holding(self.partition.clone()), QuotaRecord::Removed)];
        self.in_flight = Some(txn.clone());
        Some(txn)
    }

    fn holding_if_open(&self) -> Option<QuotaHolding> {
        (self.phase == AccountPhase::Open).then(|| self.own_holding().0)
    }

    /// Sends a transaction over the own record and one other, conditional on both and on the token.
    fn begin_transaction(
        &mut self,
        mut own: QuotaHolding,
        pool: Option<QuotaPool>,
        other: Option<(PartitionId, (QuotaHolding, u64))>,
    ) -> QuotaTransaction {
        self.last_transaction_number += 1;
        own.last_transaction = (self.fencing_token, self.last_transaction_number);
        let by = own.last_transaction;
        let own_key = QuotaKey::Holding(self.partition.clone());
        let token = (QuotaKey::FencingToken(self.partition.clone()), self.fencing_token);
        let mut when = vec![token, (own_key.clone(), self.own_holding().1)];
        let mut apply = vec![(own_key, QuotaRecord::Holding(own))];
        if let Some(pool) = pool {
            when.push((QuotaKey::Pool, self.page.pool.1));
            apply.push((QuotaKey::Pool, QuotaRecord::Pool(pool)));
        }
        if let Some((decider, (holding, stamp))) = other {
            when.push((QuotaKey::Holding(decider.clone()), stamp));
            apply.push((QuotaKey::Holding(decider), QuotaRecord::Holding(holding)));
        }
        let txn = QuotaTransaction { id: by, conditions: when, writes: apply };
        self.in_flight = Some(txn.clone());
        self.advance_phase(AccountPhase::InFlight);
        txn
    }

    // ---- what came of it -----------------------------------------------------------------------

    /// The transaction sent `by` this holder has an outcome. After a conflict the page is read: the difference may
    /// be our own doing, by an earlier try.
    pub fn on_outcome(&mut self, by: (u64, u64), outcome: &TransactionOutcome) -> AccountStep {
        let Some(flight) = self.in_flight.clone().filter(|f| f.id == by) else {
            return AccountStep::Wait;
        };
        match outcome {
            TransactionOutcome::Committed(stamp) => {
                for (key, record) in flight.writes {
                    self.apply_record(key, record, *stamp);
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
                AccountStep::Resend(flight)
            }
        }
    }

    /// The page as it was read. An older one than is known changes nothing.
    pub fn on_page(&mut self, page: &QuotaPage) {
        if self.phase == AccountPhase::Closed {
            return;
        }
        let newer = |known: u64, read: u64| read >= known;
        if newer(self.page.pool.1, page.pool.1) {
            self.page.pool = page.pool.clone();
        }
        // What is no longer there was removed; what a later change of ours wrote is not in an older page.
        let newest = page.holdings.values().map(|h| h.1).fold(page.pool.1, u64::max);
        self.page.holdings.retain(|d, (_, stamp)| page.holdings.contains_key(d) || *stamp > newest);
        for (decider, read) in &page.holdings {
            let known = self.page.holdings.get(decider).map_or(0, |k| k.1);
            if newer(known, read.1) {
                self.page.holdings.insert(decider.clone(), read.clone());
            }
        }
        if let Some(flight) = &self.in_flight {
            // It was applied, or a condition of it can never hold again: else it may yet come.
            let (own, _) = self.own_holding();
            let stamp = |key: &QuotaKey| match key {
                QuotaKey::Pool => Some(self.page.pool.1),
                QuotaKey::Holding(d) => Some(self.page.holdings.get(d).map_or(0, |h| h.1)),
                QuotaKey::FencingToken(_) => None,
            };
            let never = flight.conditions.iter().any(|(k, at)| stamp(k).is_some_and(|s| s != *at));
            if own.last_transaction == flight.id || never {
                self.in_flight = None;
            }
        }
        let phase = if self.in_flight.is_some() { self.phase } else { AccountPhase::Open };
        self.advance_phase(phase);
    }

    /// Another holds the decider.
    pub fn close(&mut self) {
        self.in_flight = None;
        self.advance_phase(AccountPhase::Closed);
    }

    fn apply_record(&mut self, key: QuotaKey, record: QuotaRecord, stamp: u64) {
        match (key, record) {
            (QuotaKey::Pool, QuotaRecord::Pool(pool)) if stamp > self.page.pool.1 => {
                self.page.pool = (pool, stamp);
            }
            (QuotaKey::Holding(decider), QuotaRecord::Removed) => {
                drop(self.page.holdings.remove(&decider))
            }
            (QuotaKey::Holding(decider), QuotaRecord::Holding(holding)) => {
                let known = self.page.holdings.get(&decider).map_or(0, |k| k.1);
                if stamp > known {
                    self.page.holdings.insert(decider, (holding, stamp));
                }
            }
            _ => {}
        }
    }
}

/// What is free is taken off a limit that is to be lower.
fn lower_limit_by_free(kept: &mut TeamQuota) {
    let over = kept.limit.zip_with(kept.target, |limit, to| (limit - to).max(Quantity::ZERO));
    let off = over.zip_with(kept.free, Quantity::min);
    (kept.limit, kept.free) = (kept.limit - off, kept.free - off);
}
