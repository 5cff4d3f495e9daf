//! Transfers between partitions: requests to others for what the pool does not have, and what is given to those
//! that ask here. A request counts until it is served, refused or [`TRANSFER_REQUEST_TTL_MS`] old.

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

/// How far the transfer to a partition that asked has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferPhase {
    /// Asked for; nothing has been done yet.
    Requested,
    /// New work is held back, and less urgent work stopped, until enough is proved gone.
    Freeing,
    /// A transaction with a part of the amount has been sent.
    Transferring,
}

/// What another partition has asked for.
#[derive(Debug, Clone)]
pub(super) struct OutgoingTransfer {
    phase: TransferPhase,
    /// Urgency level of the work for which it was asked.
    pub level: usize,
    /// What is still to be given.
    amount: ResourceQuantities,
    requester_usage: ReportedTeamUsage,
    pub requested_at: Time,
}

impl OutgoingTransfer {
    /// A request as it has arrived.
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
    /// The one function that changes the phase.
    fn advance_phase(&mut self, to: TransferPhase) {
        self.phase = to;
    }
}

/// What a team lacks in this partition.
#[derive(Debug, Clone, Copy)]
pub(super) struct MissingQuota {
    /// The most urgent level that lacks something.
    level: usize,
    pub amount: ResourceQuantities,
}

/// The smallest difference, of what is held, for which two partitions that both lack quota are evened out.
fn rebalance_threshold(held: Quantity) -> Quantity {
    Quantity::from_units(held.units() / REBALANCE_DIVISOR)
}

/// One partition's share of what two hold together, in proportion to what each needs.
fn proportional_share(total: Quantity, own_need: Quantity, other_need: Quantity) -> Quantity {
    let total_need = (own_need + other_need).to_f64();
    if total_need <= total.to_f64() {
        own_need
    } else {
        Quantity::from_limit(total.to_f64() * own_need.to_f64() / total_need)
    }
}

impl QuotaPlanner {
    /// What this partition is to keep of a team's quota once it has given to one that asked: what its own work of the
    /// requested urgency and above needs, or, if both need more than there is, its share in proportion. Never less
    /// than what it holds without the requested amount.
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

