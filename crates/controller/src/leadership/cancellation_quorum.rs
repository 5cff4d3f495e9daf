//! Quorum replication of cancellations: ensures that a leader knows all confirmed cancellations before it answers
//! workers, even while it cannot read the state service.
//!
//! Invariant: *a controller that answers a worker's report under a fencing token knows every cancellation that was
//! confirmed to a user more than `cancel_s - lease_s`, less a margin, ago.* A worker whose lease is renewed by such an
//! answer is commanded to stop a cancelled task, or its lease expires, within `cancel_s`. A leader that reads the state
//! service knows all cancellations as of its read. Without the state service, two quorums uphold the invariant:
//!
//! - A cancellation is confirmed to its user only once [`replicas_needed`] controllers *hold* it.
//! - A leader that cannot read the state service answers workers only with the *endorsement* of
//!   [`endorsements_needed`] controllers, including itself. A peer endorses the leader by a heartbeat that acknowledges
//!   one of the leader's heartbeats and carries all cancellations that the peer holds. The endorsement is valid from
//!   the time at which the acknowledged heartbeat was built, not from the arrival of the acknowledgement.
//!
//! The two quorum sizes add up to more than the number of controllers, so the quorums intersect: at least one endorsing
//! controller holds the cancellation, and its endorsement carries it to the leader.
//!
//! A controller holds a cancellation either as a [`PendingCancellation`] or implicitly, by its *required leader
//! revision*: it keeps no pending cancellations up to that revision, and endorses only a leader that has itself read
//! the store up to it. A process that restarts loses its pending cancellations. Its required leader revision is then
//! the first store revision that it reads, and everything that the previous process held is older than that. Pending
//! cancellations may therefore be dropped at any time by raising the required leader revision. This can cost a leader
//! its endorsements, but it never breaks a confirmation given to a user.
//!
//! Peers are identified by host name and not by incarnation, because a process that replaces another one requires a
//! revision above everything that the other held.
//!
//! Pure state, without I/O: the cancellations that this controller holds, and what its peers have acknowledged.
//! `controller::peers` passes heartbeats in and out.

use crate::Time;
use crate::constants::{MAX_HEARTBEAT_HISTORY, MAX_PENDING_CANCELLATIONS, STORE_TIMEOUT_MS};
use crate::job::JobId;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::users::is_valid_job_id;

/// Number of controllers, including the leader, that must endorse a leader that cannot read the state service.
pub fn endorsements_needed(controllers: usize) -> usize {
    controllers / 2 + 1
}

/// Number of controllers that must hold a cancellation before it is confirmed to its user.
pub fn replicas_needed(controllers: usize) -> usize {
    controllers - controllers / 2
}

/// A committed cancellation that this controller keeps for a leader that may not have read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingCancellation {
    /// Store revision at which the cancellation was committed, or a later one at which it was read.
    pub revision: u64,
    /// Wall-clock time of the cancellation, ms.
    pub cancelled_wall: u64,
    /// Sequence number of the last heartbeat built before the cancellation was recorded; every later one carries it.
    heartbeats_before: u64,
}

/// Of a controller that leads: how far it has read the state service, and which endorsements are valid for it.
#[derive(Debug, Clone, Copy)]
pub struct LeaderProgress {
    /// The leader's fencing token.
    pub token: u64,
    /// Store revision up to which the leader has applied all job changes.
    pub read_revision: u64,
    /// Endorsements that acknowledge a heartbeat built before this time are not valid.
    pub endorsements_from: Time,
}

/// Identifies a heartbeat by the incarnation of the sending process and its sequence number there. All 0: none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct HeartbeatNumber {
    incarnation: u64,
    sequence: u64,
}

/// A heartbeat built by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Time,
}

/// State derived from the heartbeats of a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct PeerCancellations {
    /// Highest required leader revision that the peer has sent.
    required_leader_revision: u64,
    /// Sequence number of the latest heartbeat of this process that the peer has acknowledged.
    acknowledged: u64,
    /// The peer's latest heartbeat of which this controller holds all cancellations. It is acknowledged to the peer.
    latest: HeartbeatNumber,
    /// When this leader built the heartbeat that the peer's latest endorsement acknowledges.
    endorsed_at: Option<Time>,
    /// Whether the peer's program version reports the cancellations that it holds. A version that does not may have
    /// confirmed cancellations that no other controller knows.
    reports_cancellations: bool,
}

/// A cancellation reported by a peer's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCancellation {
    /// The cancelled job.
    pub job: JobId,
    /// Wall-clock time of the cancellation, ms.
    pub cancelled_wall: u64,
}

/// Result of applying a received heartbeat.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// The cancellations that the heartbeat reports.
    pub cancelled: Vec<ReportedCancellation>,
    /// A later heartbeat of the same process has already been applied. Only the cancellations of this one are still
    /// to be applied.
    pub is_stale: bool,
}

