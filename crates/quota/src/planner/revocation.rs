//! Guarantees across partitions. A team's usage is summed over all of them, and where work within a guarantee finds
//! no room, quota that another team has borrowed is revoked where most of it is used. A revocation is confirmed only
//! when the stopped work is proved gone.

use super::{QuotaAction, QuotaMessage, QuotaPlanner};
use crate::Time;
use crate::constants::{REVOCATION_HOLD_MS, REVOCATION_TIMEOUT_MS};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, TeamName};
use std::collections::BTreeMap;

/// How far a revocation has come in the partition that stops the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevocationPhase {
    /// Work is being stopped; it counts as used until it is proved gone.
    Stopping,
    /// Proved gone at this time. For [`REVOCATION_HOLD_MS`] the room is not filled with the same team's work again.
    Confirmed(Time),
}

/// A revocation in the partition that stops the work.
#[derive(Debug, Clone)]
pub(super) struct QuotaRevocation {
    phase: RevocationPhase,
    requester: PartitionId,
    /// What the team may use here meanwhile, production excepted.
    pub usage_limit: ResourceQuantities,
    started_at: Time,
}

impl QuotaRevocation {
    /// The one function that changes the phase: a confirmed revocation stays so.
    fn advance_phase(&mut self, to: RevocationPhase) {
        if self.phase == RevocationPhase::Stopping {
            self.phase = to;
        }
    }
}

impl QuotaPlanner {
    /// What a team uses in all partitions. One that has reported nothing lately counts with all that it holds.
    pub fn total_usage(&self, team: &str) -> ResourceQuantities {
        let others = self.other_partitions().into_iter();
        others
            .map(|partition| self.usage_in_partition(&partition, team))
            .chain([self.demand_of(team).total_used()])
            .sum()
    }

    fn usage_in_partition(&self, partition: &str, team: &str) -> ResourceQuantities {
        if let Some(peer) = self.peer_usage.get(partition) {
            let reported = peer.teams.get(team);
            return reported.map(|usage| usage.demand.total_used()).unwrap_or_default();
        }
        let holding = self.account.page().holdings.get(partition);
        holding.and_then(|(holding, _)| holding.held.get(team)).copied().unwrap_or_default()
    }

    /// Whether a team stays within its CPU guarantee with `more` in addition, by its usage in all partitions.
    pub fn is_within_guarantee(
        &self,
        team: &str,
        guarantee: ResourceQuantities,
        more: ResourceQuantities,
    ) -> bool {
        guarantee.cpus >= self.total_usage(team).cpus + more.cpus
    }

    /// To be called when work within a guarantee finds no room for `missing`: asks the partition in which the team that
    /// has borrowed most uses most to stop some of that team's work. None: nothing can be revoked now. There is one
    /// revocation per borrowing team at a time.
    pub fn revoke_borrowed_quota(
        &mut self,
        guarantees: &BTreeMap<TeamName, ResourceQuantities>,
        missing: ResourceQuantities,
        now: Time,
    ) -> Option<QuotaAction> {
        self.requested_revocations.retain(|_, until| now < *until);
        let borrowed = |(team, guarantee): (&TeamName, &ResourceQuantities)| {
            let borrowed = self.total_usage(team).cpus - guarantee.cpus;
            let may_revoke =
                !self.requested_revocations.contains_key(team) && borrowed > Quantity::ZERO;
            may_revoke.then(|| (borrowed, team.clone()))
        };
        let (borrowed, team) = guarantees.iter().filter_map(borrowed).max()?;
        let (used_there, partition) = self
            .other_partitions()
            .into_iter()
            .map(|partition| (self.usage_in_partition(&partition, &team).cpus, partition))
            .max()
            .unwrap_or_default();
        let used_here = self.demand_of(&team).total_used().cpus;
        let cpus = missing.cpus.min(borrowed).min(used_there.max(used_here));
        if cpus <= Quantity::ZERO {
            return None;
        }
        let amount = ResourceQuantities { cpus, gpus: Quantity::ZERO };
        self.requested_revocations.insert(team.clone(), now + REVOCATION_TIMEOUT_MS);
        if used_here >= used_there {
            let requester = self.partition.clone();
            return self.start_local_revocation(&requester, team, amount, now).pop();
        }
        Some(QuotaAction::SendMessage(partition, QuotaMessage::RevocationRequest { team, amount }))
    }

    /// Begins to stop work of a team for a requester, which is refused if less than that is used here.
    pub(super) fn start_local_revocation(
        &mut self,
        requester: &str,
        team: TeamName,
        amount: ResourceQuantities,
        now: Time,
    ) -> Vec<QuotaAction> {
        let used = self.demand_of(&team).total_used();
        if used.cpus < amount.cpus {
            let refusal = QuotaMessage::Refusal { team, retry_after_ms: REVOCATION_TIMEOUT_MS };
            return vec![QuotaAction::SendMessage(requester.to_string(), refusal)];
        }
        // A repeated request must not stop as much a second time.
        if self.local_revocations.contains_key(&team) {
            return Vec::new();
        }
        let revocation = QuotaRevocation {
            phase: RevocationPhase::Stopping,
            requester: requester.to_string(),
            usage_limit: used.excess_over(amount),
            started_at: now,
        };
        self.local_revocations.insert(team.clone(), revocation);
        vec![QuotaAction::StopWork { team, level: 0, amount }]
    }

    /// Confirms revocations whose work is proved gone to their requesters, and ends those that are over.
    pub(super) fn advance_revocations(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        let used_by_team: Vec<(TeamName, ResourceQuantities)> = self
            .local_revocations
            .keys()
            .map(|team| (team.clone(), self.demand_of(team).total_used()))
            .collect();
        for (team, used) in used_by_team {
            let Some(revocation) = self.local_revocations.get_mut(&team) else { continue };
            match revocation.phase {
                RevocationPhase::Stopping if revocation.usage_limit.cpus >= used.cpus => {
                    revocation.advance_phase(RevocationPhase::Confirmed(now));
                    let requester = revocation.requester.clone();
                    let confirmation = QuotaMessage::Revoked { team };
                    actions.push(QuotaAction::SendMessage(requester, confirmation));
                }
                // What cannot be stopped (replicas) is not waited for.
                RevocationPhase::Stopping
                    if now >= revocation.started_at + REVOCATION_TIMEOUT_MS =>
                {
                    self.local_revocations.remove(&team);
                }
                RevocationPhase::Confirmed(at) if now >= at + REVOCATION_HOLD_MS => {
                    self.local_revocations.remove(&team);
                }
                _ => {}
            }
        }
    }
}
