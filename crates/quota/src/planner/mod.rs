//! Decides when one partition takes, returns, requests and transfers quota. The planner relies on the last reports of
//! other partitions, which may be outdated or wrong: limits do not depend on them, since [`crate::account`] alone
//! enforces limits.
//!
//! - Missing quota is taken from the pool first.
//! - If the pool has too little, the planner requests quota from the partition that seems to have the most to spare
//!   (`transfers`). That partition transfers its unused quota at once, or answers when to ask again.
//! - For a team's production work in another partition, less urgent tasks of the team are stopped. For other work,
//!   quota is transferred as tasks end, until both partitions have quota in proportion to their needs.
//! - Quota that stays unused returns to the pool without being requested.
//! - Quota that a team uses beyond its guarantee is revoked where the team uses the most (`revocation`).
//!
//! The planner owns the partition's [`QuotaAccount`] and the known demands of this and other partitions. It sends
//! nothing itself: the caller carries out the [`QuotaAction`]s.

mod messages;
mod revocation;
mod transfers;

pub use messages::{QuotaAction, QuotaMessage, ReportedTeamUsage, TeamDemand, URGENCY_LEVELS};
pub use revocation::RevocationPhase;
pub use transfers::TransferPhase;

use crate::Time;
use crate::account::{AccountPhase, QuotaAccount};
use crate::constants::{
    LIMIT_STOP_INTERVAL_MS, PEER_USAGE_TTL_MS, TRANSFER_REQUEST_TTL_MS, UNUSED_RETURN_DELAY_MS,
    USAGE_BROADCAST_INTERVAL_MS,
};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, QuotaPage, QuotaTransaction, TeamName};
use revocation::QuotaRevocation;
use std::collections::BTreeMap;
use transfers::OutgoingTransfer;

/// The last usage report of another partition.
#[derive(Debug)]
struct PeerUsage {
    received_at: Time,
    teams: BTreeMap<TeamName, ReportedTeamUsage>,
}

/// The planner of one partition.
#[derive(Debug)]
pub struct QuotaPlanner {
    /// Account of the quota that this partition holds.
    pub account: QuotaAccount,
    partition: PartitionId,
    configured_limits: BTreeMap<TeamName, ResourceQuantities>,
    demands: BTreeMap<TeamName, TeamDemand>,
    peer_usage: BTreeMap<PartitionId, PeerUsage>,
    /// Transfers requested by other partitions, by team and requester.
    outgoing_transfers: BTreeMap<(TeamName, PartitionId), OutgoingTransfer>,
    /// Revocations in this partition, by the team whose work is stopped.
    local_revocations: BTreeMap<TeamName, QuotaRevocation>,
    /// Revocations requested by this planner, in this or another partition, by team, with the time at which each is
    /// given up.
    requested_revocations: BTreeMap<TeamName, Time>,
    /// Earliest time of the next transfer request for a team to a partition.
    next_request_at: BTreeMap<(TeamName, PartitionId), Time>,
    /// Time at which this partition last received quota of a team.
    last_received_at: BTreeMap<TeamName, Time>,
    /// Time since which some of a team's quota has been unused.
    unused_since: BTreeMap<TeamName, Time>,
    /// Time at which work of a team was last stopped for a lowered limit.
    stopped_for_limit_at: BTreeMap<TeamName, Time>,
    usage_sent_at: Time,
    /// Minimum time between transactions, since the state service allows only a few writes per second.
    transaction_interval_ms: u64,
    last_transaction_at: Time,
}

impl QuotaPlanner {
    /// The planner of a partition whose holder has this fencing token. Transactions are at least
    /// `transaction_interval_ms` apart.
    pub fn new(partition: &str, fencing_token: u64, transaction_interval_ms: u64) -> QuotaPlanner {
        QuotaPlanner {
            account: QuotaAccount::new(partition, fencing_token),
            partition: partition.to_string(),
            configured_limits: BTreeMap::new(),
            demands: BTreeMap::new(),
            peer_usage: BTreeMap::new(),
            outgoing_transfers: BTreeMap::new(),
            local_revocations: BTreeMap::new(),
            requested_revocations: BTreeMap::new(),
            next_request_at: BTreeMap::new(),
            last_received_at: BTreeMap::new(),
            unused_since: BTreeMap::new(),
            stopped_for_limit_at: BTreeMap::new(),
            usage_sent_at: 0,
            transaction_interval_ms,
            last_transaction_at: 0,
        }
    }

    /// Sets the configured limits of all teams.
    pub fn set_limits(&mut self, limits: BTreeMap<TeamName, ResourceQuantities>) {
        self.configured_limits = limits;
    }

    /// Sets a team's current demand in this partition.
    pub fn set_demand(&mut self, team: &str, demand: TeamDemand) {
        if demand == TeamDemand::default() {
            self.demands.remove(team);
        } else {
            self.demands.insert(team.to_string(), demand);
        }
    }

