//! Admission control: decides which requests are admitted before their bodies are read. Each priority may fill a share
//! of the memory for bodies, so that the least urgent requests are rejected first and no worker loses its lease because
//! of polls.

use crate::constants::{ADMISSION_SHARES, REQUEST_BYTES, UNKNOWN_BODY_BYTES};
use crate::load_level::LoadLevel;

/// Priority of a request, the most urgent first. The order is the index into [`ADMISSION_SHARES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Messages between controllers: heartbeats with endorsements, forwarded reports.
    Controllers,
    /// Workers' reports, which renew leases and report exits and stops of tasks.
    Reports,
    /// Cancellations and health checks.
    Cancellations,
    /// Polls of a job's status.
    Polls,
    /// Submissions. The least urgent, since users retry them for a minute.
    Submissions,
}

/// Tracks the memory of admitted requests and bounds it by a share of the budget for each priority.
#[derive(Debug)]
pub struct AdmissionGate {
    max_bytes: usize,
    admitted_bytes: usize,
}

impl AdmissionGate {
    /// Creates a gate without admitted requests. All admitted requests together may hold at most `max_bytes`.
    pub fn new(max_bytes: usize) -> AdmissionGate {
        AdmissionGate { max_bytes, admitted_bytes: 0 }
    }

    /// Admits a request and returns the number of bytes that it holds until it is
    /// [released](AdmissionGate::release). Returns none if the request is rejected. `content_length` is the length of
    /// its body in bytes, if the request states it. For a retried poll that
    /// [takes precedence](crate::rejected_polls) the caller passes the priority of a cancellation.
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

    /// Releases the bytes of a request that has been answered or whose connection has closed.
    pub fn release(&mut self, bytes: usize) {
        self.admitted_bytes = self.admitted_bytes.saturating_sub(bytes);
    }

    /// Number of bytes held by admitted requests.
    pub fn admitted_bytes(&self) -> usize {
        self.admitted_bytes
    }
}
