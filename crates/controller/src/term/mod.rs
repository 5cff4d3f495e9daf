//! Leadership: one key attached to a lease; its stamp is the token.

mod held;
mod voice;

pub use held::{Heard, Held, Lead, Note, holders_needed, vouchers_needed};
pub use voice::Voice;

use crate::Time;
use crate::constants::*;
use serde::{Deserialize, Serialize};

/// Value of the leader's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading node.
    pub node: String,
    /// Number of its process, so that it knows its own writing.
    pub process: u64,
    /// The grant to which it is attached: which of a process's campaigns wrote it.
    #[serde(default)]
    pub grant: u64,
}

/// Where this node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Does not know the leader's key yet.
    Unknown,
    /// Another node holds the key.
    Following,
    /// Nobody holds it; campaigns at this time.
    Vacant(Time),
    /// Asked for a lease.
    Granting,
    /// Tries to write the key under this lease.
    Acquiring(u64),
    /// Holds the key; reads the store.
    Loading,
    /// Leads.
    Leading,
}

/// Whether the grant of a node that holds the key is known to live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// As far as anybody can tell.
    Held,
    /// The process stood still for longer than the grant lasts, and woke then: whatever it believes of its
    /// lead is older than that.
    Doubted(Time),
}

/// This node's view of the term.
#[derive(Debug)]
pub struct Term {
    phase: Phase,
    /// Highest token seen anywhere.
    pub highest: u64,
    /// Leader of the newest term known, if it is held.
    pub leader: Option<String>,
    /// This node's own token while it holds the key.
    pub token: u64,
    /// Its lease.
    pub grant: u64,
    /// When the lease was last known to be extended (time the request was sent).
    extended_at: Time,
    proof: Proof,
    /// The term was read since this process began.
    pub read: bool,
    /// Stamp of the key that a campaign replaces: of this process's own predecessor, which has ended. 0: none.
    pub replaces: u64,
    /// When the next extension is due.
    pub extend_at: Time,
    /// Counts changes of who leads, so that stale answers are known.
    pub era: u64,
}

impl Default for Term {
    fn default() -> Self {
        Term {
            phase: Phase::Unknown,
            highest: 0,
            leader: None,
            token: 0,
            grant: 0,
            extended_at: 0,
            proof: Proof::Held,
            read: false,
            replaces: 0,
            extend_at: 0,
            era: 0,
        }
    }
}

impl Term {
    /// Where this node stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Holds the key, as far as it knows.
    pub fn holds(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Leading)
    }

    /// The one function that changes the phase. Refuses to lead under a token that is not the
    /// highest seen.
    pub fn advance(&mut self, to: Phase) -> bool {
        use Phase::*;
        let allowed = match (self.phase, to) {
            (Acquiring(_), Loading) => self.token >= self.highest && self.token > 0,
            (Loading, Leading) => self.token >= self.highest,
            (_, Loading | Leading) => false,
            (Vacant(_), Granting) | (Granting, Acquiring(_)) => true,
            (_, Granting | Acquiring(_)) => false,
            (_, Unknown | Following | Vacant(_)) => true,
        };
        if allowed && self.phase != to {
            if !matches!(to, Leading) {
                self.era += 1;
            }
            if !matches!(to, Loading | Leading) {
                self.token = 0;
                self.proof = Proof::Held;
            }
            self.phase = to;
        }
        allowed
    }

    /// Notes a token seen. True if this node must step down.
    pub fn saw(&mut self, token: u64) -> bool {
        if token > self.highest {
            self.highest = token;
            if self.leader.is_some() && self.token != token {
                self.leader = None;
            }
        }
        self.holds() && self.highest > self.token
    }

    /// The key is held by that node under that token.
    pub fn held_by(&mut self, node: &str, token: u64) {
        if token >= self.highest {
            self.highest = token;
            self.leader = Some(node.to_string());
        }
    }

    /// Whether the grant is known to live.
    pub fn proof(&self) -> Proof {
        self.proof
    }

    /// The process has stood still: what was in flight when it began may be from another time. Doubts the
    /// grant if it may have ended meanwhile; a shorter standstill costs nothing. True if it does.
    pub fn wake(&mut self, now: Time) -> bool {
        let ended = now.saturating_sub(self.extended_at) + GRANT_SPARE_MS >= GRANT_TTL_MS;
        if self.holds() && ended {
            self.proof = Proof::Doubted(now);
        }
        self.holds() && ended
    }

    /// The grant was extended, or given, by a request sent then. Only one sent after the doubt began ends it.
    pub fn extended(&mut self, asked: Time) {
        self.extended_at = self.extended_at.max(asked);
        if let Proof::Doubted(since) = self.proof
            && asked >= since
        {
            self.proof = Proof::Held;
        }
    }
}

/// What another controller last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Voucher {
    /// When it was heard.
    pub heard: Time,
    /// Age of that node's last store success when it was sent, ms.
    pub store_age_ms: u64,
    /// Highest token that node knew.
    pub token: u64,
}
