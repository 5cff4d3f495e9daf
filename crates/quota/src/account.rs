//! A decider's account of one page: the part that must never be wrong. It moves amounts by conditional
//! transactions, each over the records on both sides, and says what may be used meanwhile.
//!
//! Escrow (O'Neil, "The escrow transactional method", 1986) and the demarcation protocol (Barbará and
//! Garcia-Molina, 1992) with the state service as the record: whoever holds an amount alone lowers it, after
//! it has ceased to use it, and what is raised was lowered in the same transaction. So no message, clock or
//! second opinion is needed to be within a limit.

use crate::fixed::{Amount, Amounts};
use crate::records::*;
use std::collections::BTreeMap;

/// Where an account stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Its records are not known: nothing may be used.
    Reading,
    /// Known; no transaction on its way.
    Open,
    /// A transaction is on its way.
    Moving,
    /// One had no answer: it may be applied, or may yet be.
    Doubtful,
    /// Another holds the decider: nothing may be used, for good.
    Closed,
}

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Applied at this revision.
    Committed(u64),
    /// Not applied: these keys differ.
    Conflict(Vec<Key>),
    /// Not known.
    Unknown,
}

/// What an account wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Rest,
    /// Read the page.
    Read,
    /// Send this again: it is applied at most once.
    Again(Txn),
}

/// An account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Account {
    decider: Decider,
    token: u64,
    phase: Phase,
    page: Page,
    number: u64,
    flight: Option<Txn>,
}

