//! Transfers between partitions: requests to other partitions for quota that the pool lacks, and the handling of their
//! requests. A request is valid until it is served, refused or [`TRANSFER_REQUEST_TTL_MS`] old.

use super::{
    QuotaAction, QuotaMessage, QuotaPlanner, ReportedTeamUsage, TeamDemand, URGENCY_LEVELS,
};
use crate::Time;
use crate::constants::{
    MIN_TRANSFER_DIVISOR, REBALANCE_DIVISOR, RECEIVED_QUOTA_HOLD_MS, TRANSFER_REQUEST_INTERVAL_MS,
    TRANSFER_REQUEST_TTL_MS,
};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, QuotaTransaction, TeamName};
use std::collections::BTreeMap;

/// Phase of a transfer to a requesting partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferPhase {
    /// Requested; nothing has been done yet.
    Requested,
    /// New work is deferred and less urgent work stopped, until enough of it is confirmed terminated.
    Freeing,
    /// A transaction with some of the amount has been sent.
    Transferring,
}

/// A transfer requested by another partition.
#[derive(Debug, Clone)]
pub(super) struct OutgoingTransfer {
    phase: TransferPhase,
    /// Urgency level of the work that needs the quota.
    pub level: usize,
    /// Amount still to be transferred.
    amount: ResourceQuantities,
    requester_usage: ReportedTeamUsage,
    pub requested_at: Time,
}

impl OutgoingTransfer {
    /// A transfer for a request that has just been received.
    pub(super) fn requested(
        level: usize,
        amount: ResourceQuantities,
        requester_usage: ReportedTeamUsage,
        now: Time,
    ) -> OutgoingTransfer {
        OutgoingTransfer {
            phase: TransferPhase::Requested,
            level: level.min(URGENCY_LEVELS - 1),
            amount,
            requester_usage,
            requested_at: now,
        }
    }

    /// Changes the phase; nothing else does.
    fn advance_phase(&mut self, to: TransferPhase) {
        self.phase = to;
    }
}

/// Quota that a team lacks in this partition.
#[derive(Debug, Clone, Copy)]
pub(super) struct MissingQuota {
    /// The most urgent level at which quota is wanted.
    level: usize,
    pub amount: ResourceQuantities,
}

/// The smallest amount that is moved between two partitions that both lack quota, given the giver's holding.
fn rebalance_threshold(held: Quantity) -> Quantity {
    Quantity::from_units(held.units() / REBALANCE_DIVISOR)
}

/// One partition's share of the quota that two partitions hold together: its need, or if `total` is too little for
/// both, its part of `total` in proportion to the needs.
fn proportional_share(total: Quantity, own_need: Quantity, other_need: Quantity) -> Quantity {
    let total_need = (own_need + other_need).to_f64();
    if total_need <= total.to_f64() {
        own_need
    } else {
        Quantity::from_limit(total.to_f64() * own_need.to_f64() / total_need)
    }
}

impl QuotaPlanner {
    /// The quota of a team that this partition keeps after the transfer: the amount that its own work of the requested
    /// urgency and above needs or, if both partitions together need more than they hold, its share in proportion. Never
    /// less than its holding without the requested amount.
    pub(super) fn balanced_holding(
        &self,
        team: &str,
        transfer: &OutgoingTransfer,
    ) -> ResourceQuantities {
        let held = self.account.held_amount(team);
        let own_need = self.demand_of(team).used_or_wanted_up_to(transfer.level);
        let other_need = transfer.requester_usage.demand.used_or_wanted_up_to(transfer.level);
        let total = held + transfer.requester_usage.held;
        let fair = ResourceQuantities {
            cpus: proportional_share(total.cpus, own_need.cpus, other_need.cpus),
            gpus: proportional_share(total.gpus, own_need.gpus, other_need.gpus),
        };
        fair.zip_with(held - transfer.amount, Quantity::max).zip_with(held, Quantity::min)
    }

