//! Messages between the planners of partitions, and the effects that a planner requests of its owner.

use crate::quantities::ResourceQuantities;
use crate::records::{PartitionId, QuotaTransaction, TeamName};
use std::collections::BTreeMap;

/// Number of urgency levels. Level 0 is production, level 1 work that can still meet its deadline, level 2 the rest.
pub const URGENCY_LEVELS: usize = 3;

/// What a team's work on one partition's machines uses and wants, by urgency level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Resources of all tasks that are not proved gone.
    pub used: [ResourceQuantities; URGENCY_LEVELS],
    /// Resources that waiting tasks would take in addition.
    pub wanted: [ResourceQuantities; URGENCY_LEVELS],
}

impl TeamDemand {
    /// What is used at all levels together.
    pub fn total_used(&self) -> ResourceQuantities {
        self.used.iter().copied().sum()
    }

    /// What is wanted at all levels together.
    pub(super) fn total_wanted(&self) -> ResourceQuantities {
        self.wanted.iter().copied().sum()
    }

    /// What is used or wanted at this level and all more urgent ones.
    pub(super) fn used_or_wanted_up_to(&self, level: usize) -> ResourceQuantities {
        self.used[..=level].iter().chain(&self.wanted[..=level]).copied().sum()
    }

    /// The most urgent level at which something is wanted.
    pub(super) fn most_urgent_level(&self) -> Option<usize> {
        self.wanted.iter().position(|wanted| !wanted.is_zero())
    }
}

/// What a partition reports of a team to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTeamUsage {
    /// Quota that it holds.
    pub held: ResourceQuantities,
    /// What its work uses and wants.
    pub demand: TeamDemand,
}

/// A message between the holders of two partitions. Losing, delaying or repeating one does no harm: limits are kept
/// by transactions alone.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaMessage {
    /// What the sender holds and needs, of teams of which it holds or needs something.
    Usage(BTreeMap<TeamName, ReportedTeamUsage>),
    /// The sender wants more of a team's quota.
    TransferRequest {
        /// Team.
        team: TeamName,
        /// Urgency level of the work that needs it.
        level: usize,
        /// How much more.
        amount: ResourceQuantities,
        /// What the sender holds and needs of this team.
        usage: ReportedTeamUsage,
    },
    /// Work within another team's guarantee finds no room: the receiver is to stop work of this team, which uses more
    /// than its own guarantee.
    RevocationRequest {
        /// The team that borrowed.
        team: TeamName,
        /// How much is to be stopped.
        amount: ResourceQuantities,
    },
    /// What a [`QuotaMessage::RevocationRequest`] named is proved gone.
    Revoked {
        /// The team that borrowed.
        team: TeamName,
    },
    /// The sender can give nothing.
    Refusal {
        /// Team.
        team: TeamName,
        /// Time before which it is not to be asked again, ms.
        retry_after_ms: u64,
    },
}

/// An effect that the planner's owner is to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaAction {
    /// Send a transaction to the state service.
    SendTransaction(QuotaTransaction),
    /// Read the quota page from the state service.
    ReadPage,
    /// Send a message to the holder of a partition.
    SendMessage(PartitionId, QuotaMessage),
    /// Stop tasks of a team, those that lose least first.
    StopWork {
        /// Team.
        team: TeamName,
        /// Only tasks of a less urgent level than this.
        level: usize,
        /// How much their resources come to at least.
        amount: ResourceQuantities,
    },
}
