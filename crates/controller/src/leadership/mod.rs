//! Leader election and leadership state of this controller: the phase of the election, the lease and fencing token
//! under which it leads, and the highest token it has seen.
//!
//! The leader is the controller that wrote the key `term/leader`, which is attached to a lease of the state service.
//! The mod revision of that key is the *fencing token*. It rises with every election, so that workers and the state
//! service can reject requests of a deposed leader. This module owns the state and its transitions and does no I/O;
//! `controller::leadership` and `controller::pause_detection` make the calls to the state service.
//!
//! [`CancellationQuorum`] tracks the cancellations that a leader must know before it answers workers, and
//! [`AnswerAuthority`] is the basis on which it answers them.

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

/// Value of the leader key, `term/leader`. It is stored: the serialized field names are part of the record format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host name of the leading controller.
    pub node: String,
    /// Incarnation of its process. It distinguishes a controller's own key from one written by an earlier process on
    /// the same host.
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// Lease to which the key is attached. Each campaign requests a new lease, so the lease identifies the campaign
    /// that wrote the key.
    #[serde(default)]
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// Phase of the election and of leadership. Changed only by [`Leadership::advance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// The leader key has not been read, or has to be read again.
    Unknown,
    /// Another controller holds the key.
    Following,
    /// No controller holds the key. This controller starts a campaign at the given time.
    Vacant(Time),
    /// Campaigning: a lease has been requested.
    GrantingLease,
    /// Campaigning: the transaction that writes the key, attached to this lease, is in flight.
    Acquiring(u64),
    /// This controller holds the key and loads the cluster state from the state service.
    Loading,
    /// This controller holds the key, has loaded the cluster state, and commands workers.
    Leading,
}

/// Whether the lease of a controller that holds the leader key is known to be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseValidity {
    /// There is no indication that the lease has expired.
    Confirmed,
    /// The process was paused for so long that the lease may have expired, and resumed at the given time. Another
    /// controller may be the leader by now. Only a renewal requested at or after that time confirms the lease again.
    Unconfirmed(Time),
}

/// This controller's election state and its view of the current leader.
#[derive(Debug)]
pub struct Leadership {
    phase: LeadershipPhase,
    /// Highest fencing token seen in the leader key, in heartbeats and in workers' reports.
    pub highest_token: u64,
    /// Host name of the controller that leads under [`highest_token`](Self::highest_token). None if it is unknown or
    /// there is no leader.
    pub known_leader: Option<String>,
    /// This controller's own fencing token while it holds the key, else 0.
    pub token: u64,
    /// Lease to which the key is attached. Meaningful only while this controller holds the key.
    pub lease: u64,
    /// When the latest successful request to grant or renew the lease was sent.
    renewed_at: Time,
    lease_validity: LeaseValidity,
    /// Whether the leader key has been read since this process started.
    pub leader_key_known: bool,
    /// Mod revision of the leader key that a campaign replaces because an earlier process on this host wrote it.
    /// 0: the campaign creates the key on the precondition that it does not exist.
    pub replaced_revision: u64,
    /// When the next renewal of the lease is due.
    pub renew_at: Time,
    /// Number of phase changes so far, not counting the change to [`LeadershipPhase::Leading`]. A response of the state
    /// service to a call made in an earlier generation is stale and is dropped.
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

    /// Whether this controller holds the leader key, as far as it knows.
    pub fn holds_key(&self) -> bool {
        matches!(self.phase, LeadershipPhase::Loading | LeadershipPhase::Leading)
    }

    /// Changes the phase; every change goes through this function. Returns false, and changes nothing, if the
    /// transition is not allowed: the phases of a campaign must follow each other in order, and a controller must not
    /// lead under a token below the highest one seen.
    pub fn advance(&mut self, to: LeadershipPhase) -> bool {
        if !self.allows(to) {
            return false;
        }
        if self.phase == to {
            return true;
        }
        // Responses to calls that a new leader made while loading are still valid once it leads.
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

    /// Records a fencing token seen in any message. Returns true if this controller holds the key under a lower token:
    /// another controller has been elected since, and this one must step down.
    pub fn observe_token(&mut self, token: u64) -> bool {
        if token > self.highest_token {
            self.highest_token = token;
            if self.known_leader.is_some() && self.token != token {
                self.known_leader = None;
            }
        }
        self.holds_key() && self.highest_token > self.token
    }

    /// Records that `controller` leads under `token`, unless a higher token has been seen.
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

    /// Called when the process resumes after a pause, or when the lease's age is otherwise in question. If this
    /// controller holds the key and its lease may have expired, marks the lease as unconfirmed and returns true.
    pub fn on_resume(&mut self, now: Time) -> bool {
        let may_have_expired =
            now.saturating_sub(self.renewed_at) + LEASE_MARGIN_MS >= LEASE_TTL_MS;
        let must_confirm = self.holds_key() && may_have_expired;
        if must_confirm {
            self.lease_validity = LeaseValidity::Unconfirmed(now);
        }
        must_confirm
    }

    /// Called when the lease has been granted or renewed by a request sent at `requested_at`. A request sent before a
    /// pause may also have been served before it, so it does not confirm the lease.
    pub fn on_lease_renewed(&mut self, requested_at: Time) {
        self.renewed_at = self.renewed_at.max(requested_at);
        if let LeaseValidity::Unconfirmed(resumed_at) = self.lease_validity
            && requested_at >= resumed_at
        {
            self.lease_validity = LeaseValidity::Confirmed;
        }
    }
}

/// Connectivity and leadership information from another controller's latest heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHealth {
    /// When the heartbeat was received.
    pub heartbeat_at: Time,
    /// Time from the state service's last response to that controller until the heartbeat was sent, ms. 0 if the
    /// controller reaches the state service.
    pub store_age_ms: u64,
    /// Highest fencing token that the controller has seen.
    pub highest_token: u64,
}
