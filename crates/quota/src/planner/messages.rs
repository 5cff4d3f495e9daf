//! Messages between the planners of partitions, and the actions that a planner requests from its caller.

use crate::quantities::ResourceQuantities;
use crate::records::{PartitionId, QuotaTransaction, TeamName};
use std::collections::BTreeMap;

/// Number of urgency levels. Level 0 is production work, level 1 is work that can still meet its deadline, level 2 is
/// all other work.
pub const URGENCY_LEVELS: usize = 3;

/// Resources that a team's work on one partition's machines uses and wants, by urgency level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Resources of all tasks that are not confirmed terminated.
    pub used: [ResourceQuantities; URGENCY_LEVELS],
    /// Resources that waiting tasks request in addition.
    pub wanted: [ResourceQuantities; URGENCY_LEVELS],
}

impl TeamDemand {
    /// Resources used at all levels together.
    pub fn total_used(&self) -> ResourceQuantities {
        self.used.iter().copied().sum()
    }

    /// Resources wanted at all levels together.
    pub(super) fn total_wanted(&self) -> ResourceQuantities {
        self.wanted.iter().copied().sum()
    }

    /// Resources used or wanted at this level and all more urgent ones.
    pub(super) fn used_or_wanted_up_to(&self, level: usize) -> ResourceQuantities {
        self.used[..=level].iter().chain(&self.wanted[..=level]).copied().sum()
    }

    /// The most urgent level at which resources are wanted; `None` if no level wants any.
    pub(super) fn most_urgent_level(&self) -> Option<usize> {
        self.wanted.iter().position(|wanted| !wanted.is_zero())
    }
}

/// A team's usage in one partition, as reported to the other partitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTeamUsage {
    /// Quota of the team that the partition holds.
    pub held: ResourceQuantities,
    /// Resources that the team's work there uses and wants.
    pub demand: TeamDemand,
}

/// A message between the holders of two partitions. Lost, delayed or duplicated messages are harmless: limits are
/// enforced by transactions alone.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaMessage {
    /// Usage of all teams for which the sender holds quota or has demand.
    Usage(BTreeMap<TeamName, ReportedTeamUsage>),
    /// A request for more of a team's quota.
    TransferRequest {
        /// The team.
        team: TeamName,
        /// Urgency level of the work that needs the quota.
        level: usize,
        /// Requested amount.
        amount: ResourceQuantities,
        /// The team's usage at the sender.
        usage: ReportedTeamUsage,
    },
    /// A request to stop work of a team that uses more than its guarantee, since work within another team's guarantee
    /// cannot be placed.
    RevocationRequest {
        /// The team that uses more than its guarantee.
        team: TeamName,
        /// Resources of the work to stop.
        amount: ResourceQuantities,
    },
    /// Confirms that the work stopped for a [`QuotaMessage::RevocationRequest`] has terminated.
    Revoked {
        /// The team that uses more than its guarantee.
        team: TeamName,
    },
    /// The sender cannot give any quota of this team.
    Refusal {
        /// The team.
        team: TeamName,
        /// Time to wait before the next request, ms.
        retry_after_ms: u64,
    },
}

/// An action that the planner's caller must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaAction {
    /// Send a transaction to the state service.
    SendTransaction(QuotaTransaction),
    /// Read the quota page from the state service.
    ReadPage,
    /// Send a message to the holder of a partition.
    SendMessage(PartitionId, QuotaMessage),
    /// Stop tasks of a team, beginning with those that lose the least work.
    StopWork {
        /// The team.
        team: TeamName,
        /// Only tasks of a level less urgent than this are stopped.
        level: usize,
        /// Minimum total resources of the tasks to stop.
        amount: ResourceQuantities,
    },
}
