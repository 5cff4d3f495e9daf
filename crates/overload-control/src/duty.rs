//! The duty of answering: for how long a controller may answer unchanged reports for the leader.
//!
//! The leader grants it with each answer to a message of the controller, for a time that counts from
//! when that message *was sent*: a grant that the network held back is worth nothing. It ends at once
//! when a message finds no answer, when another leader or a higher token is seen, or by itself.

use crate::Time;

/// Where the duty stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Duty {
    /// Everything goes to the leader.
    #[default]
    None,
    /// Unchanged reports may be answered with this token.
    Held {
        /// The leader's token.
        token: u64,
        /// Until when, on this controller's own clock.
        until: Time,
    },
    /// The leader was not heard in time, or a message to it was lost.
    Lapsed,
}

/// What happens to a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// The leader answered a message sent at `sent`, and grants so much time from then.
    Granted {
        /// Its token.
        token: u64,
        /// When the message left.
        sent: Time,
        /// Time granted, ms.
        for_ms: u64,
    },
    /// The leader answered, and grants nothing.
    Refused,
    /// A message found no answer, or another token was seen.
    Lost,
    /// Time has passed.
    Now(Time),
}

impl Duty {
    /// The one function that changes the duty.
    pub fn advance(&mut self, turn: Turn) {
        *self = match (*self, turn) {
            (Duty::Held { token: held, until }, Turn::Granted { token, sent, for_ms })
                if held == token =>
            {
                // Answers may overtake each other.
                Duty::Held { token, until: until.max(sent + for_ms) }
            }
            // An older leader's late word ends nothing that a newer one has granted.
            (Duty::Held { token: held, .. }, Turn::Granted { token, .. }) if token < held => *self,
            (_, Turn::Granted { token, sent, for_ms }) => {
                Duty::Held { token, until: sent + for_ms }
            }
            (Duty::Held { until, .. }, Turn::Now(now)) if now >= until => Duty::Lapsed,
            (_, Turn::Now(_)) => *self,
            (Duty::None, _) => Duty::None,
            (_, Turn::Refused) => Duty::None,
            (_, Turn::Lost) => Duty::Lapsed,
        };
    }

    /// The token with which an unchanged report may be answered now.
    pub fn token(&self, now: Time) -> Option<u64> {
        match self {
            Duty::Held { token, until } if now < *until => Some(*token),
            _ => None,
        }
    }
}