    fn demand_of(&self, team: &str) -> TeamDemand {
        self.demands.get(team).copied().unwrap_or_default()
    }

    /// Resources of a team's additional work of this level that may be bound now: within the usable quota, and within
    /// the lower ceiling that applies while quota is being transferred, revoked, or returned for a lowered limit.
    pub fn bindable_amount(&self, team: &str, level: usize) -> ResourceQuantities {
        let usable = self.account.usable_amount(team);
        let ceiling = self.usage_ceiling(team, level).unwrap_or(usable);
        usable.zip_with(ceiling, Quantity::min).excess_over(self.demand_of(team).total_used())
    }

    /// The most that work of a level may use here while quota is being transferred, revoked, or returned for a lowered
    /// limit; `None` if none of these applies.
    fn usage_ceiling(&self, team: &str, level: usize) -> Option<ResourceQuantities> {
        let after_transfers = self
            .outgoing_transfers
            .iter()
            .filter(|((other, _), transfer)| other == team && transfer.level <= level)
            .map(|(_, transfer)| self.balanced_holding(team, transfer));
        let owed = self.account.owed_amount(team);
        let after_lowered_limit = (!owed.is_zero()).then(|| self.account.held_amount(team) - owed);
        let after_revocation = self
            .local_revocations
            .get(team)
            .filter(|_| level > 0)
            .map(|revocation| revocation.usage_limit);
        after_transfers
            .chain(after_lowered_limit)
            .chain(after_revocation)
            .reduce(|lowest, other| lowest.zip_with(other, Quantity::min))
    }

    /// Handles a message from the holder of another partition.
    pub fn on_message(&mut self, from: &str, message: QuotaMessage, now: Time) -> Vec<QuotaAction> {
        match message {
            QuotaMessage::Usage(teams) => {
                self.peer_usage.insert(from.to_string(), PeerUsage { received_at: now, teams });
                Vec::new()
            }
            QuotaMessage::Refusal { team, retry_after_ms } => {
                self.next_request_at.insert((team, from.to_string()), now + retry_after_ms);
                Vec::new()
            }
            QuotaMessage::TransferRequest { team, level, amount, usage } => {
                let transfer = OutgoingTransfer::requested(level, amount, usage, now);
                self.on_transfer_request(from, team, transfer, now)
            }
            QuotaMessage::RevocationRequest { team, amount } => {
                self.start_local_revocation(from, team, amount, now)
            }
            QuotaMessage::Revoked { team } => {
                self.requested_revocations.remove(&team);
                Vec::new()
            }
        }
    }

