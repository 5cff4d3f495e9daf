//! Leadership of this controller: which phase of an election it is in, under which lease and fencing token it
//! leads, and the highest token it has seen.
//!
//! The leader is whoever wrote the key `term/leader`, which is attached to a lease of the state service. The mod
//! revision of that key is the *fencing token*: it rises with every election, so that workers and the state
//! service can refuse a deposed leader. This module owns the state and its transitions and calls nobody; the
//! calls to the state service are made by `controller::leadership` and `controller::pause_detection`.
//!
//! Below it: [`CancellationQuorum`], which cancellations a leader must know before it answers workers, and
//! [`AnswerAuthority`], on what grounds it answers them.

mod answer_authority;
mod cancellation_quorum;

pub use answer_authority::AnswerAuthority;
pub use cancellation_quorum::{
    CancellationQuorum, HeartbeatOutcome, LeaderProgress, PendingCancellation,
    ReportedCancellation, endorsements_needed, replicas_needed,
};

use crate::Time;
use crate::constants::{LEASE_MARGIN_MS, LEASE_TTL_MS};
use serde::{Deserialize, Serialize};

/// Value of the leader's key, `term/leader`. Stored: its field names are part of the record format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name of the leading controller.
    pub node: String,
    /// Incarnation of its process, by which a controller tells its own key from that of a process that ran on
    /// the same host before it.
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// Lease to which the key is attached. Each campaign has its own, so it tells which campaign of a process
    /// wrote the key.
    #[serde(default)]
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// Phase of leadership and election. Changed only by [`Leadership::advance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// The leader's key has not been read, or has to be read again.
    Unknown,
    /// Another controller holds the key.
    Following,
    /// Nobody holds the key; this controller campaigns at this time.
    Vacant(Time),
    /// Campaigning: it has requested a lease.
    GrantingLease,
    /// Campaigning: it tries to create the key, attached to this lease.
    Acquiring(u64),
    /// Holds the key; loads the cluster state from the state service.
    Loading,
    /// Holds the key, has loaded the cluster state, and commands workers.
    Leading,
}

/// Whether the lease of a controller that holds the key is known to be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseValidity {
    /// Nothing suggests that it has ended.
    Confirmed,
    /// The process was paused for so long that the lease may have ended, and resumed at this time. Another
    /// controller may lead by now. Only a renewal requested at this time or later confirms the lease again.
    Unconfirmed(Time),
}

/// This controller's view of who leads, and its own leadership.
#[derive(Debug)]
pub struct Leadership {
    phase: LeadershipPhase,
    /// Highest fencing token seen: in the leader's key, in heartbeats and in reports of workers.
    pub highest_token: u64,
    /// Host name of the controller that leads under [`highest_token`](Self::highest_token); none if unknown, or
    /// if nobody does.
    pub known_leader: Option<String>,
    /// This controller's own fencing token while it holds the key, else 0.
    pub token: u64,
    /// Lease to which its key is attached. Meaningful only while it holds the key.
    pub lease: u64,
    /// When the latest request was sent that granted or renewed the lease.
    renewed_at: Time,
    lease_validity: LeaseValidity,
    /// Whether the leader's key has been read since this process began.
    pub leader_key_known: bool,
    /// Mod revision of the key that a campaign replaces, which was written by an earlier process on this host.
    /// 0: the campaign creates the key, on condition that there is none.
    pub replaced_revision: u64,
    /// When the next renewal of the lease is due.
    pub renew_at: Time,
    /// Counts this controller's changes of phase, the last step to [`LeadershipPhase::Leading`] excepted. A
    /// response of the state service to a call of an earlier generation is stale and is dropped.
    pub generation: u64,
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership {
            phase: LeadershipPhase::Unknown,
            highest_token: 0,
            known_leader: None,
            token: 0,
            lease: 0,
            renewed_at: 0,
            lease_validity: LeaseValidity::Confirmed,
            leader_key_known: false,
            replaced_revision: 0,
            renew_at: 0,
            generation: 0,
        }
    }
}

