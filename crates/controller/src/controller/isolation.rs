//! A leader that holds its key but reaches nobody: neither a worker nor another controller that could pass
//! reports on. Its grant would live for as long as the state service hears it, and every worker's lease would
//! end meanwhile. It gives the lead to whoever reaches more, and does not ask for it back at once.

use super::Controller;
use crate::Time;
use crate::constants::{MS_PER_S, QUIET_SHARE, RESIGN_MACHINES, RESIGN_MAX_MS, RESIGN_MS};

/// What a node has heard as a leader, and what it has given up for hearing nothing.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    last_heard_at: Time,
    /// No campaign before that.
    pub campaign_after: Time,
    pause_ms: u64,
}

impl Isolation {
    /// A worker was heard, by itself or through another controller.
    pub fn on_worker_heard(&mut self, now: Time) {
        self.last_heard_at = now;
        self.pause_ms = 0;
    }

    /// The lead is given up: when to ask for it again. Longer each time, so that controllers none of which
    /// reaches anybody do not pass it round.
    fn resign(&mut self, now: Time) {
        self.pause_ms = (self.pause_ms * 2).clamp(RESIGN_MS, RESIGN_MAX_MS);
        self.campaign_after = now + self.pause_ms;
    }
}

impl Controller {
    /// With every timer step of a leader.
    pub(super) fn resign_if_isolated(&mut self) {
        let now = self.now.monotonic;
        let Some(leader) = &self.cluster_state else { return };
        let workers = &self.settings.settings.workers;
        let quiet = (workers.lease_s * QUIET_SHARE).max(2.0 * workers.report_s) * MS_PER_S;
        let silent = now.saturating_sub(self.isolation.last_heard_at.max(leader.leading_since))
            as f64
            > quiet;
        if !silent || self.settings.controllers() < 2 {
            return;
        }
        let up =
            leader.machines.values().filter(|m| m.last_heard_at.is_some() || !m.tasks.is_empty());
        let mut peers = self.peers.values().map(|p| now.saturating_sub(p.health.heard_at));
        if up.count() < RESIGN_MACHINES || peers.any(|age| (age as f64) < quiet) {
            return;
        }
        self.isolation.resign(now);
        self.revoke_lease(self.leadership.lease);
        self.step_down("it reaches neither a worker nor another controller");
    }
}
