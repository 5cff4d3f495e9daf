//! Heartbeats between controllers: builds this controller's own and applies those of its peers.
//!
//! Owns the latest state of each peer ([`Peer`]). A received heartbeat updates `leadership` (fencing tokens and the
//! known leader), the cancellation quorum, the pending terminations and, if it comes from the leader, the task counts
//! for display.

use super::Controller;
use crate::constants::{FORMAT_VERSION, HEARTBEAT_VALIDITY_MS};
use crate::leadership::{LeaderProgress, PeerHealth, ReportedCancellation};
use swiftsail_protocol::controllers::Heartbeat;

/// State of another controller, from its latest heartbeat that was not stale.
pub(super) struct Peer {
    pub health: PeerHealth,
    /// Whether the peer states that it leads.
    pub is_leader: bool,
    /// Whether the peer, as the leader, distributes workers over all controllers.
    pub distributes_workers: bool,
    /// Share of its processor that the peer uses; none if it does not know.
    pub cpu_load: Option<f64>,
    /// The part of `cpu_load` that managing machines costs, independent of what is placed on them.
    pub baseline_load: Option<f64>,
}

impl Controller {
    /// Builds this controller's next heartbeat. An abridged one omits the task counts and the cluster attributes.
    pub fn build_heartbeat(&mut self, abridged: bool) -> Heartbeat {
        let cluster_attributes =
            if abridged { Vec::new() } else { self.cluster_attributes_for_peers() };
        let job_counts = match &self.cluster_state {
            Some(state) if !abridged => state.task_counts(),
            _ => Vec::new(),
        };
        let mut heartbeat = Heartbeat {
            controller: self.settings.host_name.clone(),
            fencing_token: self.leadership.highest_token,
            is_leader: self.is_leader(),
            since_store_response_ms: self.store_age_for_peers(),
            distributes_workers: self.distributes_workers(),
            cpu_load_permille: self.cpu.load().map(permille),
            machine_cpu_load_permille: self.cpu.baseline_load().map(permille),
            cluster_attributes,
            job_counts,
            incarnation: self.incarnation,
            applied_through: self.cluster_state.as_ref().map_or(0, |state| state.watched_revision),
            is_abridged: abridged,
            pending_terminations: self.pending_terminations_for_peers(),
            format_version: FORMAT_VERSION,
            ..Heartbeat::default()
        };
        self.cancellations.fill_heartbeat(&mut heartbeat, self.now.monotonic);
        heartbeat
    }

    /// Time since the state service last answered, ms; 0 while it is available. Also 0 if the known leader runs an
    /// earlier version: such a leader would treat any other age as an endorsement that no cancellation has been
    /// confirmed to a user.
    fn store_age_for_peers(&self) -> u64 {
        let is_available = !self.store.is_unavailable() && self.store.last_success_at.is_some();
        let leader = self.leadership.known_leader.as_ref();
        let is_legacy_leader = leader.is_some_and(|name| self.cancellations.is_legacy_peer(name));
        if is_available || is_legacy_leader {
            return 0;
        }
        self.now.monotonic.saturating_sub(self.store.last_success_at.unwrap_or(0))
    }

    /// Applies a peer's heartbeat. A heartbeat of a controller that is not in the settings is ignored.
    pub(super) fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let sender = &heartbeat.controller;
        if !self.settings.others.iter().any(|other| other.host_name == *sender) {
            return;
        }
        self.format_upgrade.on_peer_version(sender, heartbeat.format_version);
        let is_stale = self.apply_cancellations(heartbeat);
        // After the cancellations: stepping down records the pending terminations, including those just received.
        if self.leadership.observe_token(heartbeat.fencing_token) {
            self.step_down("another controller knows a newer token");
        }
        // A delayed heartbeat still reports cancellations, but not the current state of its sender.
        if is_stale {
            return;
        }
        if heartbeat.is_leader && heartbeat.fencing_token >= self.leadership.highest_token {
            self.follow_leader(heartbeat);
        }
        let share = |permille: Option<u32>| permille.map(|value| f64::from(value) / 1_000.0);
        let peer = Peer {
            health: PeerHealth {
                heartbeat_at: self.now.monotonic,
                store_age_ms: heartbeat.since_store_response_ms,
                highest_token: heartbeat.fencing_token,
            },
            is_leader: heartbeat.is_leader,
            distributes_workers: heartbeat.distributes_workers,
            cpu_load: share(heartbeat.cpu_load_permille),
            baseline_load: share(heartbeat.machine_cpu_load_permille),
        };
        self.peers.insert(sender.clone(), peer);
    }

    /// Applies the cancellations and the endorsement in a heartbeat. Returns whether the heartbeat is stale.
    fn apply_cancellations(&mut self, heartbeat: &Heartbeat) -> bool {
        let endorsements_from = self.endorsements_valid_from();
        let progress = self.cluster_state.as_ref().map(|state| LeaderProgress {
            token: state.token,
            read_revision: state.watched_revision,
            endorsements_from,
        });
        let outcome = self.cancellations.on_heartbeat(
            &self.settings.host_name,
            self.incarnation,
            heartbeat,
            progress,
        );
        let now = self.now;
        for ReportedCancellation { job, cancelled_wall } in &outcome.cancelled {
            match &mut self.cluster_state {
                Some(state) => state.on_remote_cancellation(
                    job,
                    *cancelled_wall,
                    now.monotonic,
                    now.wall_clock,
                ),
                None => self.add_pending_termination(job, *cancelled_wall),
            }
        }
        outcome.is_stale
    }

    /// Adopts the state of the leader and of the cluster from the leader's heartbeat.
    fn follow_leader(&mut self, heartbeat: &Heartbeat) {
        self.leadership.observe_leader(&heartbeat.controller, heartbeat.fencing_token);
        self.cancellations.advance_required_revision(heartbeat.applied_through);
        self.adopt_pending_terminations(heartbeat);
        if !heartbeat.is_abridged {
            self.cluster_attributes.clone_from(&heartbeat.cluster_attributes);
            let counts = heartbeat.job_counts.iter();
            self.task_counts =
                counts.map(|(job, done, running)| (job.clone(), (*done, *running))).collect();
        }
    }

    /// Whether the load balancer should route users to this controller. It is unhealthy while it cannot reach the state
    /// service and a peer's fresh heartbeat shows that the peer can. A controller that receives no fresh heartbeat either
    /// cannot tell, but cannot serve users, so it is unhealthy too. In an outage of the state service, heartbeats still
    /// arrive and all controllers stay healthy.
    pub fn is_healthy(&self) -> bool {
        if self.store.last_success_at.is_none() {
            return false;
        }
        if !self.store.is_unavailable() {
            return true;
        }
        let now = self.now.monotonic;
        let is_recent =
            |health: &PeerHealth| now.saturating_sub(health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS;
        let mut recent = self.peers.values().map(|peer| peer.health).filter(is_recent).peekable();
        let is_alone = self.settings.controllers() > 1 && recent.peek().is_none();
        let peers_reach_store = recent.any(|health| health.store_age_ms == 0);
        !(peers_reach_store || is_alone)
    }
}

fn permille(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
