//! Admission control: which requests are admitted, before their bodies are read. Each priority may fill a part of the
//! memory for bodies, so that the least urgent requests are rejected first and no worker's lease is lost for a poll.

use crate::constants::{ADMISSION_SHARES, REQUEST_BYTES, UNKNOWN_BODY_BYTES};
use crate::load_level::LoadLevel;

/// Priority of a request, the most urgent first. The order indexes [`ADMISSION_SHARES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Between controllers: heartbeats with endorsements, forwarded reports.
    Controllers,
    /// Workers' reports: they renew leases, and carry exits and stops.
    Reports,
    /// Cancellations and health checks.
    Cancellations,
    /// Polls.
    Polls,
    /// Submissions: their users retry for a minute.
    Submissions,
}

/// Memory that admitted requests hold, bounded by a share of the budget for each priority.
#[derive(Debug)]
pub struct AdmissionGate {
    max_bytes: usize,
    admitted_bytes: usize,
}

impl AdmissionGate {
    /// An empty gate; all admitted requests together may hold `max_bytes`.
    pub fn new(max_bytes: usize) -> AdmissionGate {
        AdmissionGate { max_bytes, admitted_bytes: 0 }
    }

    /// Admits a request and returns how many bytes it holds until it is [released](AdmissionGate::release), or rejects
    /// it (none). `content_length`: the length of its body in bytes, if the request states it. A retried poll that
    /// [takes precedence](crate::rejected_polls) is admitted like a cancellation: the caller passes that priority.
    pub fn try_admit(
        &mut self,
        priority: RequestPriority,
        content_length: Option<usize>,
        level: LoadLevel,
    ) -> Option<usize> {
        let body_bytes = content_length.unwrap_or(UNKNOWN_BODY_BYTES).min(UNKNOWN_BODY_BYTES);
        let bytes = REQUEST_BYTES + body_bytes;
        let limit = (self.max_bytes as f64 * ADMISSION_SHARES[priority as usize]) as usize;
        let is_shed = level == LoadLevel::Overloaded && priority >= RequestPriority::Polls;
        if is_shed || self.admitted_bytes + bytes > limit {
            return None;
        }
        self.admitted_bytes += bytes;
        Some(bytes)
    }

    /// Gives back the bytes of a request that was answered or whose connection is gone.
    pub fn release(&mut self, bytes: usize) {
        self.admitted_bytes = self.admitted_bytes.saturating_sub(bytes);
    }

    /// Bytes that admitted requests hold.
    pub fn admitted_bytes(&self) -> usize {
        self.admitted_bytes
    }
}
