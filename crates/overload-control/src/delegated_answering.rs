//! Delegated answering: for how long a follower may answer unchanged reports on behalf of the leader.
//!
//! The leader grants a delegation with each answer to a message of the follower. Its duration is counted from when that
//! message *was sent*, so that a grant that the network has delayed expires early or is void. A delegation ends at once
//! when a message is not answered or a higher fencing token is seen, and otherwise when its duration has passed.

use crate::Time;

/// State of a follower's delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DelegatedAnswering {
    /// Every report is forwarded to the leader.
    #[default]
    NotDelegated,
    /// Unchanged reports may be answered with the leader's token.
    Delegated {
        /// The leader's fencing token.
        fencing_token: u64,
        /// End of the delegation by the follower's own clock.
        expires_at: Time,
    },
    /// A delegation has expired or been invalidated, and the leader has not granted a new one since.
    Lapsed,
}

/// An event that changes the delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelegationEvent {
    /// The leader answered a message and delegates answering.
    Granted {
        /// The leader's fencing token.
        fencing_token: u64,
        /// When the answered message was sent.
        sent_at: Time,
        /// Duration of the delegation from then on, ms.
        duration_ms: u64,
    },
    /// The leader answered without delegating.
    Refused,
    /// A message was not answered, or a higher token was seen.
    Invalidated,
    /// Time has passed.
    TimePassed(Time),
}

impl DelegatedAnswering {
    /// Applies an event; every change of the delegation goes through this function.
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
            // A late grant of an earlier leader does not replace the grant of a newer one.
            DelegatedAnswering::Delegated { fencing_token: current, .. }
                if fencing_token < current =>
            {
                self
            }
            // Answers may arrive out of order.
            DelegatedAnswering::Delegated { fencing_token: current, expires_at: current_end }
                if fencing_token == current =>
            {
                let expires_at = current_end.max(expires_at);
                DelegatedAnswering::Delegated { fencing_token, expires_at }
            }
            _ => DelegatedAnswering::Delegated { fencing_token, expires_at },
        }
    }

    /// The fencing token with which an unchanged report may be answered at `now`. None if it must be forwarded to the
    /// leader.
    pub fn valid_fencing_token(&self, now: Time) -> Option<u64> {
        match *self {
            DelegatedAnswering::Delegated { fencing_token, expires_at } if now < expires_at => {
                Some(fencing_token)
            }
            _ => None,
        }
    }
}
