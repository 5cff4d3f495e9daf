//! Which cancellations whoever answers workers must know, stated once.
//!
//! *Whoever answers a report under a token knows every cancellation that any user was told of more than
//! `cancel_s - lease_s` less a margin ago.* Two counts see to it, whose sum is above the number of controllers:
//!
//! - a user is told only once [`holders_needed`] controllers *hold* the cancellation;
//! - a leader that cannot read the state service goes on only on the word of [`vouchers_needed`] controllers,
//!   itself among them, each given after the leader asked for it, and each with all that it holds.
//!
//! So one of those that vouch holds what was told, and says so. A controller holds a cancellation as a *note*,
//! or by its *floor*: the revision up to which it leaves the leader to have read for itself. It vouches only
//! for a leader that has read up to its floor. A process that begins anew has lost its notes; its floor is the
//! first revision that it reads, and whatever its predecessor held is older. Notes may therefore be dropped at
//! any time by raising the floor: that costs a leader its vouchers, never a user the promise.

use crate::Time;
use crate::constants::{HEARTBEATS_REMEMBERED, PENDING_CANCELLATIONS_MAX, STORE_TIMEOUT_MS};
use crate::job::JobId;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::users::is_valid_job_id;

/// Controllers, the leader among them, on whose word it may go on.
pub fn endorsements_needed(controllers: usize) -> usize {
    controllers / 2 + 1
}

/// Controllers that hold a cancellation before its user is told.
pub fn replicas_needed(controllers: usize) -> usize {
    controllers - controllers / 2
}

/// A cancellation that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingCancellation {
    /// Revision at which it was committed, or a later one at which it was read.
    pub revision: u64,
    /// Time of day of it, ms.
    pub cancelled_wall: u64,
    /// Heartbeats made before it came: each later one carries it.
    heartbeats_before: u64,
}

/// What this node, leading, has read.
#[derive(Debug, Clone, Copy)]
pub struct LeaderProgress {
    /// Its token.
    pub token: u64,
    /// The revision up to which it has taken in all changes of jobs.
    pub read_revision: u64,
    /// Words asked for before that time do not count.
    pub endorsements_from: Time,
}

/// What is known of another controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct PeerCancellations {
    /// The highest floor it has told of.
    required_leader_revision: u64,
    /// The latest of our heartbeats that it has taken in.
    acknowledged: u64,
    /// The latest of its own that was taken in: of which process, and its number.
    latest: (u64, u64),
    /// When the latest word was asked for that counts for this node's lead.
    endorsed_at: Option<Time>,
    /// Its version tells what it holds. One that does not could have told a user of anything.
    reports_cancellations: bool,
}

/// A heartbeat, once taken in.
#[derive(Debug, Default)]
pub struct HeartbeatOutcome {
    /// The cancellations in it, with their times of day.
    pub cancelled: Vec<(JobId, u64)>,
    /// A later one of the same process came before.
    pub is_stale: bool,
}

/// The cancellations that this controller holds, and what the others do.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CancellationQuorum {
    required_leader_revision: Option<u64>,
    pending: BTreeMap<JobId, PendingCancellation>,
    heartbeats_made: u64,
    sent: VecDeque<(u64, Time)>,
    peers: BTreeMap<String, PeerCancellations>,
}

impl CancellationQuorum {
    /// The state service was read at this revision: whatever an earlier process here held is older.
    pub fn on_store_read(&mut self, revision: u64) {
        self.required_leader_revision.get_or_insert(revision);
    }

    /// The leader has read up to this revision: what is older need not be held for it.
    pub fn advance_required_revision(&mut self, revision: u64) {
        if let Some(floor) = self.required_leader_revision.as_mut().filter(|f| **f < revision) {
            *floor = revision;
            self.pending.retain(|_, note| note.revision > revision);
        }
    }

    /// Holds a committed cancellation. False if there is no room, which only a process that has not read the
    /// state service runs out of.
    pub fn record_cancellation(&mut self, job: &JobId, revision: u64, wall: u64) -> bool {
        if self.required_leader_revision.is_some_and(|f| f >= revision)
            || self.pending.contains_key(job)
        {
            return true;
        }
        if self.pending.len() >= PENDING_CANCELLATIONS_MAX {
            let Some(oldest) = self.pending.values().map(|n| n.revision).min() else {
                return false;
            };
            if self.required_leader_revision.is_none() {
                return false;
            }
            self.advance_required_revision(oldest);
        }
        self.pending.insert(
            job.clone(),
            PendingCancellation {
                revision,
                cancelled_wall: wall,
                heartbeats_before: self.heartbeats_made,
            },
        );
        true
    }

    /// The cancellations held as notes.
    pub fn pending(&self) -> impl Iterator<Item = (&JobId, &PendingCancellation)> {
        self.pending.iter()
    }

    /// Whether so many controllers hold a cancellation, seen at this revision, that its user may be told.
    pub fn is_replicated(&self, job: &str, revision: u64, controllers: usize) -> bool {
        let note = self.pending.get(job);
        let revision = note.map_or(revision, |n| n.revision);
        let own = note.is_some() || self.required_leader_revision.is_some_and(|f| f >= revision);
        let holds = |o: &&PeerCancellations| {
            o.required_leader_revision >= revision
                || note.is_some_and(|n| n.heartbeats_before < o.acknowledged)
        };
        let others = self.peers.values().filter(holds).count();
        own && others + 1 >= replicas_needed(controllers)
    }