    /// Handles a timer tick and returns the actions to carry out. At most one transaction is in flight.
    pub fn tick(&mut self, now: Time) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        match self.account.phase() {
            AccountPhase::Closed => return actions,
            AccountPhase::Reading | AccountPhase::InDoubt => return vec![QuotaAction::ReadPage],
            AccountPhase::InFlight | AccountPhase::Open => {}
        }
        self.outgoing_transfers
            .retain(|_, transfer| now < transfer.requested_at + TRANSFER_REQUEST_TTL_MS);
        self.peer_usage.retain(|_, peer| now < peer.received_at + PEER_USAGE_TTL_MS);
        if self.account.phase() == AccountPhase::Open
            && now >= self.last_transaction_at + self.transaction_interval_ms
            && let Some(transaction) = self.next_transaction(now)
        {
            self.last_transaction_at = now;
            actions.push(QuotaAction::SendTransaction(transaction));
        }
        self.stop_work_over_limit(now, &mut actions);
        self.advance_revocations(now, &mut actions);
        self.request_transfers(now, &mut actions);
        self.broadcast_usage(now, &mut actions);
        actions
    }

    /// Reports this partition's usage to all others, once per [`USAGE_BROADCAST_INTERVAL_MS`].
    fn broadcast_usage(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        if now < self.usage_sent_at + USAGE_BROADCAST_INTERVAL_MS {
            return;
        }
        self.usage_sent_at = now;
        let usage = self.usage_summary();
        for partition in self.other_partitions() {
            actions.push(QuotaAction::SendMessage(partition, QuotaMessage::Usage(usage.clone())));
        }
    }

    fn other_partitions(&self) -> Vec<PartitionId> {
        let partitions = self.account.page().holdings.keys();
        partitions.filter(|partition| **partition != self.partition).cloned().collect()
    }

    fn usage_of(&self, team: &str) -> ReportedTeamUsage {
        ReportedTeamUsage { held: self.account.held_amount(team), demand: self.demand_of(team) }
    }

    /// The usage of every team for which this partition holds quota or has demand.
    fn usage_summary(&self) -> BTreeMap<TeamName, ReportedTeamUsage> {
        let teams = self.account.page().pool.0.teams.keys();
        teams
            .map(|team| (team.clone(), self.usage_of(team)))
            .filter(|(_, usage)| !usage.held.is_zero() || usage.demand != TeamDemand::default())
            .collect()
    }

    /// The next transaction to send, by priority: limit changes, transfers to other partitions, quota missing here,
    /// return of unused quota.
    fn next_transaction(&mut self, now: Time) -> Option<QuotaTransaction> {
        if let Some(transaction) = self.account.reconcile_limits(&self.configured_limits) {
            return Some(transaction);
        }
        let used: BTreeMap<TeamName, ResourceQuantities> =
            self.demands.iter().map(|(team, demand)| (team.clone(), demand.total_used())).collect();
        if let Some(transaction) = self.transfer_to_requester(&used) {
            return Some(transaction);
        }
        let wanted: BTreeMap<TeamName, ResourceQuantities> = self
            .missing_by_team()
            .into_iter()
            .map(|(team, missing)| (team, missing.amount))
            .collect();
        if let Some(transaction) = self.account.take_from_pool(&wanted) {
            return Some(transaction);
        }
        self.return_unused_quota(&used, now)
    }

    /// Returns quota to the pool that has been unused for [`UNUSED_RETURN_DELAY_MS`], or at once where the limit was
    /// lowered.
    fn return_unused_quota(
        &mut self,
        used: &BTreeMap<TeamName, ResourceQuantities>,
        now: Time,
    ) -> Option<QuotaTransaction> {
        let held_by_team = self.account.page().holdings.get(&self.partition)?.0.held.clone();
        let mut returned = BTreeMap::new();
        self.unused_since.retain(|team, _| held_by_team.contains_key(team));
        for (team, held) in held_by_team {
            let is_limit_lowered = self.is_limit_lowered(&team);
            let Some(spare) = self.returnable_amount(&team, held, is_limit_lowered) else {
                self.unused_since.remove(&team);
                continue;
            };
            if is_limit_lowered
                || now
                    >= *self.unused_since.entry(team.clone()).or_insert(now)
                        + UNUSED_RETURN_DELAY_MS
            {
                returned.insert(team, spare);
            }
        }
        let transaction = self.account.transfer_holding(None, &returned, used)?;
        self.unused_since.retain(|team, _| !returned.contains_key(team));
        Some(transaction)
    }

    fn is_limit_lowered(&self, team: &str) -> bool {
        let quota = self.account.page().pool.0.teams.get(team);
        quota.is_some_and(|quota| quota.limit != quota.target)
    }

    /// Quota that a team neither uses nor wants, less a small reserve while it has demand and its limit is not lowered.
    /// `None` if that is too little for a transaction.
    fn returnable_amount(
        &self,
        team: &str,
        held: ResourceQuantities,
        is_limit_lowered: bool,
    ) -> Option<ResourceQuantities> {
        let demand = self.demand_of(team);
        let has_demand = demand != TeamDemand::default();
        let min_transfer = self.min_transfer(team);
        let reserve =
            if is_limit_lowered || !has_demand { ResourceQuantities::ZERO } else { min_transfer };
        let spare = (held - demand.total_used() - demand.total_wanted()).excess_over(reserve);
        let is_worth_returning = spare.cpus >= min_transfer.cpus && spare.cpus > Quantity::ZERO
            || spare.gpus >= min_transfer.gpus && spare.gpus > Quantity::ZERO
            || !has_demand && !held.is_zero();
        is_worth_returning.then_some(spare)
    }

    /// Where a limit was lowered below a team's usage, stops work of the team for this partition's part of the excess.
    /// Repeats after [`LIMIT_STOP_INTERVAL_MS`], when the stopped tasks should be confirmed terminated.
    fn stop_work_over_limit(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        self.stopped_for_limit_at.retain(|_, at| now < *at + LIMIT_STOP_INTERVAL_MS);
        for (team, demand) in &self.demands {
            let owed = self.account.owed_amount(team);
            let excess = demand.total_used().excess_over(self.account.held_amount(team) - owed);
            if owed.is_zero() || excess.is_zero() || self.stopped_for_limit_at.contains_key(team) {
                continue;
            }
            self.stopped_for_limit_at.insert(team.clone(), now);
            actions.push(QuotaAction::StopWork { team: team.clone(), level: 0, amount: excess });
        }
    }

    /// Updates the account with a page read from the state service.
    pub fn on_page(&mut self, page: &QuotaPage, now: Time) {
        let held_before: Vec<(TeamName, ResourceQuantities)> = page
            .pool
            .0
            .teams
            .keys()
            .map(|team| (team.clone(), self.account.held_amount(team)))
            .collect();
        self.account.on_page(page);
        for (team, before) in held_before {
            let held = self.account.held_amount(&team);
            if held != before && held.covers(before) {
                self.last_received_at.insert(team, now);
            }
        }
    }
}
