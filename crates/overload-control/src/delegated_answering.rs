//! The duty of answering: for how long a controller may answer unchanged reports for the leader.
//!
//! The leader grants it with each answer to a message of the controller, for a time that counts from
//! when that message *was sent*: a grant that the network held back is worth nothing. It ends at once
//! when a message finds no answer, when another leader or a higher token is seen, or by itself.

use crate::Time;

/// Where the duty stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DelegatedAnswering {
    /// Everything goes to the leader.
    #[default]
    NotDelegated,
    /// Unchanged reports may be answered with this token.
    Delegated {
        /// The leader's token.
        fencing_token: u64,
        /// Until when, on this controller's own clock.
        expires_at: Time,
    },
    /// The leader was not heard in time, or a message to it was lost.
    Lapsed,
}

/// What happens to a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegationEvent {
    /// The leader answered a message sent at `sent`, and grants so much time from then.
    Granted {
        /// Its token.
        fencing_token: u64,
        /// When the message left.
        sent_at: Time,
        /// Time granted, ms.
        duration_ms: u64,
    },
    /// The leader answered, and grants nothing.
    Refused,
    /// A message found no answer, or another token was seen.
    LeaderUnheard,
    /// Time has passed.
    TimePassed(Time),
}

impl DelegatedAnswering {
    /// The one function that changes the duty.
    pub fn apply_event(&mut self, turn: DelegationEvent) {
        *self = match (*self, turn) {
            (
                DelegatedAnswering::Delegated { fencing_token: held, expires_at: until },
                DelegationEvent::Granted {
                    fencing_token: token,
                    sent_at: sent,
                    duration_ms: for_ms,
                },
            ) if held == token => {
                // Answers may overtake each other.
                DelegatedAnswering::Delegated {
                    fencing_token: token,
                    expires_at: until.max(sent + for_ms),
                }
            }
            // An older leader's late word ends nothing that a newer one has granted.
            (
                DelegatedAnswering::Delegated { fencing_token: held, .. },
                DelegationEvent::Granted { fencing_token: token, .. },
            ) if token < held => *self,
            (
                _,
                DelegationEvent::Granted {
                    fencing_token: token,
                    sent_at: sent,
                    duration_ms: for_ms,
                },
            ) => DelegatedAnswering::Delegated { fencing_token: token, expires_at: sent + for_ms },
            (
                DelegatedAnswering::Delegated { expires_at: until, .. },
                DelegationEvent::TimePassed(now),
            ) if now >= until => DelegatedAnswering::Lapsed,
            (_, DelegationEvent::TimePassed(_)) => *self,
            (DelegatedAnswering::NotDelegated, _) => DelegatedAnswering::NotDelegated,
            (_, DelegationEvent::Refused) => DelegatedAnswering::NotDelegated,
            (_, DelegationEvent::LeaderUnheard) => DelegatedAnswering::Lapsed,
        };
    }

    /// The token with which an unchanged report may be answered now.
    pub fn valid_fencing_token(&self, now: Time) -> Option<u64> {
        match self {
            DelegatedAnswering::Delegated { fencing_token: token, expires_at: until }
                if now < *until =>
            {
                Some(*token)
            }
            _ => None,
        }
    }
}