    /// Handles a transfer request from another partition. It is refused at once if too little can be given.
    pub(super) fn on_transfer_request(
        &mut self,
        from: &str,
        team: TeamName,
        mut transfer: OutgoingTransfer,
        now: Time,
    ) -> Vec<QuotaAction> {
        let held = self.account.held_amount(&team);
        let transferable = held - self.balanced_holding(&team, &transfer);
        let is_production = transfer.level == 0;
        // Except to production, quota received recently is not transferred again, or it would oscillate.
        let received_recently =
            self.last_received_at.get(&team).is_some_and(|at| now < at + RECEIVED_QUOTA_HOLD_MS)
                && !is_production;
        let key = (team, from.to_string());
        if received_recently || !self.is_worth_transferring(&key.0, &transfer, transferable) {
            self.outgoing_transfers.remove(&key);
            let (team, requester) = key;
            let refusal =
                QuotaMessage::Refusal { team, retry_after_ms: TRANSFER_REQUEST_INTERVAL_MS * 2 };
            return vec![QuotaAction::SendMessage(requester, refusal)];
        }
        let known_phase = self.outgoing_transfers.get(&key).map(|known| known.phase);
        let has_begun = known_phase.is_some_and(|phase| phase != TransferPhase::Requested);
        let mut actions = Vec::new();
        // For production, less urgent work is stopped. For other work, quota is transferred as tasks end by themselves.
        let unused = held.excess_over(self.demand_of(&key.0).total_used());
        let to_stop = transferable.excess_over(unused);
        if is_production && !has_begun && !to_stop.is_zero() {
            actions.push(QuotaAction::StopWork {
                team: key.0.clone(),
                level: transfer.level,
                amount: to_stop,
            });
        }
        transfer.advance_phase(match is_production {
            true => TransferPhase::Freeing,
            false => known_phase.unwrap_or(TransferPhase::Requested),
        });
        self.outgoing_transfers.insert(key, transfer);
        actions
    }

    /// Whether an amount is large enough for a transaction. For work other than production, and if this partition would
    /// lack quota itself, the amount must also reach the rebalance threshold.
    fn is_worth_transferring(
        &self,
        team: &str,
        transfer: &OutgoingTransfer,
        transferable: ResourceQuantities,
    ) -> bool {
        let held = self.account.held_amount(team);
        let own_need = self.demand_of(team).used_or_wanted_up_to(transfer.level);
        let is_contested = !(held - transferable).covers(own_need);
        let min_transfer = self.min_transfer(team);
        let min_amount = if transfer.level > 0 && is_contested {
            min_transfer.zip_with(held, |min, held| min.max(rebalance_threshold(held)))
        } else {
            min_transfer
        };
        transferable.cpus >= min_amount.cpus
            || transferable.gpus > Quantity::ZERO && transferable.gpus >= min_amount.gpus
    }

    /// The smallest amount that is worth a transaction: the team's limit divided by [`MIN_TRANSFER_DIVISOR`].
    pub(super) fn min_transfer(&self, team: &str) -> ResourceQuantities {
        self.account.page().pool.0.teams.get(team).map_or(ResourceQuantities::ZERO, |quota| {
            quota.limit.map(|limit| Quantity::from_units(limit.units() / MIN_TRANSFER_DIVISOR))
        })
    }

    /// The quota that each team lacks in this partition; only teams that lack some.
    pub(super) fn missing_by_team(&self) -> BTreeMap<TeamName, MissingQuota> {
        let missing = |(team, demand): (&TeamName, &TeamDemand)| {
            let level = demand.most_urgent_level()?;
            let amount = (demand.total_used() + demand.total_wanted())
                .excess_over(self.account.held_amount(team));
            (!amount.is_zero()).then(|| (team.clone(), MissingQuota { level, amount }))
        };
        self.demands.iter().filter_map(missing).collect()
    }

