//! A leader that holds its key but reaches nobody: neither a worker nor another controller that could pass
//! reports on. Its grant would live for as long as the state service hears it, and every worker's lease would
//! end meanwhile. It gives the lead to whoever reaches more, and does not ask for it back at once.

use super::Node;
use crate::Time;
use crate::constants::*;

/// What a node has heard as a leader, and what it has given up for hearing nothing.
#[derive(Debug, Default)]
pub(super) struct Reach {
    heard_at: Time,
    /// No campaign before that.
    pub back_at: Time,
    pause_ms: u64,
}

impl Reach {
    /// A worker was heard, by itself or through another controller.
    pub fn heard(&mut self, now: Time) {
        self.heard_at = now;
        self.pause_ms = 0;
    }

    /// The lead is given up: when to ask for it again. Longer each time, so that controllers none of which
    /// reaches anybody do not pass it round.
    fn give_up(&mut self, now: Time) {
        self.pause_ms = (self.pause_ms * 2).clamp(RESIGN_MS, RESIGN_MOST_MS);
        self.back_at = now + self.pause_ms;
    }
}

impl Node {
    /// With every timer step of a leader.
    pub(super) fn weigh_reach(&mut self) {
        let now = self.now.steady;
        let Some(leader) = &self.leader else { return };
        let workers = &self.settings.settings.workers;
        let quiet = (workers.lease_s * QUIET_SHARE).max(2.0 * workers.report_s) * MS_PER_S;
        let silent = now.saturating_sub(self.reach.heard_at.max(leader.since)) as f64 > quiet;
        if !silent || self.settings.controllers() < 2 {
            return;
        }
        let up = leader.machines.values().filter(|m| m.heard.is_some() || !m.tasks.is_empty());
        let mut peers = self.peers.values().map(|p| now.saturating_sub(p.voucher.heard));
        if up.count() < RESIGN_MACHINES || peers.any(|age| (age as f64) < quiet) {
            return;
        }
        self.reach.give_up(now);
        self.give_back(self.term.grant);
        self.step_down("it reaches neither a worker nor another controller");
    }
}