    /// Whether no heartbeat has carried this cancellation yet.
    pub fn awaits_first_heartbeat(&self, job: &str) -> bool {
        self.pending.get(job).is_some_and(|n| n.heartbeats_before == self.heartbeats_made)
    }

    /// Numbers a heartbeat that is made now, and puts in what is held.
    pub fn fill_heartbeat(&mut self, beat: &mut Heartbeat, now: Time) {
        self.heartbeats_made += 1;
        self.sent.push_back((self.heartbeats_made, now));
        if self.sent.len() > HEARTBEATS_REMEMBERED {
            self.sent.pop_front();
        }
        beat.sequence = self.heartbeats_made;
        beat.required_leader_revision = self.required_leader_revision;
        let told = |(job, n): (&JobId, &PendingCancellation)| {
            (job.to_string(), n.revision, n.cancelled_wall)
        };
        beat.pending_cancellations = self.pending.iter().map(told).collect();
        let taken = self.peers.iter().filter(|(_, o)| o.latest.0 != 0);
        beat.acknowledged_heartbeats =
            taken.map(|(node, o)| (node.clone(), o.latest.0, o.latest.1)).collect();
    }

    /// Takes in a heartbeat of another controller; `lead`, if this node leads.
    pub fn on_heartbeat(
        &mut self,
        me: &str,
        process: u64,
        beat: &Heartbeat,
        lead: Option<LeaderProgress>,
    ) -> HeartbeatOutcome {
        let mut heard = HeartbeatOutcome::default();
        // More than a controller holds is not taken in as if it were all.
        let mut whole = beat.pending_cancellations.len() <= PENDING_CANCELLATIONS_MAX;
        for (id, revision, wall) in
            beat.pending_cancellations.iter().take(PENDING_CANCELLATIONS_MAX)
        {
            if is_valid_job_id(id) {
                let job = JobId::from(id.as_str());
                whole &= self.record_cancellation(&job, *revision, *wall);
                heard.cancelled.push((job, *wall));
            }
        }
        let CancellationQuorum { peers: others, sent, .. } = self;
        let other = others.entry(beat.controller.clone()).or_default();
        other.reports_cancellations = beat.incarnation != 0;
        if !other.reports_cancellations {
            return heard;
        }
        heard.is_stale = other.latest.0 == beat.incarnation && beat.sequence < other.latest.1;
        if whole && !heard.is_stale {
            other.latest = (beat.incarnation, beat.sequence);
        }
        // By name and not by process: whoever begins anew has a floor above all that was held before.
        other.required_leader_revision =
            other.required_leader_revision.max(beat.required_leader_revision.unwrap_or(0));
        let ours = |(node, of, _): &&(String, u64, u64)| node == me && *of == process;
        let Some((_, _, number)) = beat.acknowledged_heartbeats.iter().find(ours) else {
            return heard;
        };
        other.acknowledged = other.acknowledged.max(*number);
        let asked = sent.iter().find(|(n, _)| n == number).map(|(_, at)| *at);
        let vouches = |lead: &LeaderProgress| {
            whole
                && beat.required_leader_revision.is_some_and(|floor| floor <= lead.read_revision)
                && beat.fencing_token <= lead.token
                // While it has the state service others are led by whoever has it too.
                && beat.since_store_response_ms > STORE_TIMEOUT_MS
        };
        if let Some(lead) = lead.filter(vouches) {
            other.endorsed_at =
                other.endorsed_at.max(asked.filter(|at| *at >= lead.endorsements_from));
        }
        heard
    }

    /// Whether that controller was heard, and its version tells nothing of what it holds.
    pub fn is_legacy_peer(&self, node: &str) -> bool {
        self.peers.get(node).is_some_and(|o| !o.reports_cancellations)
    }

    /// The lead is over, or begins: nobody has vouched for it.
    pub fn clear_endorsements(&mut self) {
        for other in self.peers.values_mut() {
            other.endorsed_at = None;
        }
    }

    /// As of when this node, leading, knows every cancellation that any user was told of: it had read up to
    /// then, or enough others vouched then.
    pub fn known_as_of(
        &self,
        read: Option<Time>,
        from: Time,
        controllers: usize,
        now: Time,
    ) -> Option<Time> {
        let needed = endorsements_needed(controllers) - 1;
        let Some(place) = needed.checked_sub(1) else { return Some(now) };
        // One that is not heard of, or whose version tells nothing, may have told a user alone.
        let all_tell =
            self.peers.values().filter(|o| o.reports_cancellations).count() + 1 >= controllers;
        let vouched = self.peers.values().filter_map(|o| o.endorsed_at).filter(|at| *at >= from);
        let mut vouched: Vec<Time> = vouched.filter(|_| all_tell).collect();
        vouched.sort_unstable_by(|a, b| b.cmp(a));
        read.max(vouched.get(place).copied())
    }
}
