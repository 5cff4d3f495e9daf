//! Whether a machine hears: its reports arrive, but do the answers and commands reach it? A report alone is
//! life and not hearing. A machine that does not hear loses its lease again and again, and looks the best
//! place there is each time: empty, ready, its images held.

use crate::Time;
use crate::constants::{IGNORED_COMMANDS_SUSPECT, IGNORED_COMMANDS_UNREACHABLE, RELAPSE_WINDOW_MS};

/// Where a machine's hearing stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InboundReachability {
    /// As far as anybody can tell.
    #[default]
    Reachable,
    /// It did not do what it was told, or lost a lease that was answered: it is asked directly, and given
    /// nothing new.
    Suspected,
    /// What is said to it does not arrive.
    Unreachable,
}

/// What tells of a machine's hearing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityEvidence {
    /// A report shows what the answer to an earlier one has ordered.
    CommandExecuted,
    /// A report shows nothing of what the answer to the one before has ordered.
    CommandIgnored,
    /// Its session ended although reports of the last lease were answered.
    SessionLostThoughAnswered,
    /// Its session has lasted for longer than a lease, on answers alone.
    SessionOutlastedLease,
    /// It answered a question asked directly.
    ProbeAnswered,
    /// A question asked directly found no connection, or no answer.
    ProbeFailed,
}

/// What is remembered of a machine's hearing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachabilityTracker {
    reachability: InboundReachability,
    since: Time,
    ignored_orders: u8,
    /// It lost another lease soon after it was believed to hear again: a question answered does not show
    /// that answers to reports arrive.
    ignores_probe_answers: bool,
    /// Until when a lease lost counts as another.
    relapse_until: Time,
}

impl ReachabilityTracker {
    /// Where it stands.
    pub fn reachability(&self) -> InboundReachability {
        self.reachability
    }

    /// Since when.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Whether it may be given work.
    pub fn is_reachable(&self) -> bool {
        self.reachability == InboundReachability::Reachable
    }

    /// The one function that changes what is held of a machine's hearing. True if it stands elsewhere now.
    pub fn apply_evidence(&mut self, sign: ReachabilityEvidence, now: Time) -> bool {
        let count = match sign {
            ReachabilityEvidence::CommandIgnored => self.ignored_orders.saturating_add(1),
            ReachabilityEvidence::CommandExecuted | ReachabilityEvidence::SessionOutlastedLease => {
                0
            }
            _ => self.ignored_orders,
        };
        let to = match (self.reachability, sign) {
            // An order that was carried out, or a lease that lives, is proof whatever was held before.
            (
                _,
                ReachabilityEvidence::CommandExecuted | ReachabilityEvidence::SessionOutlastedLease,
            ) => {
                self.ignores_probe_answers = false;
                InboundReachability::Reachable
            }
            (_, ReachabilityEvidence::SessionLostThoughAnswered) => {
                let again =
                    now < self.relapse_until || self.reachability != InboundReachability::Reachable;
                self.relapse_until = now + RELAPSE_WINDOW_MS;
                self.ignores_probe_answers |= again;
                if again {
                    InboundReachability::Unreachable
                } else {
                    InboundReachability::Suspected
                }
            }
            (InboundReachability::Reachable, ReachabilityEvidence::CommandIgnored)
                if count >= IGNORED_COMMANDS_SUSPECT =>
            {
                InboundReachability::Suspected
            }
            (InboundReachability::Suspected, ReachabilityEvidence::CommandIgnored)
                if count >= IGNORED_COMMANDS_UNREACHABLE =>
            {
                InboundReachability::Unreachable
            }
            (InboundReachability::Suspected, ReachabilityEvidence::ProbeFailed) => {
                InboundReachability::Unreachable
            }
            (
                InboundReachability::Suspected | InboundReachability::Unreachable,
                ReachabilityEvidence::ProbeAnswered,
            ) if !self.ignores_probe_answers => InboundReachability::Reachable,
            (held, _) => held,
        };
        let moved = to != self.reachability;
        self.ignored_orders = if moved && to == InboundReachability::Reachable { 0 } else { count };
        if moved {
            (self.reachability, self.since) = (to, now);
        }
        moved
    }
}
