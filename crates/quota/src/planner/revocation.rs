//! Guarantees across partitions. A team's usage is summed over all partitions. If work within a guarantee cannot be
//! placed, quota that another team uses beyond its guarantee ("borrowed" quota) is revoked in the partition where that
//! team uses the most. A revocation is confirmed only when the stopped tasks are confirmed terminated.

use super::{QuotaAction, QuotaMessage, QuotaPlanner};
use crate::Time;
use crate::constants::{REVOCATION_HOLD_MS, REVOCATION_TIMEOUT_MS};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, TeamName};
use std::collections::BTreeMap;

/// Phase of a revocation in the partition that stops the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevocationPhase {
    /// Work is being stopped. It counts as used until it is confirmed terminated.
    Stopping,
    /// The work was confirmed terminated at this time. For [`REVOCATION_HOLD_MS`] the freed capacity is not used by the
    /// same team again.
    Confirmed(Time),
}

/// A revocation in the partition that stops the work.
#[derive(Debug, Clone)]
pub(super) struct QuotaRevocation {
    phase: RevocationPhase,
    requester: PartitionId,
    /// The most that the team's work other than production may use here meanwhile.
    pub usage_limit: ResourceQuantities,
    started_at: Time,
}

impl QuotaRevocation {
    /// Changes the phase; nothing else does. [`RevocationPhase::Confirmed`] is final.
    fn advance_phase(&mut self, to: RevocationPhase) {
        if self.phase == RevocationPhase::Stopping {
            self.phase = to;
        }
    }
}

impl QuotaPlanner {
    /// A team's usage in all partitions. A partition without a current report counts with all the quota that it holds.
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

    /// Whether a team's usage in all partitions, with `more` in addition, stays within its guarantee. Only CPUs are
    /// compared.
    pub fn is_within_guarantee(
        &self,
        team: &str,
        guarantee: ResourceQuantities,
        more: ResourceQuantities,
    ) -> bool {
        guarantee.cpus >= self.total_usage(team).cpus + more.cpus
    }

    /// Called when work within a guarantee cannot be placed for lack of `missing`. Selects the team that exceeds its
    /// guarantee by most, and has some of its work stopped in the partition where it uses the most. Returns `None` if
    /// nothing can be revoked now. At most one revocation per team is in progress.
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

    /// Starts a revocation of `amount` in this partition. The request is refused if the team uses less than that here.
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
        // A repeated request must not stop the same amount of work again.
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

    /// Confirms finished revocations to their requesters, and removes those that have timed out or whose hold time is
    /// over.
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
                // Some work, such as service replicas, cannot be stopped: the revocation is given up.
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
