//! Isolation of a leader: it holds its key but reaches neither a worker nor another controller that could forward
//! reports. Its lease would live for as long as it reaches the store, and every worker's lease would expire meanwhile. It
//! resigns, so that a controller that reaches more takes over, and does not campaign again at once.

use super::Controller;
use crate::Time;
use crate::constants::{
    MAX_RESIGNATION_BACKOFF_MS, MIN_ISOLATION_MACHINES, MS_PER_S, RESIGNATION_BACKOFF_MS,
    SILENT_LEASE_SHARE,
};

/// When a leader last heard a worker, and how long it stays out of elections after resigning.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    last_heard_at: Time,
    /// This controller does not campaign before this time.
    pub campaign_after: Time,
    pause_ms: u64,
}

impl Isolation {
    /// A worker was heard, directly or through another controller.
    pub fn on_worker_contact(&mut self, now: Time) {
        self.last_heard_at = now;
        self.pause_ms = 0;
    }

    /// The leader resigns. The pause doubles each time, so that controllers none of which reaches anybody do not pass
    /// leadership round.
    fn resign(&mut self, now: Time) {
        self.pause_ms =
            (self.pause_ms * 2).clamp(RESIGNATION_BACKOFF_MS, MAX_RESIGNATION_BACKOFF_MS);
        self.campaign_after = now + self.pause_ms;
    }
}

impl Controller {
    /// Resigns if this leader is isolated. Called with every tick of the leader. A controller without peers, or one that
    /// expects few machines, is never held to be isolated.
    pub(super) fn resign_if_isolated(&mut self) {
        let now = self.now.monotonic;
        let Some(state) = &self.cluster_state else { return };
        let workers = &self.settings.settings.workers;
        let limit_ms =
            (workers.lease_s * SILENT_LEASE_SHARE).max(2.0 * workers.report_s) * MS_PER_S;
        let heard_at = self.isolation.last_heard_at.max(state.leading_since);
        let is_silent = now.saturating_sub(heard_at) as f64 > limit_ms;
        if !is_silent || self.settings.controllers() < 2 {
            return;
        }
        let should_report = |machine: &&crate::machine::Machine| {
            machine.last_contact_at.is_some() || !machine.tasks.is_empty()
        };
        let machines = state.machines.values().filter(should_report).count();
        let mut peer_ages =
            self.peers.values().map(|peer| now.saturating_sub(peer.health.heartbeat_at));
        if machines < MIN_ISOLATION_MACHINES || peer_ages.any(|age| (age as f64) < limit_ms) {
            return;
        }
        self.isolation.resign(now);
        self.revoke_lease(self.leadership.lease);
        self.step_down("it reaches neither a worker nor another controller");
    }
}