impl Leadership {
    /// The current phase.
    pub fn phase(&self) -> LeadershipPhase {
        self.phase
    }

    /// Whether this controller holds the leader's key, as far as it knows.
    pub fn holds_key(&self) -> bool {
        matches!(self.phase, LeadershipPhase::Loading | LeadershipPhase::Leading)
    }

    /// The one function that changes the phase. False, and nothing changes, if the transition is not allowed:
    /// phases of a campaign come in their order, and nobody leads under a token below the highest seen.
    pub fn advance(&mut self, to: LeadershipPhase) -> bool {
        if !self.allows(to) {
            return false;
        }
        if self.phase == to {
            return true;
        }
        // What a new leader requested while it was loading is still its own when it leads.
        if to != LeadershipPhase::Leading {
            self.generation += 1;
        }
        if !matches!(to, LeadershipPhase::Loading | LeadershipPhase::Leading) {
            self.token = 0;
            self.lease_validity = LeaseValidity::Confirmed;
        }
        self.phase = to;
        true
    }

    fn allows(&self, to: LeadershipPhase) -> bool {
        use LeadershipPhase::{
            Acquiring, Following, GrantingLease, Leading, Loading, Unknown, Vacant,
        };
        match (self.phase, to) {
            (Acquiring(_), Loading) => self.token >= self.highest_token && self.token > 0,
            (Loading, Leading) => self.token >= self.highest_token,
            (_, Loading | Leading) => false,
            (Vacant(_), GrantingLease) | (GrantingLease, Acquiring(_)) => true,
            (_, GrantingLease | Acquiring(_)) => false,
            (_, Unknown | Following | Vacant(_)) => true,
        }
    }

    /// Records a fencing token seen anywhere. True if it is above the token of this controller, which holds the
    /// key: another has been elected since, and this one must step down.
    pub fn observe_token(&mut self, token: u64) -> bool {
        if token > self.highest_token {
            self.highest_token = token;
            if self.known_leader.is_some() && self.token != token {
                self.known_leader = None;
            }
        }
        self.holds_key() && self.highest_token > self.token
    }

    /// Records that this controller leads under this token, unless a higher token has been seen.
    pub fn observe_leader(&mut self, controller: &str, token: u64) {
        if token >= self.highest_token {
            self.highest_token = token;
            self.known_leader = Some(controller.to_string());
        }
    }

    /// Whether the lease is known to be alive. [`LeaseValidity::Confirmed`] while the key is not held.
    pub fn lease_validity(&self) -> LeaseValidity {
        self.lease_validity
    }

    /// The process was paused until now, or the lease's age is otherwise in question. If this controller holds the
    /// key and its lease may have ended meanwhile, the lease is unconfirmed from now on. True if it is so.
    pub fn on_resume(&mut self, now: Time) -> bool {
        let may_have_ended = now.saturating_sub(self.renewed_at) + LEASE_MARGIN_MS >= LEASE_TTL_MS;
        let must_confirm = self.holds_key() && may_have_ended;
        if must_confirm {
            self.lease_validity = LeaseValidity::Unconfirmed(now);
        }
        must_confirm
    }

    /// The lease was granted or renewed by a request sent at `requested_at`. A request sent before the pause may
    /// have been served before it too, and confirms nothing.
    pub fn on_lease_renewed(&mut self, requested_at: Time) {
        self.renewed_at = self.renewed_at.max(requested_at);
        if let LeaseValidity::Unconfirmed(resumed_at) = self.lease_validity
            && requested_at >= resumed_at
        {
            self.lease_validity = LeaseValidity::Confirmed;
        }
    }
}

/// What another controller's latest heartbeat said about the state service and the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHealth {
    /// When the heartbeat was received.
    pub heartbeat_at: Time,
    /// Time between the state service's last answer to that controller and the sending of the heartbeat, ms; 0 if
    /// it reaches the state service.
    pub store_age_ms: u64,
    /// Highest fencing token that the controller had seen.
    pub highest_token: u64,
}