impl Account {
    /// The account of a holder with this token; its records are to be read.
    pub fn new(decider: &str, token: u64) -> Account {
        Account {
            decider: decider.to_string(),
            token,
            phase: Phase::Reading,
            page: Page::default(),
            number: 0,
            flight: None,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The page as last known.
    pub fn page(&self) -> &Page {
        &self.page
    }

    /// The one function that changes the phase. Closed is for good.
    fn advance(&mut self, to: Phase) {
        if self.phase != Phase::Closed {
            self.phase = to;
        }
    }

    fn own(&self) -> (Holding, u64) {
        self.page.holdings.get(&self.decider).cloned().unwrap_or_default()
    }

    /// What the holder has of a team, as far as known.
    pub fn has(&self, team: &str) -> Amounts {
        let own = self.page.holdings.get(&self.decider);
        own.and_then(|(h, _)| h.has.get(team)).copied().unwrap_or_default()
    }

    /// What may be used of a team now: no more than before or after whatever is on its way.
    pub fn usable(&self, team: &str) -> Amounts {
        if matches!(self.phase, Phase::Reading | Phase::Closed) {
            return Amounts::default();
        }
        let after = self.flight.iter().flat_map(|f| &f.apply).find_map(|(key, record)| {
            let own = *key == Key::Of(self.decider.clone());
            let Record::Holding(holding) = record else { return None };
            own.then(|| holding.has.get(team).copied().unwrap_or_default())
        });
        let has = self.has(team);
        after.map_or(has, |after| has.with(after, Amount::min))
    }

    /// This decider's part of what a lowered limit is still above what is wanted.
    pub fn owes(&self, team: &str) -> Amounts {
        let Some(kept) = self.page.pool.0.teams.get(team) else {
            return Amounts::default();
        };
        let part = |owed: Amount, has: Amount, limit: Amount| {
            let (owed, has) = (i128::from(owed.parts()), i128::from(has.parts()));
            let limit = i128::from(limit.parts()).max(1);
            Amount::of_parts(i64::try_from((owed * has + limit - 1) / limit).unwrap_or(i64::MAX))
        };
        let (owed, has) = (kept.limit - kept.target, self.has(team));
        Amounts {
            cpus: part(owed.cpus, has.cpus, kept.limit.cpus),
            gpus: part(owed.gpus, has.gpus, kept.limit.gpus),
        }
    }

    /// A limit in the settings.
    pub fn of_settings(cpus: f64, gpus: f64) -> Amounts {
        let most = crate::constants::UNLIMITED;
        let cap = |limit: f64| if limit > 0.0 { limit.min(most) } else { most };
        Amounts::limit(cap(cpus), cap(gpus))
    }

    // ---- moves ---------------------------------------------------------------------------------

    /// Writes down what this holder's settings say, and changes limits where that is allowed: a limit is
    /// lowered as soon as any holder's settings are lower, and raised only when all holders' are higher.
    /// None: nothing to do, or not now.
    pub fn agree(&mut self, settings: &BTreeMap<Team, Amounts>) -> Option<Txn> {
        let mut own = self.ready()?;
        own.sees.clone_from(settings);
        let mut pool = self.page.pool.0.clone();
        // What no settings name is wanted by nobody.
        let teams: Vec<Team> = pool.teams.keys().chain(settings.keys()).cloned().collect();
        for team in teams {
            let others = self.page.holdings.iter().filter(|(d, _)| **d != self.decider);
            let seen = others.filter_map(|(_, (h, _))| h.sees.get(&team));
            let seen = seen.chain(own.sees.get(&team)).copied();
            let lowest = seen.reduce(|a, b| a.with(b, Amount::min)).unwrap_or_default();
            let fresh = Kept { limit: lowest, target: lowest, free: lowest };
            let kept = pool.teams.entry(team).or_insert(fresh);
            let more = lowest.with(kept.limit, |to, limit| (to - limit).max(Amount::ZERO));
            kept.target = lowest;
            (kept.limit, kept.free) = (kept.limit + more, kept.free + more);
            shrink(kept);
        }
        let empty = |k: &Kept| k.limit == Amounts::default() && k.target == Amounts::default();
        let used = |t: &Team| self.page.holdings.values().any(|(h, _)| h.has.contains_key(t));
        pool.teams.retain(|team, kept| !empty(kept) || used(team));
        if own == self.own().0 && pool == self.page.pool.0 && self.own().1 > 0 {
            return None;
        }
        // Whoever writes down what its settings say writes the pool too: of two at once one must read again.
        Some(self.send(own, Some(pool), None))
    }

    /// Takes from the pool what there is of what is wanted.
    pub fn take(&mut self, wants: &BTreeMap<Team, Amounts>) -> Option<Txn> {
        let mut own = self.ready()?;
        let mut pool = self.page.pool.0.clone();
        let mut some = false;
        for (team, want) in wants {
            let Some(kept) = pool.teams.get_mut(team) else { continue };
            let part = want.with(kept.free, |w, free| w.min(free).max(Amount::ZERO));
            some |= part != Amounts::default();
            kept.free -= part;
            *own.has.entry(team.clone()).or_default() += part;
        }
        some.then(|| self.send(own, Some(pool), None))
    }

    /// Gives amounts to another decider, or back to the pool: at most what is not `used`, everything not
    /// proved gone counted.
    pub fn give(
        &mut self,
        to: Option<&str>,
        gifts: &BTreeMap<Team, Amounts>,
        used: &BTreeMap<Team, Amounts>,
    ) -> Option<Txn> {
        let mut own = self.ready()?;
        let mut pool = self.page.pool.0.clone();
        let mut other = match to.filter(|to| **to != self.decider) {
            Some(to) => Some((to.to_string(), self.page.holdings.get(to)?.clone())),
            None => None,
        };
        let mut some = false;
        for (team, gift) in gifts {
            let (Some(has), Some(kept)) = (own.has.get_mut(team), pool.teams.get_mut(team)) else {
                continue;
            };
            let used = used.get(team).copied().unwrap_or_default();
            let spare = has.with(used, |has, used| (has - used).max(Amount::ZERO));
            let part = gift.with(spare, |g, spare| g.min(spare).max(Amount::ZERO));
            if part == Amounts::default() {
                continue;
            }
            some = true;
            *has -= part;
            match &mut other {
                Some((_, (holding, _))) => {
                    *holding.has.entry(team.clone()).or_default() += part;
                }
                None => {
                    kept.free += part;
                    shrink(kept);
                }
            }
        }
        own.has.retain(|_, has| *has != Amounts::default());
        if !some {
            return None;
        }
        let pool = other.is_none().then_some(pool);
        Some(self.send(own, pool, other))
    }

    /// Takes the decider off the page, once it holds nothing: its settings then no longer count.
    pub fn retire(&mut self) -> Option<Txn> {
        let own = self.ready()?;
        if !own.has.is_empty() || self.own().1 == 0 {
            return None;
        }
        let mut txn = self.send(own, None, None);
        txn.apply = vec![(Key::Of(self.decider.clone()), Record::Gone)];
        self.flight = Some(txn.clone());
        Some(txn)
    }

    fn ready(&self) -> Option<Holding> {
        (self.phase == Phase::Open).then(|| self.own().0)
    }

    /// Sends a transaction over the own record and one other, conditional on both and on the token.
    fn send(
        &mut self,
        mut own: Holding,
        pool: Option<Pool>,
        other: Option<(Decider, (Holding, u64))>,
    ) -> Txn {
        self.number += 1;
        own.by = (self.token, self.number);
        let by = own.by;
        let own_key = Key::Of(self.decider.clone());
        let token = (Key::Token(self.decider.clone()), self.token);
        let mut when = vec![token, (own_key.clone(), self.own().1)];
        let mut apply = vec![(own_key, Record::Holding(own))];
        if let Some(pool) = pool {
            when.push((Key::Pool, self.page.pool.1));
            apply.push((Key::Pool, Record::Pool(pool)));
        }
        if let Some((decider, (holding, stamp))) = other {
            when.push((Key::Of(decider.clone()), stamp));
            apply.push((Key::Of(decider), Record::Holding(holding)));
        }
        let txn = Txn { by, when, apply };
        self.flight = Some(txn.clone());
        self.advance(Phase::Moving);
        txn
    }

    // ---- what came of it -----------------------------------------------------------------------

    /// The transaction sent `by` this holder has an outcome. After a conflict the page is read: the difference may
    /// be our own doing, by an earlier try.
    pub fn on_outcome(&mut self, by: (u64, u64), outcome: &Outcome) -> Next {
        let Some(flight) = self.flight.clone().filter(|f| f.by == by) else { return Next::Rest };
        match outcome {
            Outcome::Committed(stamp) => {
                for (key, record) in flight.apply {
                    self.learn(key, record, *stamp);
                }
                self.flight = None;
                self.advance(Phase::Open);
                Next::Rest
            }
            Outcome::Conflict(keys) if keys.contains(&Key::Token(self.decider.clone())) => {
                self.close();
                Next::Rest
            }
            Outcome::Conflict(_) => {
                self.advance(Phase::Doubtful);
                Next::Read
            }
            Outcome::Unknown => {
                self.advance(Phase::Doubtful);
                Next::Again(flight)
            }
        }
    }

    /// The page as it was read. An older one than is known changes nothing.
    pub fn on_page(&mut self, page: &Page) {
        if self.phase == Phase::Closed {
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
        if let Some(flight) = &self.flight {
            // It was applied, or a condition of it can never hold again: else it may yet come.
            let (own, _) = self.own();
            let stamp = |key: &Key| match key {
                Key::Pool => Some(self.page.pool.1),
                Key::Of(d) => Some(self.page.holdings.get(d).map_or(0, |h| h.1)),
                Key::Token(_) => None,
            };
            let never = flight.when.iter().any(|(k, at)| stamp(k).is_some_and(|s| s != *at));
            if own.by == flight.by || never {
                self.flight = None;
            }
        }
        let phase = if self.flight.is_some() { self.phase } else { Phase::Open };
        self.advance(phase);
    }

    /// Another holds the decider.
    pub fn close(&mut self) {
        self.flight = None;
        self.advance(Phase::Closed);
    }

    fn learn(&mut self, key: Key, record: Record, stamp: u64) {
        match (key, record) {
            (Key::Pool, Record::Pool(pool)) if stamp > self.page.pool.1 => {
                self.page.pool = (pool, stamp);
            }
            (Key::Of(decider), Record::Gone) => drop(self.page.holdings.remove(&decider)),
            (Key::Of(decider), Record::Holding(holding)) => {
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
fn shrink(kept: &mut Kept) {
    let over = kept.limit.with(kept.target, |limit, to| (limit - to).max(Amount::ZERO));
    let off = over.with(kept.free, Amount::min);
    (kept.limit, kept.free) = (kept.limit - off, kept.free - off);
}
