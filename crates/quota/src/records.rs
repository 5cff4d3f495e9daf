//! The quota records in the state service, and the transactions that change them.
//!
//! Teams are divided into pages, since the size of a value is bounded. Each page has a pool and a holding for each
//! partition. For every team of a page, the pool and all holdings together are exactly the limit in force.

use crate::quantities::ResourceQuantities;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A team's name.
pub type TeamName = String;
/// Name of a partition: a set of machines on which one holder binds tasks. It never names a process.
pub type PartitionId = String;

/// A team in the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The limit in force: what all partitions together may use.
    pub limit: ResourceQuantities,
    /// The limit that the settings ask for. While it is lower, whatever comes back is taken off the limit in force.
    pub target: ResourceQuantities,
    /// What no partition holds.
    pub free: ResourceQuantities,
}

/// The pool of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaPool {
    /// Every team of the page.
    pub teams: BTreeMap<TeamName, TeamQuota>,
}

/// What a partition holds of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaHolding {
    /// Fencing token and number of the holder's last transaction: they tell whether one without an answer was
    /// committed.
    #[serde(rename = "by")]
    pub last_transaction: (u64, u64),
    /// What may be used on the partition's machines.
    #[serde(rename = "has")]
    pub held: BTreeMap<TeamName, ResourceQuantities>,
    /// The limits that the holder's settings named when it wrote this.
    #[serde(rename = "sees")]
    pub configured_limits: BTreeMap<TeamName, ResourceQuantities>,
}

/// A key of the state service, before it is spelled out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaKey {
    /// The key attached to the lease of a partition's holder: its mod revision is the holder's fencing token.
    FencingToken(PartitionId),
    /// The pool.
    Pool,
    /// A partition's holding.
    Holding(PartitionId),
}

/// What a transaction does to a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum QuotaRecord {
    /// Writes the pool.
    Pool(QuotaPool),
    /// Writes a holding.
    Holding(QuotaHolding),
    /// Deletes the key.
    Removed,
}

/// A transaction: committed whole if every key has the expected mod revision, otherwise not at all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaTransaction {
    /// Fencing token of the sender and its number for this transaction.
    pub id: (u64, u64),
    /// Keys with their expected mod revisions; 0: the key must not exist.
    pub conditions: Vec<(QuotaKey, u64)>,
    /// What is done to which key.
    pub writes: Vec<(QuotaKey, QuotaRecord)>,
}

/// A page as read at one revision, with the mod revision of each record; 0: there is no such key yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct QuotaPage {
    /// The pool and its mod revision.
    pub pool: (QuotaPool, u64),
    /// Every partition's holding and its mod revision.
    pub holdings: BTreeMap<PartitionId, (QuotaHolding, u64)>,
}

impl QuotaPage {
    /// Whether the invariant holds: for every team, pool and holdings together are exactly the limit in force, nothing
    /// in the pool is negative, and no holding names an unknown team.
    pub fn is_conserved(&self) -> bool {
        let teams = &self.pool.0.teams;
        let held_by_all = |team: &TeamName| -> ResourceQuantities {
            let holdings = self.holdings.values();
            holdings.filter_map(|(holding, _)| holding.held.get(team)).copied().sum()
        };
        let all_balanced = teams.iter().all(|(team, quota)| {
            quota.free.covers(ResourceQuantities::ZERO)
                && quota.free + held_by_all(team) == quota.limit
        });
        let knows_teams =
            |holding: &QuotaHolding| holding.held.keys().all(|team| teams.contains_key(team));
        all_balanced && self.holdings.values().all(|(holding, _)| knows_teams(holding))
    }
}
