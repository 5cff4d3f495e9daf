//! Detection of an isolated leader, which receives messages neither from workers nor from other controllers that
//! could forward reports. As long as it reaches the state service it would keep its own lease, while the leases of
//! all workers expire. Such a leader resigns, so that a better connected controller takes over, and does not campaign
//! again for a while.

use super::Controller;
use crate::Time;
use crate::constants::{
    MAX_RESIGNATION_BACKOFF_MS, MIN_ISOLATION_MACHINES, MS_PER_S, RESIGNATION_BACKOFF_MS,
    SILENT_LEASE_SHARE,
};

/// When workers last reached this leader, and how long it stays out of elections after resigning.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    last_contact_at: Time,
    /// This controller does not campaign before this time.
    pub campaign_after: Time,
    /// Length of the last pause, ms; 0 after contact with a worker.
    pause_ms: u64,
}

impl Isolation {
    /// Records a message from a worker, received directly or through another controller.
    pub fn on_worker_contact(&mut self, now: Time) {
        self.last_contact_at = now;
        self.pause_ms = 0;
    }

    /// Begins a pause before the next campaign. It doubles with each resignation in a row, so that leadership does
    /// not circulate quickly among controllers that are all isolated.
    fn start_pause(&mut self, now: Time) {
        self.pause_ms =
            (self.pause_ms * 2).clamp(RESIGNATION_BACKOFF_MS, MAX_RESIGNATION_BACKOFF_MS);
        self.campaign_after = now + self.pause_ms;
    }
}

impl Controller {
    /// Resigns if this leader is isolated. Called at every tick of the leader. A controller without peers, or one
    /// with only a few machines that should be reporting, never counts as isolated.
    pub(super) fn resign_if_isolated(&mut self) {
        let now = self.now.monotonic;
        let Some(state) = &self.cluster_state else { return };
        let workers = &self.settings.settings.workers;
        let limit_ms =
            (workers.lease_s * SILENT_LEASE_SHARE).max(2.0 * workers.report_s) * MS_PER_S;
        let contact_at = self.isolation.last_contact_at.max(state.leading_since);
        let has_no_contact = now.saturating_sub(contact_at) as f64 > limit_ms;
        if !has_no_contact || self.settings.controllers() < 2 {
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
        self.isolation.start_pause(now);
        self.revoke_lease(self.leadership.lease);
        self.step_down("it reaches neither a worker nor another controller");
    }
}
