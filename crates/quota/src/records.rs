//! The quota records in the state service, and the transactions that change them.
//!
//! Teams are divided into pages, since the state service bounds the size of a value. Each page has a pool and one
//! holding per partition. Invariant: for every team of a page, the free quota in the pool and the quota in all holdings
//! add up to exactly the limit in force.

use crate::quantities::ResourceQuantities;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A team's name.
pub type TeamName = String;
/// Name of a partition: a set of machines to which one controller at a time (the partition's holder) binds tasks. It is
/// not the name of a process.
pub type PartitionId = String;

/// A team's limit and free quota, as recorded in the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The limit in force: the most that all partitions together may use.
    pub limit: ResourceQuantities,
    /// The configured limit. While it is below `limit`, quota returned to the pool reduces `limit` instead of becoming
    /// free.
    pub target: ResourceQuantities,
    /// Quota that no partition holds.
    pub free: ResourceQuantities,
}

/// The pool of a page: the limits of its teams and their unassigned quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaPool {
    /// Every team of the page.
    pub teams: BTreeMap<TeamName, TeamQuota>,
}

/// The quota of a page that one partition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaHolding {
    /// Fencing token and sequence number of the holder's last transaction. They show whether a transaction whose
    /// outcome is unknown was committed.
    #[serde(rename = "by")]
    pub last_transaction: (u64, u64),
    /// Quota that may be used on the partition's machines, by team.
    #[serde(rename = "has")]
    pub held: BTreeMap<TeamName, ResourceQuantities>,
    /// The limits in the holder's settings at the time of this write, by team.
    #[serde(rename = "sees")]
    pub configured_limits: BTreeMap<TeamName, ResourceQuantities>,
}

/// A key of the state service, independent of its textual form.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaKey {
    /// The key attached to the lease of a partition's holder. Its mod revision is the holder's fencing token.
    FencingToken(PartitionId),
    /// The pool.
    Pool,
    /// The holding of a partition.
    Holding(PartitionId),
}

/// The write that a transaction applies to a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum QuotaRecord {
    /// Writes the pool.
    Pool(QuotaPool),
    /// Writes a holding.
    Holding(QuotaHolding),
    /// Deletes the key.
    Removed,
}

/// A transaction, committed atomically if every key has its expected mod revision, and rejected otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaTransaction {
    /// Fencing token of the sender and the transaction's sequence number under that token.
    pub id: (u64, u64),
    /// Keys with their expected mod revisions; 0 means that the key must not exist.
    pub conditions: Vec<(QuotaKey, u64)>,
    /// Keys with the writes that are applied to them.
    pub writes: Vec<(QuotaKey, QuotaRecord)>,
}

/// A page as read at one revision, with the mod revision of each record; 0 means that the record does not exist yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct QuotaPage {
    /// The pool and its mod revision.
    pub pool: (QuotaPool, u64),
    /// The holding of each partition and its mod revision.
    pub holdings: BTreeMap<PartitionId, (QuotaHolding, u64)>,
}

impl QuotaPage {
    /// Whether the invariant holds: for every team, free quota and holdings add up to exactly the limit in force, no
    /// free quota is negative, and every team in a holding is also in the pool.
    pub fn is_conserved(&self) -> bool {
        let teams = &self.pool.0.teams;
        let held_by_all = |team: &TeamName| -> ResourceQuantities {
            let holdings = self.holdings.values();
            holdings.filter_map(|(holding, _)| holding.held.get(team)).copied().sum()
        };
        let all_limits_match = teams.iter().all(|(team, quota)| {
            quota.free.covers(ResourceQuantities::ZERO)
                && quota.free + held_by_all(team) == quota.limit
        });
        let knows_teams =
            |holding: &QuotaHolding| holding.held.keys().all(|team| teams.contains_key(team));
        all_limits_match && self.holdings.values().all(|(holding, _)| knows_teams(holding))
    }
}