/// The cancellations that this controller holds, and what its peers have acknowledged and endorsed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CancellationQuorum {
    /// See the module documentation. None until this process has read the state service.
    required_leader_revision: Option<u64>,
    pending: BTreeMap<JobId, PendingCancellation>,
    /// Number of heartbeats built, which is the sequence number of the latest one.
    heartbeats_built: u64,
    /// The latest heartbeats built, oldest first; at most [`MAX_HEARTBEAT_HISTORY`].
    sent: VecDeque<SentHeartbeat>,
    /// State of each peer, by host name.
    peers: BTreeMap<String, PeerCancellations>,
}

impl CancellationQuorum {
    /// Called when the state service has been read at `revision`. The first revision becomes the required leader
    /// revision, since everything that an earlier process on this host held is older.
    pub fn on_store_read(&mut self, revision: u64) {
        self.required_leader_revision.get_or_insert(revision);
    }

    /// Raises the required leader revision to `revision` and drops the pending cancellations that it covers. Does
    /// nothing if the required revision is already as high, or if the state service has not been read yet.
    pub fn advance_required_revision(&mut self, revision: u64) {
        if let Some(required) = self.required_leader_revision.as_mut().filter(|r| **r < revision) {
            *required = revision;
            self.pending.retain(|_, cancellation| cancellation.revision > revision);
        }
    }

    /// Whether the required leader revision covers changes committed at `revision`.
    fn requires_leader_to_have_read(&self, revision: u64) -> bool {
        self.required_leader_revision.is_some_and(|required| required >= revision)
    }

    /// Records a committed cancellation as held by this controller. Returns false if the limit of pending cancellations
    /// is reached and none may be dropped. This happens only before the process has read the state service; afterwards
    /// the oldest ones are dropped by raising the required leader revision.
    pub fn record_cancellation(&mut self, job: &JobId, revision: u64, cancelled_wall: u64) -> bool {
        if self.requires_leader_to_have_read(revision) || self.pending.contains_key(job) {
            return true;
        }
        if self.pending.len() >= MAX_PENDING_CANCELLATIONS && !self.drop_oldest() {
            return false;
        }
        let heartbeats_before = self.heartbeats_built;
        self.pending.insert(
            job.clone(),
            PendingCancellation { revision, cancelled_wall, heartbeats_before },
        );
        true
    }

