//! Guarantees across deciders: a team's use is counted in all, and what others have borrowed is recalled where
//! most of it is. A recall ends with proof.

use super::{Action, Message, Planner};
use crate::Time;
use crate::constants::*;
use crate::fixed::{Amount, Amounts};
use crate::records::{Decider, Team};
use std::collections::BTreeMap;

/// Where a recall stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecallStage {
    /// Work is being stopped; it counts until it is proved gone.
    Stopping,
    /// It is proved gone; the room is not filled again with the same team's work for a while.
    Proved(Time),
}

/// A recall on the side that is asked.
#[derive(Debug, Clone)]
pub(super) struct Recall {
    stage: RecallStage,
    by: Decider,
    /// What the team may still use here.
    pub most: Amounts,
    begun: Time,
}

impl Recall {
    /// The one function that changes the stage: what is proved stays so.
    fn advance(&mut self, to: RecallStage) {
        if self.stage == RecallStage::Stopping {
            self.stage = to;
        }
    }
}

impl Planner {
    /// What a team uses in all. Of a decider that told nothing lately, all that it has.
    pub fn uses_in_all(&self, team: &str) -> Amounts {
        let others = self.others().into_iter().map(|d| self.used_at(&d, team));
        others.chain(std::iter::once(self.need(team).uses())).sum()
    }

    fn used_at(&self, decider: &str, team: &str) -> Amounts {
        match self.told.get(decider) {
            Some((_, told)) => told.get(team).map_or(Amounts::default(), |t| t.need.uses()),
            None => {
                let held = self.account.page().holdings.get(decider);
                held.and_then(|(h, _)| h.has.get(team)).copied().unwrap_or_default()
            }
        }
    }

    /// Whether a team is within its guarantee with as much more: by the sum, not by each decider's part.
    pub fn guaranteed(&self, team: &str, guarantee: Amounts, more: Amounts) -> bool {
        guarantee.cpus >= self.uses_in_all(team).cpus + more.cpus
    }

    /// Work within a guarantee finds no room for so much: the team that has borrowed most is asked to stop
    /// some of it, where it uses most. One question at a time for each team that borrows.
    pub fn recall(
        &mut self,
        guarantees: &BTreeMap<Team, Amounts>,
        lacks: Amounts,
        now: Time,
    ) -> Option<Action> {
        self.recalled.retain(|_, until| now < *until);
        let borrowed = |(team, guarantee): (&Team, &Amounts)| {
            let beyond = self.uses_in_all(team).cpus - guarantee.cpus;
            let open = !self.recalled.contains_key(team) && beyond > Amount::ZERO;
            open.then(|| (beyond, team.clone()))
        };
        let (beyond, team) = guarantees.iter().filter_map(borrowed).max()?;
        let places = self.others().into_iter().map(|d| (self.used_at(&d, &team).cpus, d));
        let (used, to) = places.max().unwrap_or_default();
        let own = self.need(&team).uses().cpus;
        let most = lacks.cpus.min(beyond).min(used.max(own));
        let amount = Amounts { cpus: most, gpus: Amount::ZERO };
        if amount.cpus <= Amount::ZERO {
            return None;
        }
        self.recalled.insert(team.clone(), now + RECALL_MS);
        // It has most of it itself.
        if own >= used {
            let by = self.decider.clone();
            return self.recall_here(&by, team, amount, now).pop();
        }
        Some(Action::Tell(to, Message::Recall { team, amount }))
    }

    pub(super) fn recall_here(
        &mut self,
        by: &str,
        team: Team,
        amount: Amounts,
        now: Time,
    ) -> Vec<Action> {
        let used = self.need(&team).uses();
        if used.cpus < amount.cpus {
            let refuse = Message::Refuse { team, again_ms: RECALL_MS };
            return vec![Action::Tell(by.to_string(), refuse)];
        }
        // Asked twice, it stops as much once.
        if self.recalls.contains_key(&team) {
            return Vec::new();
        }
        let most = used.with(amount, |used, off| (used - off).max(Amount::ZERO));
        let recall = Recall { stage: RecallStage::Stopping, by: by.to_string(), most, begun: now };
        self.recalls.insert(team.clone(), recall);
        vec![Action::Free { team, level: 0, amount }]
    }

    /// Which recalls have come to their end, by what is proved gone.
    pub(super) fn follow_recalls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let used: Vec<(Team, Amounts)> =
            self.recalls.keys().map(|t| (t.clone(), self.need(t).uses())).collect();
        for (team, used) in used {
            let Some(recall) = self.recalls.get_mut(&team) else { continue };
            match recall.stage {
                RecallStage::Stopping if recall.most.cpus >= used.cpus => {
                    recall.advance(RecallStage::Proved(now));
                    let told = Message::Recalled { team };
                    actions.push(Action::Tell(recall.by.clone(), told));
                }
                // What cannot be stopped (replicas) is not waited for.
                RecallStage::Stopping if now >= recall.begun + RECALL_MS => {
                    self.recalls.remove(&team);
                }
                RecallStage::Proved(at) if now >= at + RECALL_HOLD_MS => {
                    self.recalls.remove(&team);
                }
                _ => {}
            }
        }
    }
}
