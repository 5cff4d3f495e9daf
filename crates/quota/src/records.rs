//! What the state service holds of amounts, and the transactions that change it.
//!
//! Teams are divided into pages, since a value is bounded; each page has a pool and, for each decider, a
//! holding. For every team of a page, what is in the pool and in all holdings is exactly the limit in force.

use crate::quantities::ResourceQuantities;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A team's name.
pub type TeamName = String;
/// A decider's name: that of the set of machines on which it binds, never of a process.
pub type PartitionId = String;

/// What is known of a team beside what deciders hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The limit in force: all that may be used anywhere.
    pub limit: ResourceQuantities,
    /// The limit wanted, where it is lower: what comes back is taken off the limit first.
    pub target: ResourceQuantities,
    /// What nobody holds.
    pub free: ResourceQuantities,
}

/// The pool of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaPool {
    /// Its teams.
    pub teams: BTreeMap<TeamName, TeamQuota>,
}

/// What a decider holds of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaHolding {
    /// The holder's token and number of its last write, to know what became of an unanswered one.
    #[serde(rename = "by")]
    pub last_transaction: (u64, u64),
    /// What may be used on its machines.
    #[serde(rename = "has")]
    pub held: BTreeMap<TeamName, ResourceQuantities>,
    /// The limits that the last holder's settings named.
    #[serde(rename = "sees")]
    pub configured_limits: BTreeMap<TeamName, ResourceQuantities>,
}

/// A key of the state service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaKey {
    /// That which is attached to the holder's grant: its stamp is the holder's token.
    FencingToken(PartitionId),
    /// The pool.
    Pool,
    /// A holding.
    Holding(PartitionId),
}

/// A value written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum QuotaRecord {
    /// Of the pool.
    Pool(QuotaPool),
    /// Of a decider.
    Holding(QuotaHolding),
    /// Nothing any more: the key is removed.
    Removed,
}

/// A transaction: applied whole if every key has its stamp, else not at all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaTransaction {
    /// The token and number under which it was sent.
    pub id: (u64, u64),
    /// Conditions.
    pub conditions: Vec<(QuotaKey, u64)>,
    /// Changes.
    pub writes: Vec<(QuotaKey, QuotaRecord)>,
}

/// A page as it was read at once, with stamps; 0: there is no such key yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct QuotaPage {
    /// The pool.
    pub pool: (QuotaPool, u64),
    /// Every decider's holding.
    pub holdings: BTreeMap<PartitionId, (QuotaHolding, u64)>,
}

impl QuotaPage {
    /// Whether for every team pool and holdings are exactly its limit, and nothing is owed.
    pub fn is_conserved(&self) -> bool {
        let held = |team: &TeamName| -> ResourceQuantities {
            self.holdings.values().filter_map(|(h, _)| h.held.get(team)).copied().sum()
        };
        let nothing = ResourceQuantities::default();
        let known = |team: &TeamName| self.pool.0.teams.contains_key(team);
        self.pool
            .0
            .teams
            .iter()
            .all(|(team, kept)| kept.free.covers(nothing) && kept.free + held(team) == kept.limit)
            && self.holdings.values().all(|(h, _)| h.held.keys().all(known))
    }
}
