//! Guarantees across deciders: a team's use is counted in all, and what others have borrowed is recalled where
//! most of it is. A recall ends with proof.

use super::{QuotaAction, QuotaMessage, QuotaPlanner};
use crate::Time;
use crate::constants::{REVOCATION_HOLD_MS, REVOCATION_TIMEOUT_MS};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, TeamName};
use std::collections::BTreeMap;

/// Where a recall stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevocationPhase {
    /// Work is being stopped; it counts until it is proved gone.
    Stopping,
    /// It is proved gone; the room is not filled again with the same team's work for a while.
    Confirmed(Time),
}

/// A recall on the side that is asked.
#[derive(Debug, Clone)]
pub(super) struct QuotaRevocation {
    phase: RevocationPhase,
    requester: PartitionId,
    /// What the team may still use here.
    pub usage_limit: ResourceQuantities,
    started_at: Time,
}

impl QuotaRevocation {
    /// The one function that changes the stage: what is proved stays so.
    fn advance_phase(&mut self, to: RevocationPhase) {
        if self.phase == RevocationPhase::Stopping {
            self.phase = to;
        }
    }
}

impl QuotaPlanner {
    /// What a team uses in all. Of a decider that told nothing lately, all that it has.
    pub fn total_usage(&self, team: &str) -> ResourceQuantities {
        let others = self.other_partitions().into_iter().map(|d| self.usage_in_partition(&d, team));
        others.chain(std::iter::once(self.demand_of(team).total_used())).sum()
    }

    fn usage_in_partition(&self, decider: &str, team: &str) -> ResourceQuantities {
        match self.peer_usage.get(decider) {
            Some((_, told)) => {
                told.get(team).map_or(ResourceQuantities::default(), |t| t.demand.total_used())
            }
            None => {
                let held = self.account.page().holdings.get(decider);
                held.and_then(|(h, _)| h.held.get(team)).copied().unwrap_or_default()
            }
        }
    }

    /// Whether a team is within its guarantee with as much more: by the sum, not by each decider's part.
    pub fn is_within_guarantee(
        &self,
        team: &str,
        guarantee: ResourceQuantities,
        more: ResourceQuantities,
    ) -> bool {
        guarantee.cpus >= self.total_usage(team).cpus + more.cpus
    }

    /// Work within a guarantee finds no room for so much: the team that has borrowed most is asked to stop
    /// some of it, where it uses most. One question at a time for each team that borrows.
    pub fn revoke_borrowed_quota(
        &mut self,
        guarantees: &BTreeMap<TeamName, ResourceQuantities>,
        lacks: ResourceQuantities,
        now: Time,
    ) -> Option<QuotaAction> {
        self.requested_revocations.retain(|_, until| now < *until);
        let borrowed = |(team, guarantee): (&TeamName, &ResourceQuantities)| {
            let beyond = self.total_usage(team).cpus - guarantee.cpus;
            let open = !self.requested_revocations.contains_key(team) && beyond > Quantity::ZERO;
            open.then(|| (beyond, team.clone()))
        };
        let (beyond, team) = guarantees.iter().filter_map(borrowed).max()?;
        let places = self
            .other_partitions()
            .into_iter()
            .map(|d| (self.usage_in_partition(&d, &team).cpus, d));
        let (used, to) = places.max().unwrap_or_default();
        let own = self.demand_of(&team).total_used().cpus;
        let most = lacks.cpus.min(beyond).min(used.max(own));
        let amount = ResourceQuantities { cpus: most, gpus: Quantity::ZERO };
        if amount.cpus <= Quantity::ZERO {
            return None;
        }
        self.requested_revocations.insert(team.clone(), now + REVOCATION_TIMEOUT_MS);
        // It has most of it itself.
        if own >= used {
            let by = self.partition.clone();
            return self.start_local_revocation(&by, team, amount, now).pop();
        }
        Some(QuotaAction::SendMessage(to, QuotaMessage::RevocationRequest { team, amount }))
    }

    pub(super) fn start_local_revocation(
        &mut self,
        by: &str,
        team: TeamName,
        amount: ResourceQuantities,
        now: Time,
    ) -> Vec<QuotaAction> {
        let used = self.demand_of(&team).total_used();
        if used.cpus < amount.cpus {
            let refuse = QuotaMessage::Refusal { team, retry_after_ms: REVOCATION_TIMEOUT_MS };
            return vec![QuotaAction::SendMessage(by.to_string(), refuse)];
        }
        // Asked twice, it stops as much once.
        if self.local_revocations.contains_key(&team) {
            return Vec::new();
        }
        let most = used.zip_with(amount, |used, off| (used - off).max(Quantity::ZERO));
        let recall = QuotaRevocation {
            phase: RevocationPhase::Stopping,
            requester: by.to_string(),
            usage_limit: most,
            started_at: now,
        };
        self.local_revocations.insert(team.clone(), recall);
        vec![QuotaAction::StopWork { team, level: 0, amount }]
    }

    /// Which recalls have come to their end, by what is proved gone.
    pub(super) fn advance_revocations(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        let used: Vec<(TeamName, ResourceQuantities)> = self
            .local_revocations
            .keys()
            .map(|t| (t.clone(), self.demand_of(t).total_used()))
            .collect();
        for (team, used) in used {
            let Some(recall) = self.local_revocations.get_mut(&team) else { continue };
            match recall.phase {
                RevocationPhase::Stopping if recall.usage_limit.cpus >= used.cpus => {
                    recall.advance_phase(RevocationPhase::Confirmed(now));
                    let told = QuotaMessage::Revoked { team };
                    actions.push(QuotaAction::SendMessage(recall.requester.clone(), told));
                }
                // What cannot be stopped (replicas) is not waited for.
                RevocationPhase::Stopping if now >= recall.started_at + REVOCATION_TIMEOUT_MS => {
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
