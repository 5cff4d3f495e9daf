//! The other controllers: heartbeats, and what they vouch for.

use super::Controller;
use crate::cluster_state::ClusterState;
use crate::constants::{FORMAT_VERSION, HEARTBEAT_FRESH_MS};
use crate::leadership::{LeaderProgress, PeerHealth};
use swiftsail_protocol::controllers::Heartbeat;

/// What is known of another controller.
pub(super) struct Peer {
    pub health: PeerHealth,
    pub is_leader: bool,
    pub distributes_workers: bool,
    /// Share of its processor that it uses, and that machines cost it.
    pub load: Option<f64>,
    /// See `load`.
    pub baseline_load: Option<f64>,
}

impl Controller {
    /// This node's heartbeat. A brief one leaves out what is for display.
    pub fn build_heartbeat(&mut self, brief: bool) -> Heartbeat {
        let ok = self.store.last_success_at.unwrap_or(0);
        let away = self.store.is_unavailable() || self.store.last_success_at.is_none();
        // A leader of an earlier version would take this for "nothing was cancelled".
        let leader = self.leadership.known_leader.as_ref();
        let away = away && !leader.is_some_and(|l| self.cancellations.is_legacy_peer(l));
        let counts = self.cluster_state.as_ref().filter(|_| !brief).map(ClusterState::task_counts);
        let mut beat = Heartbeat {
            controller: self.settings.host_name.clone(),
            fencing_token: self.leadership.highest_token,
            is_leader: self.is_leader(),
            since_store_response_ms: if away { self.now.monotonic.saturating_sub(ok) } else { 0 },
            distributes_workers: self.distributes_workers(),
            cpu_load_permille: self.cpu.load().map(thousandths),
            machine_cpu_load_permille: self.cpu.baseline_load().map(thousandths),
            cluster_attributes: if brief {
                Vec::new()
            } else {
                self.cluster_attributes_for_peers()
            },
            job_counts: counts.unwrap_or_default(),
            incarnation: self.incarnation,
            applied_through: self.cluster_state.as_ref().map_or(0, |l| l.watched_revision),
            is_abridged: brief,
            pending_terminations: self.pending_terminations_for_peers(),
            format_version: FORMAT_VERSION,
            ..Heartbeat::default()
        };
        self.cancellations.fill_heartbeat(&mut beat, self.now.monotonic);
        beat
    }

    pub(super) fn on_heartbeat(&mut self, beat: &Heartbeat) {
        if !self.settings.others.iter().any(|o| o.host_name == beat.controller) {
            return;
        }
        self.format_upgrade.on_peer_version(&beat.controller, beat.format_version);
        let from = self.endorsements_valid_from();
        let lead = self.cluster_state.as_ref().map(|l| LeaderProgress {
            token: l.token,
            read_revision: l.watched_revision,
            endorsements_from: from,
        });
        let heard =
            self.cancellations.on_heartbeat(&self.settings.host_name, self.incarnation, beat, lead);
        let now = self.now;
        for (id, wall) in &heard.cancelled {
            match &mut self.cluster_state {
                Some(leader) => {
                    leader.on_remote_cancellation(id, *wall, now.monotonic, now.wall_clock)
                }
                None => self.add_pending_termination(id, *wall),
            }
        }
        // Only then: what it has just learnt is owed too.
        if self.leadership.observe_token(beat.fencing_token) {
            self.step_down("another controller knows a newer token");
        }
        // What was held up on its way tells of cancellations, and of nothing as it is now.
        if heard.is_stale {
            return;
        }
        if beat.is_leader && beat.fencing_token >= self.leadership.highest_token {
            self.leadership.observe_leader(&beat.controller, beat.fencing_token);
            self.cancellations.advance_required_revision(beat.applied_through);
            self.adopt_pending_terminations(beat);
            if !beat.is_abridged {
                self.cluster_attributes.clone_from(&beat.cluster_attributes);
                self.task_counts =
                    beat.job_counts.iter().map(|(id, d, r)| (id.clone(), (*d, *r))).collect();
            }
        }
        let voucher = PeerHealth {
            heard_at: self.now.monotonic,
            store_age_ms: beat.since_store_response_ms,
            highest_token: beat.fencing_token,
        };
        let share = |told: Option<u32>| told.map(|l| f64::from(l) / 1_000.0);
        let (load, upkeep) = (share(beat.cpu_load_permille), share(beat.machine_cpu_load_permille));
        let peer = Peer {
            health: voucher,
            is_leader: beat.is_leader,
            distributes_workers: beat.distributes_workers,
            load,
            baseline_load: upkeep,
        };
        self.peers.insert(beat.controller.clone(), peer);
    }

    /// Whether users should be sent here: not while this node alone is without the store. Without the other
    /// controllers too it cannot know, and one that reaches nobody is no use to users: in an outage of the
    /// store the others are heard, and nobody is turned away for it.
    pub fn is_healthy(&self) -> bool {
        if self.store.last_success_at.is_none() {
            return false;
        }
        let now = self.now.monotonic;
        let mut heard = self.peers.values().map(|p| p.health);
        let fresh = |v: &PeerHealth| now.saturating_sub(v.heard_at) <= HEARTBEAT_FRESH_MS;
        let others_have_it = heard.clone().any(|v| fresh(&v) && v.store_age_ms == 0);
        let lone = self.settings.controllers() > 1 && !heard.any(|v| fresh(&v));
        !(self.store.is_unavailable() && (others_have_it || lone))
    }
}

fn thousandths(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
