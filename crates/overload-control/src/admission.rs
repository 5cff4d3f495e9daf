//! Which requests are taken, before their bodies are read. Each urgency may fill a part of the bodies'
//! memory, so that what is least urgent is refused first, and a lease is never lost for a poll.

use crate::constants::{ADMISSION_SHARES, REQUEST_BYTES, UNKNOWN_BODY_BYTES};
use crate::load_level::LoadLevel;

/// How urgent a request is, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Between controllers: the term, vouchers, reports passed on.
    Controllers,
    /// Workers' reports: their leases, ends and stops.
    Reports,
    /// Cancellations and health checks.
    Cancellations,
    /// Polls.
    Polls,
    /// Submissions: their users try again for a minute.
    Submissions,
}

/// What is under way, against what may be.
#[derive(Debug)]
pub struct AdmissionGate {
    max_bytes: usize,
    held_bytes: usize,
}

impl AdmissionGate {
    /// A gate for that many bytes.
    pub fn new(max_bytes: usize) -> AdmissionGate {
        AdmissionGate { max_bytes, held_bytes: 0 }
    }

    /// Lets a request in, and says how many bytes it holds until it [leaves](Gate::leave). `length`:
    /// what it says of its body. None: it is refused now. A poll that is [pressing](crate::turned) enters
    /// like a cancellation.
    pub fn try_admit(
        &mut self,
        urgency: RequestPriority,
        length: Option<usize>,
        level: LoadLevel,
    ) -> Option<usize> {
        let bytes = REQUEST_BYTES + length.unwrap_or(UNKNOWN_BODY_BYTES).min(UNKNOWN_BODY_BYTES);
        let part = (self.max_bytes as f64 * ADMISSION_SHARES[urgency as usize]) as usize;
        let shed = level == LoadLevel::Overloaded && urgency >= RequestPriority::Polls;
        if shed || self.held_bytes + bytes > part {
            return None;
        }
        self.held_bytes += bytes;
        Some(bytes)
    }

    /// A request has been answered or has gone.
    pub fn release(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Bytes under way.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
