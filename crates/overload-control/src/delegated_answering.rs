//! Delegated answering: for how long a follower may answer unchanged reports for the leader.
//!
//! The leader grants it with each answer to a message of the follower, for a time that counts from when that message
//! *was sent*: a grant that the network held back is worth nothing. It ends at once when a message finds no answer or
//! when another leader or a higher token is seen, and by itself when the time is over.

use crate::Time;

/// State of the delegation at a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DelegatedAnswering {
    /// Every report goes to the leader.
    #[default]
    NotDelegated,
    /// Unchanged reports may be answered with this token.
    Delegated {
        /// The leader's fencing token.
        fencing_token: u64,
        /// End of the delegation by the follower's own clock.
        expires_at: Time,
    },
    /// The leader did not answer in time, or a message to it was lost.
    Lapsed,
}

/// What changes the delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegationEvent {
    /// The leader answered a message and delegates answering.
    Granted {
        /// The leader's fencing token.
        fencing_token: u64,
        /// When the answered message was sent.
        sent_at: Time,
        /// For how long from then, ms.
        duration_ms: u64,
    },
    /// The leader answered and delegates nothing.
    Refused,
    /// A message found no answer, or another token was seen.
    Invalidated,
    /// Time has passed.
    TimePassed(Time),
}

impl DelegatedAnswering {
    /// The one function that changes the delegation.
    pub fn apply_event(&mut self, event: DelegationEvent) {
        *self = match event {
            DelegationEvent::Granted { fencing_token, sent_at, duration_ms } => {
                self.extended(fencing_token, sent_at + duration_ms)
            }
            DelegationEvent::TimePassed(now) => match *self {
                DelegatedAnswering::Delegated { expires_at, .. } if now >= expires_at => {
                    DelegatedAnswering::Lapsed
                }
                unchanged => unchanged,
            },
            DelegationEvent::Refused => DelegatedAnswering::NotDelegated,
            DelegationEvent::Invalidated => match *self {
                DelegatedAnswering::NotDelegated => DelegatedAnswering::NotDelegated,
                _ => DelegatedAnswering::Lapsed,
            },
        };
    }

    fn extended(self, fencing_token: u64, expires_at: Time) -> DelegatedAnswering {
        match self {
            // An older leader's late grant ends nothing that a newer one has granted.
            DelegatedAnswering::Delegated { fencing_token: held, .. } if fencing_token < held => {
                self
            }
            // Answers may overtake each other.
            DelegatedAnswering::Delegated { fencing_token: held, expires_at: until }
                if fencing_token == held =>
            {
                let expires_at = until.max(expires_at);
                DelegatedAnswering::Delegated { fencing_token, expires_at }
            }
            _ => DelegatedAnswering::Delegated { fencing_token, expires_at },
        }
    }

    /// The token with which an unchanged report may be answered now; none: it must go to the leader.
    pub fn valid_fencing_token(&self, now: Time) -> Option<u64> {
        match *self {
            DelegatedAnswering::Delegated { fencing_token, expires_at } if now < expires_at => {
                Some(fencing_token)
            }
            _ => None,
        }
    }
}
