//! The memory that the platform gives, divided among connections, bodies, queues, calls, caches and
//! tables. What is beyond a part's share is refused or shed where it comes in.

use crate::constants::*;

/// What each part may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Connections of one listener at once.
    pub connections: usize,
    /// Bytes of bodies and requests under way at once.
    pub body_bytes: usize,
    /// Reports that wait to be passed on, or for a new leader.
    pub reports: usize,
    /// Calls to the state service that wait.
    pub calls: usize,
    /// Polls that wait for a read.
    pub polls: usize,
    /// Jobs whose state is kept for polls.
    pub mirrored: usize,
    /// Final answers in the cache.
    pub finals: usize,
    /// Machines that a leader's tables can hold with what runs on them.
    pub machines: usize,
    /// Bytes that a pass of placement may work with.
    pub pass_bytes: usize,
}

impl Budget {
    /// Divides `mem_mb` MB; connections are bounded by `sockets` too.
    pub fn of(mem_mb: f64, sockets: usize) -> Budget {
        let all = ((mem_mb - BASE_MB).max(1.0) * MB as f64) as usize;
        let part = |share: f64, each: usize| ((all as f64 * share) as usize / each).max(PART_LEAST);
        let listener = (sockets as f64 * SOCKETS_SHARE) as usize;
        Budget {
            connections: part(CONNECTIONS_SHARE, CONNECTION_KB * KB).min(listener.max(PART_LEAST)),
            body_bytes: part(BODIES_SHARE, 1).max(PART_LEAST * REQUEST_BYTES),
            reports: part(RELAYS_SHARE, REPORT_BYTES),
            calls: part(CALLS_SHARE, CALL_BYTES),
            polls: part(POLLS_SHARE, POLL_BYTES),
            mirrored: part(MIRROR_SHARE, MIRRORED_BYTES),
            finals: part(CACHES_SHARE, FINAL_BYTES),
            machines: part(TABLES_SHARE, MACHINE_BYTES),
            pass_bytes: part(PASS_SHARE, 1),
        }
    }

    /// The most that all parts hold together, bytes.
    pub fn most(&self) -> usize {
        self.connections * CONNECTION_KB * KB
            + self.body_bytes
            + self.reports * REPORT_BYTES
            + self.calls * CALL_BYTES
            + self.polls * POLL_BYTES
            + self.mirrored * MIRRORED_BYTES
            + self.finals * FINAL_BYTES
            + self.machines * MACHINE_BYTES
            + self.pass_bytes
    }
}
