//! Which cancellations a controller must know before it answers workers: the quorum argument, and this controller's
//! part of it.
//!
//! The invariant: *whoever answers a worker's report under a fencing token knows every cancellation that any user was
//! told of more than `cancel_s - lease_s`, less a margin, ago.* A worker whose lease is renewed by such an answer is
//! commanded to stop a cancelled task, or its lease ends, within `cancel_s`. A leader that reads the state service
//! knows all cancellations as of its read. Without the state service, two quorums uphold the invariant:
//!
//! - a user is told of a cancellation only once [`replicas_needed`] controllers *hold* it;
//! - a leader that cannot read the state service answers workers only with the *endorsement* of
//!   [`endorsements_needed`] controllers, itself included. A peer endorses with a heartbeat that acknowledges a
//!   heartbeat of the leader, and which carries all cancellations that the peer holds. The endorsement counts from
//!   when the acknowledged heartbeat was made, not from when its acknowledgement arrived.
//!
//! The sum of the two numbers is above the number of controllers, so they share a controller: one that endorses also
//! holds the cancellation, and the endorsement carries it to the leader.
//!
//! A controller holds a cancellation either as a [`PendingCancellation`], or by its *required leader revision*: the
//! revision up to which it holds none and instead requires a leader to have read for itself. It endorses only a leader
//! that has read up to that revision. A restarted process has lost its pending cancellations; its required leader
//! revision is the first store revision that it reads, and whatever the previous process held is older than that.
//! Pending cancellations may therefore be dropped at any time by raising the required leader revision. That can cost a
//! leader its endorsements, but never a user the promise.
//!
//! A peer is known by its host name and not by its incarnation: a process that replaces another requires a revision
//! above all that the other held.
//!
//! Pure: it owns what this controller holds and what its peers acknowledged; `controller::peers` passes heartbeats in
//! and out.

use crate::Time;
use crate::constants::{MAX_HEARTBEAT_HISTORY, MAX_PENDING_CANCELLATIONS, STORE_TIMEOUT_MS};
use crate::job::JobId;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::users::is_valid_job_id;

/// Number of controllers, the leader included, that must endorse a leader which cannot read the state service.
pub fn endorsements_needed(controllers: usize) -> usize {
    controllers / 2 + 1
}

/// Number of controllers that must hold a cancellation before its user is told.
pub fn replicas_needed(controllers: usize) -> usize {
    controllers - controllers / 2
}

/// A committed cancellation that this controller holds for a leader that may not have read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingCancellation {
    /// Store revision at which it was committed, or a later one at which it was read.
    pub revision: u64,
    /// Time of day of the cancellation, ms.
    pub cancelled_wall: u64,
    /// Sequence number of the last heartbeat made before it was recorded: every later one carries it.
    heartbeats_before: u64,
}

/// How far this controller, while it leads, has read the state service, and which endorsements count for it.
#[derive(Debug, Clone, Copy)]
pub struct LeaderProgress {
    /// Its fencing token.
    pub token: u64,
    /// Store revision up to which it has applied all changes of jobs.
    pub read_revision: u64,
    /// Endorsements requested, by a heartbeat made, before this time do not count.
    pub endorsements_from: Time,
}

/// A heartbeat by the process that made it and its sequence number in that process. All 0: none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct HeartbeatNumber {
    incarnation: u64,
    sequence: u64,
}

/// A heartbeat made by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Time,
}

/// What a peer's heartbeats have said.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct PeerCancellations {
    /// The highest of its required leader revisions.
    required_leader_revision: u64,
    /// Sequence number of the latest heartbeat of this process that it has acknowledged.
    acknowledged: u64,
    /// Its latest heartbeat all of whose cancellations are held here; acknowledged to it.
    latest: HeartbeatNumber,
    /// When the heartbeat of this leader was made that its latest endorsement acknowledges.
    endorsed_at: Option<Time>,
    /// Whether its program version reports the cancellations that it holds. One that does not may have told users of
    /// any.
    reports_cancellations: bool,
}

/// A cancellation that a peer's heartbeat reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCancellation {
    /// The cancelled job.
    pub job: JobId,
    /// Time of day of the cancellation, ms.
    pub cancelled_wall: u64,
}

/// What a received heartbeat means.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// The cancellations that it reports.
    pub cancelled: Vec<ReportedCancellation>,
    /// A later heartbeat of the same process was received before it: only its cancellations are news.
    pub is_stale: bool,
}

/// The cancellations that this controller holds, and what its peers hold and endorse.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CancellationQuorum {
    /// None until this process has read the state service.
    required_leader_revision: Option<u64>,
    pending: BTreeMap<JobId, PendingCancellation>,
    heartbeats_made: u64,
    /// The latest heartbeats made, oldest first; at most [`MAX_HEARTBEAT_HISTORY`].
    sent: VecDeque<SentHeartbeat>,
    /// By host name.
    peers: BTreeMap<String, PeerCancellations>,
}

impl CancellationQuorum {
    /// The state service was read at this revision. The first one becomes the required leader revision: whatever an
    /// earlier process on this host held is older.
    pub fn on_store_read(&mut self, revision: u64) {
        self.required_leader_revision.get_or_insert(revision);
    }

