//! Inbound reachability: whether responses and commands reach a machine whose reports arrive. A report proves that the
//! machine is alive, not that it is reachable. A machine that is unreachable inbound loses its lease again and again,
//! and looks like the best placement each time: empty, ready, with images in its cache.

use crate::Time;
use crate::constants::{IGNORED_COMMANDS_SUSPECT, IGNORED_COMMANDS_UNREACHABLE, RELAPSE_WINDOW_MS};

/// Presumed inbound reachability of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InboundReachability {
    /// Nothing says otherwise.
    #[default]
    Reachable,
    /// It did not execute commands, or lost a lease although its reports were answered: it is probed, and gets no new
    /// tasks.
    Suspected,
    /// Responses and commands do not reach it.
    Unreachable,
}

/// Evidence of a machine's inbound reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityEvidence {
    /// A report shows that a command in the response to an earlier one was executed.
    CommandExecuted,
    /// A report shows nothing of what the response to the previous one commanded.
    CommandIgnored,
    /// Its session ended although reports of the last lease were answered.
    SessionLostThoughAnswered,
    /// Its session has lasted for longer than a lease, which only responses renew.
    SessionOutlastedLease,
    /// It responded to a probe.
    ProbeAnswered,
    /// A probe found no connection, or no response.
    ProbeFailed,
}

/// Inbound reachability of one machine, and the evidence that it is judged by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachabilityTracker {
    reachability: InboundReachability,
    since: Time,
    /// Consecutive reports after which a command was ignored.
    ignored_commands: u8,
    /// It lost another lease soon after it was presumed reachable again: a response to a probe does not prove that
    /// responses to reports arrive.
    ignores_probe_answers: bool,
    /// Until when another lost lease counts as a relapse.
    relapse_until: Time,
}

impl ReachabilityTracker {
    /// The presumed reachability.
    pub fn reachability(&self) -> InboundReachability {
        self.reachability
    }

    /// When it last changed.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Whether nothing speaks against placing tasks on the machine.
    pub fn is_reachable(&self) -> bool {
        self.reachability == InboundReachability::Reachable
    }

    /// The one function that changes the reachability. Returns whether it changed.
    pub fn apply_evidence(&mut self, evidence: ReachabilityEvidence, now: Time) -> bool {
        let ignored_commands = match evidence {
            ReachabilityEvidence::CommandIgnored => self.ignored_commands.saturating_add(1),
            ReachabilityEvidence::CommandExecuted | ReachabilityEvidence::SessionOutlastedLease => {
                0
            }
            _ => self.ignored_commands,
        };
        let to = match (self.reachability, evidence) {
            // An executed command or a lease still alive proves reachability, whatever was presumed before.
            (
                _,
                ReachabilityEvidence::CommandExecuted | ReachabilityEvidence::SessionOutlastedLease,
            ) => {
                self.ignores_probe_answers = false;
                InboundReachability::Reachable
            }
            (_, ReachabilityEvidence::SessionLostThoughAnswered) => {
                let is_relapse =
                    now < self.relapse_until || self.reachability != InboundReachability::Reachable;
                self.relapse_until = now + RELAPSE_WINDOW_MS;
                self.ignores_probe_answers |= is_relapse;
                if is_relapse {
                    InboundReachability::Unreachable
                } else {
                    InboundReachability::Suspected
                }
            }
            (InboundReachability::Reachable, ReachabilityEvidence::CommandIgnored)
                if ignored_commands >= IGNORED_COMMANDS_SUSPECT =>
            {
                InboundReachability::Suspected
            }
            (InboundReachability::Suspected, ReachabilityEvidence::CommandIgnored)
                if ignored_commands >= IGNORED_COMMANDS_UNREACHABLE =>
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
            (unchanged, _) => unchanged,
        };
        let changed = to != self.reachability;
        self.ignored_commands =
            if changed && to == InboundReachability::Reachable { 0 } else { ignored_commands };
        if changed {
            (self.reachability, self.since) = (to, now);
        }
        changed
    }
}
