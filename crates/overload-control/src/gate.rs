//! Which requests are taken, before their bodies are read. Each urgency may fill a part of the bodies'
//! memory, so that what is least urgent is refused first, and a lease is never lost for a poll.

use crate::constants::*;
use crate::pressure::Level;

/// How urgent a request is, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Between controllers: the term, vouchers, reports passed on.
    Controllers,
    /// Workers' reports: their leases, ends and stops.
    Reports,
    /// Cancellations and health checks.
    Withdraw,
    /// Polls.
    Poll,
    /// Submissions: their users try again for a minute.
    Submit,
}

/// What is under way, against what may be.
#[derive(Debug)]
pub struct Gate {
    most: usize,
    held: usize,
}

impl Gate {
    /// A gate for that many bytes.
    pub fn new(most: usize) -> Gate {
        Gate { most, held: 0 }
    }

    /// Lets a request in, and says how many bytes it holds until it [leaves](Gate::leave). `length`:
    /// what it says of its body. None: it is refused now. A poll that is [pressing](crate::turned) enters
    /// like a cancellation.
    pub fn enter(
        &mut self,
        urgency: Urgency,
        length: Option<usize>,
        level: Level,
    ) -> Option<usize> {
        let bytes = REQUEST_BYTES + length.unwrap_or(BODY_UNKNOWN).min(BODY_UNKNOWN);
        let part = (self.most as f64 * GATE_PARTS[urgency as usize]) as usize;
        let shed = level == Level::Overloaded && urgency >= Urgency::Poll;
        if shed || self.held + bytes > part {
            return None;
        }
        self.held += bytes;
        Some(bytes)
    }

    /// A request has been answered or has gone.
    pub fn leave(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Bytes under way.
    pub fn held(&self) -> usize {
        self.held
    }
}
