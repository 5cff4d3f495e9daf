//! What the state service holds of amounts, and the transactions that change it.
//!
//! Teams are divided into pages, since a value is bounded; each page has a pool and, for each decider, a
//! holding. For every team of a page, what is in the pool and in all holdings is exactly the limit in force.

use crate::fixed::Amounts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A team's name.
pub type Team = String;
/// A decider's name: that of the set of machines on which it binds, never of a process.
pub type Decider = String;

/// What is known of a team beside what deciders hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// The limit in force: all that may be used anywhere.
    pub limit: Amounts,
    /// The limit wanted, where it is lower: what comes back is taken off the limit first.
    pub target: Amounts,
    /// What nobody holds.
    pub free: Amounts,
}

/// The pool of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// Its teams.
    pub teams: BTreeMap<Team, Kept>,
}

/// What a decider holds of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The holder's token and number of its last write, to know what became of an unanswered one.
    pub by: (u64, u64),
    /// What may be used on its machines.
    pub has: BTreeMap<Team, Amounts>,
    /// The limits that the last holder's settings named.
    pub sees: BTreeMap<Team, Amounts>,
}

/// A key of the state service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// That which is attached to the holder's grant: its stamp is the holder's token.
    Token(Decider),
    /// The pool.
    Pool,
    /// A holding.
    Of(Decider),
}

/// A value written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Record {
    /// Of the pool.
    Pool(Pool),
    /// Of a decider.
    Holding(Holding),
    /// Nothing any more: the key is removed.
    Gone,
}

/// A transaction: applied whole if every key has its stamp, else not at all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Txn {
    /// The token and number under which it was sent.
    pub by: (u64, u64),
    /// Conditions.
    pub when: Vec<(Key, u64)>,
    /// Changes.
    pub apply: Vec<(Key, Record)>,
}

/// A page as it was read at once, with stamps; 0: there is no such key yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Page {
    /// The pool.
    pub pool: (Pool, u64),
    /// Every decider's holding.
    pub holdings: BTreeMap<Decider, (Holding, u64)>,
}

impl Page {
    /// Whether for every team pool and holdings are exactly its limit, and nothing is owed.
    pub fn conserved(&self) -> bool {
        let held = |team: &Team| -> Amounts {
            self.holdings.values().filter_map(|(h, _)| h.has.get(team)).copied().sum()
        };
        let nothing = Amounts::default();
        let known = |team: &Team| self.pool.0.teams.contains_key(team);
        self.pool
            .0
            .teams
            .iter()
            .all(|(team, kept)| kept.free.covers(nothing) && kept.free + held(team) == kept.limit)
            && self.holdings.values().all(|(h, _)| h.has.keys().all(known))
    }
}