    /// Requires leaders to have read up to this revision from now on, and drops the pending cancellations that they
    /// then know. Does nothing if the requirement is already as high, or before the state service was read.
    pub fn advance_required_revision(&mut self, revision: u64) {
        if let Some(required) = self.required_leader_revision.as_mut().filter(|r| **r < revision) {
            *required = revision;
            self.pending.retain(|_, cancellation| cancellation.revision > revision);
        }
    }

    /// Whether the required leader revision covers what was committed at this revision.
    fn requires_leader_to_have_read(&self, revision: u64) -> bool {
        self.required_leader_revision.is_some_and(|required| required >= revision)
    }

    /// Holds a committed cancellation. False if there is no room for it, which happens only to a process that has not
    /// read the state service: any other makes room by raising its required leader revision.
    pub fn record_cancellation(&mut self, job: &JobId, revision: u64, cancelled_wall: u64) -> bool {
        if self.requires_leader_to_have_read(revision) || self.pending.contains_key(job) {
            return true;
        }
        if self.pending.len() >= MAX_PENDING_CANCELLATIONS && !self.drop_oldest() {
            return false;
        }
        let heartbeats_before = self.heartbeats_made;
        self.pending.insert(
            job.clone(),
            PendingCancellation { revision, cancelled_wall, heartbeats_before },
        );
        true
    }

    /// Drops the oldest pending cancellations by requiring leaders to have read them. False if this process has not
    /// read the state service, and so may not require anything yet.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.pending.values().map(|cancellation| cancellation.revision).min();
        let Some(oldest) = oldest.filter(|_| self.required_leader_revision.is_some()) else {
            return false;
        };
        self.advance_required_revision(oldest);
        true
    }

    /// The pending cancellations, by job.
    pub fn pending(&self) -> impl Iterator<Item = (&JobId, &PendingCancellation)> {
        self.pending.iter()
    }

    /// Whether enough controllers, this one among them, hold the cancellation of the job for its user to be told.
    /// `revision` is the store revision at which the caller saw it, and counts if it is no longer pending.
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

    /// Whether the cancellation of the job is pending and no heartbeat has carried it yet.
    pub fn awaits_first_heartbeat(&self, job: &str) -> bool {
        self.pending.get(job).is_some_and(|c| c.heartbeats_before == self.heartbeats_made)
    }

    /// Numbers a heartbeat made at `now`, and fills in all that is held and what is acknowledged.
    pub fn fill_heartbeat(&mut self, heartbeat: &mut Heartbeat, now: Time) {
        self.heartbeats_made += 1;
        self.sent.push_back(SentHeartbeat { sequence: self.heartbeats_made, sent_at: now });
        if self.sent.len() > MAX_HEARTBEAT_HISTORY {
            self.sent.pop_front();
        }
        heartbeat.sequence = self.heartbeats_made;
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

    /// Applies a heartbeat of a peer. `host_name` and `incarnation` are this controller's own; `progress` is set
    /// while it leads, and only then can the heartbeat endorse it.
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
        // Over all incarnations: a new process requires a revision above all that the old one held.
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
            let counts = requested_at.filter(|at| *at >= progress.endorsements_from);
            peer.endorsed_at = peer.endorsed_at.max(counts);
        }
        outcome
    }

    /// Holds the cancellations that a heartbeat reports: those with a valid job id, and whether all are now held. More
    /// than any controller holds are cut off, and then not all are held: such a heartbeat is never acknowledged.
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

    /// Whether the peer's latest heartbeat was of a program version that does not report what the peer holds.
    pub fn is_legacy_peer(&self, host_name: &str) -> bool {
        self.peers.get(host_name).is_some_and(|peer| !peer.reports_cancellations)
    }

    /// A term of this controller begins: no endorsement of an earlier one counts for it.
    pub fn clear_endorsements(&mut self) {
        for peer in self.peers.values_mut() {
            peer.endorsed_at = None;
        }
    }

    /// As of when this controller, while it leads, knows every cancellation that any user was told of: the later of
    /// `read_at`, when its latest successful read began, and the time of the weakest of the endorsements it needs.
    /// Endorsements requested before `endorsements_from` do not count. `now` if there are no other controllers.
    pub fn known_as_of(
        &self,
        read_at: Option<Time>,
        endorsements_from: Time,
        controllers: usize,
        now: Time,
    ) -> Option<Time> {
        let needed_of_peers = endorsements_needed(controllers) - 1;
        let Some(weakest_needed) = needed_of_peers.checked_sub(1) else { return Some(now) };
        // A peer that was never heard, or that does not report what it holds, may have told a user by itself.
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
        read_at.max(endorsed.get(weakest_needed).copied())
    }
}

/// Whether a peer's heartbeat, all of whose cancellations are held here, endorses this leader.
fn endorses(heartbeat: &Heartbeat, leader: &LeaderProgress) -> bool {
    heartbeat.required_leader_revision.is_some_and(|required| required <= leader.read_revision)
        && heartbeat.fencing_token <= leader.token
        // A peer that reaches the state service may follow a newer leader, which reaches it too.
        && heartbeat.since_store_response_ms > STORE_TIMEOUT_MS
}