    /// Drops the oldest pending cancellations by raising the required leader revision to theirs. Returns false if this
    /// process has not read the state service and therefore has no required leader revision yet.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.pending.values().map(|cancellation| cancellation.revision).min();
        let Some(oldest) = oldest.filter(|_| self.required_leader_revision.is_some()) else {
            return false;
        };
        self.advance_required_revision(oldest);
        true
    }

    /// The pending cancellations, in the order of their job ids.
    pub fn pending(&self) -> impl Iterator<Item = (&JobId, &PendingCancellation)> {
        self.pending.iter()
    }

    /// Whether enough controllers, including this one, hold the cancellation of the job for it to be confirmed to its
    /// user. `revision` is the store revision at which the caller saw the cancellation; it is used if the cancellation
    /// is no longer pending.
    pub fn is_replicated(&self, job: &str, revision: u64, controllers: usize) -> bool {
        let pending = self.pending.get(job);
        let revision = pending.map_or(revision, |cancellation| cancellation.revision);
        let held_here = pending.is_some() || self.requires_leader_to_have_read(revision);
        let holds = |peer: &&PeerCancellations| {
            peer.required_leader_revision >= revision
                || pending.is_some_and(|c| c.heartbeats_before < peer.acknowledged)
        };
        let peers = self.peers.values().filter(holds).count();
        held_here && peers + 1 >= replicas_needed(controllers)
    }

    /// Whether the cancellation of the job is pending and no heartbeat built so far carries it.
    pub fn awaits_first_heartbeat(&self, job: &str) -> bool {
        self.pending.get(job).is_some_and(|c| c.heartbeats_before == self.heartbeats_built)
    }

    /// Assigns the next sequence number to a heartbeat built at `now`, and fills in the required leader revision, the
    /// pending cancellations and the acknowledgements.
    pub fn fill_heartbeat(&mut self, heartbeat: &mut Heartbeat, now: Time) {
        self.heartbeats_built += 1;
        self.sent.push_back(SentHeartbeat { sequence: self.heartbeats_built, sent_at: now });
        if self.sent.len() > MAX_HEARTBEAT_HISTORY {
            self.sent.pop_front();
        }
        heartbeat.sequence = self.heartbeats_built;
        heartbeat.required_leader_revision = self.required_leader_revision;
        heartbeat.pending_cancellations = self
            .pending
            .iter()
            .map(|(job, c)| (job.to_string(), c.revision, c.cancelled_wall))
            .collect();
        heartbeat.acknowledged_heartbeats = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.latest.incarnation != 0)
            .map(|(name, peer)| (name.clone(), peer.latest.incarnation, peer.latest.sequence))
            .collect();
    }

    /// Applies a heartbeat of a peer. `host_name` and `incarnation` are this controller's own. `progress` is set while
    /// this controller leads; only then can the heartbeat endorse it.
    pub fn on_heartbeat(
        &mut self,
        host_name: &str,
        incarnation: u64,
        heartbeat: &Heartbeat,
        progress: Option<LeaderProgress>,
    ) -> HeartbeatOutcome {
        let (cancelled, all_held) = self.record_reported_cancellations(heartbeat);
        let mut outcome = HeartbeatOutcome { cancelled, is_stale: false };
        let peer = self.peers.entry(heartbeat.controller.clone()).or_default();
        peer.reports_cancellations = heartbeat.incarnation != 0;
        if !peer.reports_cancellations {
            return outcome;
        }
        outcome.is_stale = peer.latest.incarnation == heartbeat.incarnation
            && heartbeat.sequence < peer.latest.sequence;
        if all_held && !outcome.is_stale {
            let Heartbeat { incarnation, sequence, .. } = *heartbeat;
            peer.latest = HeartbeatNumber { incarnation, sequence };
        }
        // The maximum over all incarnations: a new process requires a revision above everything the old one held.
        peer.required_leader_revision =
            peer.required_leader_revision.max(heartbeat.required_leader_revision.unwrap_or(0));
        let acknowledged = heartbeat
            .acknowledged_heartbeats
            .iter()
            .find(|(name, of, _)| name == host_name && *of == incarnation)
            .map(|(.., sequence)| *sequence);
        let Some(acknowledged) = acknowledged else { return outcome };
        peer.acknowledged = peer.acknowledged.max(acknowledged);
        let requested_at =
            self.sent.iter().find(|sent| sent.sequence == acknowledged).map(|sent| sent.sent_at);
        if let Some(progress) = progress.filter(|p| all_held && endorses(heartbeat, p)) {
            let valid_from = requested_at.filter(|at| *at >= progress.endorsements_from);
            peer.endorsed_at = peer.endorsed_at.max(valid_from);
        }
        outcome
    }

    /// Records the cancellations in a heartbeat. Returns those with a valid job id, and whether this controller now
    /// holds all of them. Only the first [`MAX_PENDING_CANCELLATIONS`] are processed: a heartbeat with more than any
    /// controller may hold is never acknowledged.
    fn record_reported_cancellations(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> (Vec<ReportedCancellation>, bool) {
        let mut all_held = heartbeat.pending_cancellations.len() <= MAX_PENDING_CANCELLATIONS;
        let mut reported = Vec::new();
        let bounded = heartbeat.pending_cancellations.iter().take(MAX_PENDING_CANCELLATIONS);
        for (id, revision, cancelled_wall) in bounded {
            if is_valid_job_id(id) {
                let job = JobId::from(id.as_str());
                all_held &= self.record_cancellation(&job, *revision, *cancelled_wall);
                reported.push(ReportedCancellation { job, cancelled_wall: *cancelled_wall });
            }
        }
        (reported, all_held)
    }

    /// Whether the peer's latest heartbeat came from a program version that does not report held cancellations.
    pub fn is_legacy_peer(&self, host_name: &str) -> bool {
        self.peers.get(host_name).is_some_and(|peer| !peer.reports_cancellations)
    }

    /// Discards all endorsements. Called when a term of this controller begins, since those of an earlier term are not
    /// valid for it.
    pub fn clear_endorsements(&mut self) {
        for peer in self.peers.values_mut() {
            peer.endorsed_at = None;
        }
    }

    /// Returns the time as of which this controller, while it leads, knows every cancellation confirmed to a user. That
    /// is the later of `read_at`, the start of its latest successful read, and the time of the oldest of the most recent
    /// endorsements that make up the quorum. Endorsements requested before `endorsements_from` are ignored. Returns
    /// `now` if there are no other controllers.
    pub fn known_as_of(
        &self,
        read_at: Option<Time>,
        endorsements_from: Time,
        controllers: usize,
        now: Time,
    ) -> Option<Time> {
        let needed_of_peers = endorsements_needed(controllers) - 1;
        let Some(oldest_needed) = needed_of_peers.checked_sub(1) else { return Some(now) };
        // A peer that has never sent a heartbeat, or does not report held cancellations, may have confirmed a
        // cancellation that no other controller knows.
        let reporting = self.peers.values().filter(|peer| peer.reports_cancellations).count();
        if reporting + 1 < controllers {
            return read_at;
        }
        let mut endorsed: Vec<Time> = self
            .peers
            .values()
            .filter_map(|peer| peer.endorsed_at)
            .filter(|at| *at >= endorsements_from)
            .collect();
        endorsed.sort_unstable_by(|left, right| right.cmp(left));
        read_at.max(endorsed.get(oldest_needed).copied())
    }
}

/// Whether a peer's heartbeat endorses this leader, provided that this controller holds all of its cancellations.
fn endorses(heartbeat: &Heartbeat, leader: &LeaderProgress) -> bool {
    heartbeat.required_leader_revision.is_some_and(|required| required <= leader.read_revision)
        && heartbeat.fencing_token <= leader.token
        // A peer that reaches the state service may follow a newer leader that reaches it too.
        && heartbeat.since_store_response_ms > STORE_TIMEOUT_MS
}
