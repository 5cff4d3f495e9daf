//! Leadership: one key attached to a lease; its stamp is the token.

mod answer_authority;
mod cancellation_quorum;

pub use answer_authority::AnswerAuthority;
pub use cancellation_quorum::{
    CancellationQuorum, HeartbeatOutcome, LeaderProgress, PendingCancellation, endorsements_needed,
    replicas_needed,
};

use crate::Time;
use crate::constants::{LEASE_MARGIN_MS, LEASE_TTL_MS};
use serde::{Deserialize, Serialize};

/// Value of the leader's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading node.
    pub node: String,
    /// Number of its process, so that it knows its own writing.
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// The grant to which it is attached: which of a process's campaigns wrote it.
    #[serde(default)]
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// Where this node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// Does not know the leader's key yet.
    Unknown,
    /// Another node holds the key.
    Following,
    /// Nobody holds it; campaigns at this time.
    Vacant(Time),
    /// Asked for a lease.
    GrantingLease,
    /// Tries to write the key under this lease.
    Acquiring(u64),
    /// Holds the key; reads the store.
    Loading,
    /// Leads.
    Leading,
}

/// Whether the grant of a node that holds the key is known to live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseValidity {
    /// As far as anybody can tell.
    Confirmed,
    /// The process stood still for longer than the grant lasts, and woke then: whatever it believes of its
    /// lead is older than that.
    Unconfirmed(Time),
}

/// This node's view of the term.
#[derive(Debug)]
pub struct Leadership {
    phase: LeadershipPhase,
    /// Highest token seen anywhere.
    pub highest_token: u64,
    /// Leader of the newest term known, if it is held.
    pub known_leader: Option<String>,
    /// This node's own token while it holds the key.
    pub token: u64,
    /// Its lease.
    pub lease: u64,
    /// When the lease was last known to be extended (time the request was sent).
    renewed_at: Time,
    lease_validity: LeaseValidity,
    /// The term was read since this process began.
    pub leader_key_known: bool,
    /// Stamp of the key that a campaign replaces: of this process's own predecessor, which has ended. 0: none.
    pub replaced_revision: u64,
    /// When the next extension is due.
    pub renew_at: Time,
    /// Counts changes of who leads, so that stale answers are known.
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
    /// Where this node stands.
    pub fn phase(&self) -> LeadershipPhase {
        self.phase
    }

    /// Holds the key, as far as it knows.
    pub fn holds_key(&self) -> bool {
        matches!(self.phase, LeadershipPhase::Loading | LeadershipPhase::Leading)
    }

    /// The one function that changes the phase. Refuses to lead under a token that is not the
    /// highest seen.
    pub fn advance(&mut self, to: LeadershipPhase) -> bool {
        use LeadershipPhase::*;
        let allowed = match (self.phase, to) {
            (Acquiring(_), Loading) => self.token >= self.highest_token && self.token > 0,
            (Loading, Leading) => self.token >= self.highest_token,
            (_, Loading | Leading) => false,
            (Vacant(_), GrantingLease) | (GrantingLease, Acquiring(_)) => true,
            (_, GrantingLease | Acquiring(_)) => false,
            (_, Unknown | Following | Vacant(_)) => true,
        };
        if allowed && self.phase != to {
            if !matches!(to, Leading) {
                self.generation += 1;
            }
            if !matches!(to, Loading | Leading) {
                self.token = 0;
                self.lease_validity = LeaseValidity::Confirmed;
            }
            self.phase = to;
        }
        allowed
    }

    /// Notes a token seen. True if this node must step down.
    pub fn observe_token(&mut self, token: u64) -> bool {
        if token > self.highest_token {
            self.highest_token = token;
            if self.known_leader.is_some() && self.token != token {
                self.known_leader = None;
            }
        }
        self.holds_key() && self.highest_token > self.token
    }

    /// The key is held by that node under that token.
    pub fn observe_leader(&mut self, node: &str, token: u64) {
        if token >= self.highest_token {
            self.highest_token = token;
            self.known_leader = Some(node.to_string());
        }
    }

    /// Whether the grant is known to live.
    pub fn lease_validity(&self) -> LeaseValidity {
        self.lease_validity
    }

    /// The process has stood still: what was in flight when it began may be from another time. Doubts the
    /// grant if it may have ended meanwhile; a shorter standstill costs nothing. True if it does.
    pub fn on_resume(&mut self, now: Time) -> bool {
        let ended = now.saturating_sub(self.renewed_at) + LEASE_MARGIN_MS >= LEASE_TTL_MS;
        if self.holds_key() && ended {
            self.lease_validity = LeaseValidity::Unconfirmed(now);
        }
        self.holds_key() && ended
    }

    /// The grant was extended, or given, by a request sent then. Only one sent after the doubt began ends it.
    pub fn on_lease_renewed(&mut self, asked: Time) {
        self.renewed_at = self.renewed_at.max(asked);
        if let LeaseValidity::Unconfirmed(since) = self.lease_validity
            && asked >= since
        {
            self.lease_validity = LeaseValidity::Confirmed;
        }
    }
}

/// What another controller last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHealth {
    /// When it was heard.
    pub heard_at: Time,
    /// Age of that node's last store success when it was sent, ms.
    pub store_age_ms: u64,
    /// Highest token that node knew.
    pub highest_token: u64,
}