    /// A transaction for the first requester to which quota can be transferred now, for all teams that it requested.
    pub(super) fn transfer_to_requester(
        &mut self,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let to = self.outgoing_transfers.iter().find_map(|((team, to), transfer)| {
            let amount = self.transferable_amount(team, transfer, used);
            (!amount.is_zero()).then(|| to.clone())
        })?;
        let mut amounts = BTreeMap::new();
        let requests =
            self.outgoing_transfers.iter().filter(|((_, requester), _)| *requester == to);
        for ((team, _), transfer) in requests {
            amounts.insert(team.clone(), self.transferable_amount(team, transfer, used));
        }
        amounts.retain(|_, transferable| !transferable.is_zero());
        let transaction = self.account.transfer_holding(Some(&to), &amounts, used)?;
        for (team, transferable) in amounts {
            if let Some(transfer) = self.outgoing_transfers.get_mut(&(team, to.clone())) {
                transfer.advance_phase(TransferPhase::Transferring);
                // The transferred quota counts as the requester's; only the rest is still to be transferred.
                transfer.amount = transfer.amount.excess_over(transferable);
                transfer.requester_usage.held += transferable;
            }
        }
        self.outgoing_transfers.retain(|_, transfer| !transfer.amount.is_zero());
        Some(transaction)
    }

    /// The amount that can be transferred now: at most the unused quota, and zero if it is not worth a transaction.
    fn transferable_amount(
        &self,
        team: &str,
        transfer: &OutgoingTransfer,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> ResourceQuantities {
        let held = self.account.held_amount(team);
        let excess = held.excess_over(self.balanced_holding(team, transfer));
        let used = used.get(team).copied().unwrap_or_default();
        let transferable =
            excess.zip_with(held - used, |excess, unused| excess.min(unused).max(Quantity::ZERO));
        let min_amount = self.min_transfer(team).zip_with(transfer.amount, Quantity::min);
        transferable.zip_with(min_amount, |transferable, min_amount| {
            if transferable < min_amount { Quantity::ZERO } else { transferable }
        })
    }

    /// For each team, requests the quota that the pool lacks from the partition that seems to have the most to spare.
    pub(super) fn request_transfers(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        for (team, missing) in self.missing_by_team() {
            let Some(quota) = self.account.page().pool.0.teams.get(&team) else { continue };
            let amount = missing.amount - quota.free;
            let min_transfer = self.min_transfer(&team);
            let is_small = missing.level > 0
                && amount.cpus < min_transfer.cpus
                && amount.gpus <= Quantity::ZERO;
            if is_small || ResourceQuantities::ZERO.covers(amount) {
                continue;
            }
            let Some(to) = self.partition_with_most_to_spare(&team, missing.level, now) else {
                continue;
            };
            self.next_request_at
                .insert((team.clone(), to.clone()), now + TRANSFER_REQUEST_INTERVAL_MS);
            let usage = self.usage_of(&team);
            let level = missing.level;
            let request = QuotaMessage::TransferRequest { team, level, amount, usage };
            actions.push(QuotaAction::SendMessage(to, request));
        }
        self.next_request_at.retain(|_, at| now < *at + TRANSFER_REQUEST_TTL_MS);
    }

    /// Of the partitions that hold quota of a team and may be asked now, the one with the most CPUs to spare; among
    /// equals the one that holds the most.
    fn partition_with_most_to_spare(
        &self,
        team: &str,
        level: usize,
        now: Time,
    ) -> Option<PartitionId> {
        let candidate = |partition: PartitionId| {
            let may_request = self
                .next_request_at
                .get(&(team.to_string(), partition.clone()))
                .is_none_or(|at| now >= *at);
            let reported = self.peer_usage.get(&partition).and_then(|peer| peer.teams.get(team));
            let spare = reported.map_or(Quantity::ZERO, |usage| {
                (usage.held - usage.demand.used_or_wanted_up_to(level)).cpus
            });
            // Without a report the partition may have no quota of the team, or the message was lost: the page decides.
            let recorded = self.account.page().holdings.get(&partition)?.0.held.get(team)?.cpus;
            let held = reported.map_or(recorded, |usage| usage.held.cpus);
            may_request.then_some((spare, held, partition))
        };
        let most_to_spare = self.other_partitions().into_iter().filter_map(candidate).max();
        most_to_spare.map(|(_, _, partition)| partition)
    }
}