    /// Another partition wants more of a team's quota. It is refused at once if nothing can be given.
    pub(super) fn on_transfer_request(
        &mut self,
        from: &str,
        team: TeamName,
        mut transfer: OutgoingTransfer,
        now: Time,
    ) -> Vec<QuotaAction> {
        let held = self.account.held_amount(&team);
        let gift = held - self.balanced_holding(&team, &transfer);
        let is_production = transfer.level == 0;
        // What was just received is not given away again, or it would go back and forth.
        let received_lately =
            self.last_received_at.get(&team).is_some_and(|at| now < at + RECEIVED_QUOTA_HOLD_MS)
                && !is_production;
        let key = (team, from.to_string());
        if received_lately || !self.is_worth_giving(&key.0, &transfer, gift) {
            self.outgoing_transfers.remove(&key);
            let (team, requester) = key;
            let refusal =
                QuotaMessage::Refusal { team, retry_after_ms: TRANSFER_REQUEST_INTERVAL_MS * 2 };
            return vec![QuotaAction::SendMessage(requester, refusal)];
        }
        let known_phase = self.outgoing_transfers.get(&key).map(|known| known.phase);
        let has_begun = known_phase.is_some_and(|phase| phase != TransferPhase::Requested);
        let mut actions = Vec::new();
        // For production less urgent work is stopped; otherwise what ends by itself is given.
        let unused = held.excess_over(self.demand_of(&key.0).total_used());
        let to_stop = gift.excess_over(unused);
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

    /// Whether a gift is large enough for a transaction. Where this partition lacks quota too, the gift must also
    /// even out a noticeable difference, production excepted.
    fn is_worth_giving(
        &self,
        team: &str,
        transfer: &OutgoingTransfer,
        gift: ResourceQuantities,
    ) -> bool {
        let held = self.account.held_amount(team);
        let own_need = self.demand_of(team).used_or_wanted_up_to(transfer.level);
        let is_contested = !(held - gift).covers(own_need);
        let min_transfer = self.min_transfer(team);
        let least = if transfer.level > 0 && is_contested {
            min_transfer.zip_with(held, |least, held| least.max(rebalance_threshold(held)))
        } else {
            min_transfer
        };
        gift.cpus >= least.cpus || gift.gpus > Quantity::ZERO && gift.gpus >= least.gpus
    }

    /// The smallest amount that is worth a transaction: a small part of the team's limit.
    pub(super) fn min_transfer(&self, team: &str) -> ResourceQuantities {
        self.account.page().pool.0.teams.get(team).map_or(ResourceQuantities::ZERO, |quota| {
            quota.limit.map(|limit| Quantity::from_units(limit.units() / MIN_TRANSFER_DIVISOR))
        })
    }

    /// What each team lacks here.
    pub(super) fn missing_by_team(&self) -> BTreeMap<TeamName, MissingQuota> {
        let missing = |(team, demand): (&TeamName, &TeamDemand)| {
            let level = demand.most_urgent_level()?;
            let amount = (demand.total_used() + demand.total_wanted())
                .excess_over(self.account.held_amount(team));
            (!amount.is_zero()).then(|| (team.clone(), MissingQuota { level, amount }))
        };
        self.demands.iter().filter_map(missing).collect()
    }

    /// A transaction for the first partition whose request can be served now, with everything that it asked for.
    pub(super) fn transfer_to_requester(
        &mut self,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let to = self.outgoing_transfers.iter().find_map(|((team, to), transfer)| {
            let amount = self.transferable_amount(team, transfer, used);
            (!amount.is_zero()).then(|| to.clone())
        })?;
        let mut gifts = BTreeMap::new();
        let requests =
            self.outgoing_transfers.iter().filter(|((_, requester), _)| *requester == to);
        for ((team, _), transfer) in requests {
            gifts.insert(team.clone(), self.transferable_amount(team, transfer, used));
        }
        gifts.retain(|_, gift| !gift.is_zero());
        let transaction = self.account.transfer_holding(Some(&to), &gifts, used)?;
        for (team, gift) in gifts {
            if let Some(transfer) = self.outgoing_transfers.get_mut(&(team, to.clone())) {
                transfer.advance_phase(TransferPhase::Transferring);
                // What has been sent counts as theirs: only the rest is still to be given.
                transfer.amount = transfer.amount.excess_over(gift);
                transfer.requester_usage.held += gift;
            }
        }
        self.outgoing_transfers.retain(|_, transfer| !transfer.amount.is_zero());
        Some(transaction)
    }

    /// What can be given now: no more than is unused, and nothing that is not worth a transaction.
    fn transferable_amount(
        &self,
        team: &str,
        transfer: &OutgoingTransfer,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> ResourceQuantities {
        let held = self.account.held_amount(team);
        let to_give = held.excess_over(self.balanced_holding(team, transfer));
        let used = used.get(team).copied().unwrap_or_default();
        let gift = to_give
            .zip_with(held - used, |to_give, unused| to_give.min(unused).max(Quantity::ZERO));
        let least = self.min_transfer(team).zip_with(transfer.amount, Quantity::min);
        gift.zip_with(least, |gift, least| if gift < least { Quantity::ZERO } else { gift })
    }

    /// Asks others for what the pool does not have: for each team the partition that seems to have most to spare.
    pub(super) fn request_transfers(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        for (team, missing) in self.missing_by_team() {
            let Some(quota) = self.account.page().pool.0.teams.get(&team) else { continue };
            let amount = missing.amount - quota.free;
            let least = self.min_transfer(&team);
            let is_small =
                missing.level > 0 && amount.cpus < least.cpus && amount.gpus <= Quantity::ZERO;
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

    /// Of the partitions that hold some of a team's quota and may be asked now, the one with most CPUs to spare; among
    /// equals the one that holds most.
    fn partition_with_most_to_spare(
        &self,
        team: &str,
        level: usize,
        now: Time,
    ) -> Option<PartitionId> {
        let candidate = |partition: PartitionId| {
            let may_ask = self
                .next_request_at
                .get(&(team.to_string(), partition.clone()))
                .is_none_or(|at| now >= *at);
            let reported = self.peer_usage.get(&partition).and_then(|peer| peer.teams.get(team));
            let spare = reported.map_or(Quantity::ZERO, |usage| {
                (usage.held - usage.demand.used_or_wanted_up_to(level)).cpus
            });
            // One that reported nothing has nothing of the team, or its message was lost: then the page says.
            let recorded = self.account.page().holdings.get(&partition)?.0.held.get(team)?.cpus;
            let held = reported.map_or(recorded, |usage| usage.held.cpus);
            may_ask.then_some((spare, held, partition))
        };
        let best = self.other_partitions().into_iter().filter_map(candidate).max();
        best.map(|(_, _, partition)| partition)
    }
}
