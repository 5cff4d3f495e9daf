//! Division of the available memory among connections, request bodies, queues, calls, caches and the cluster state. Each
//! part of a controller rejects or sheds work beyond its share.

use crate::constants::{
    ATTEMPT_BYTES, BASE_MEMORY_MB, BODIES_SHARE, CACHED_JOB_BYTES, CACHES_SHARE,
    CLUSTER_STATE_SHARE, CONNECTION_KB, CONNECTIONS_SHARE, FINAL_RECORD_BYTES,
    FORWARDED_REPORTS_SHARE, JOB_CACHE_SHARE, KB, LISTENER_SOCKETS_SHARE, MACHINE_BYTES, MB,
    MIN_CAPACITY, POLL_BYTES, POLLS_SHARE, REPORT_BYTES, REQUEST_BYTES, SCHEDULING_CYCLE_SHARE,
    STORE_CALL_BYTES, STORE_CALLS_SHARE,
};

/// Maximum amounts that the parts of a controller may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Concurrent connections of one listener.
    pub connections: usize,
    /// Bytes of admitted requests, including their bodies.
    pub body_bytes: usize,
    /// Reports that wait to be forwarded, or for a new leader that is still reading the store.
    pub waiting_reports: usize,
    /// Queued calls to the state service.
    pub waiting_store_calls: usize,
    /// Requests that wait for a read of the job cache.
    pub waiting_polls: usize,
    /// Jobs in the job cache.
    pub cached_jobs: usize,
    /// Final records in the cache.
    pub cached_final_records: usize,
    /// Machines in a leader's cluster state, including their tasks.
    pub machines: usize,
    /// Attempts of tasks in a leader's cluster state. Attempts and machines use the same share of the memory: each number
    /// is what the share holds without the other, so [`MemoryBudget::total_bytes`] counts the share once.
    pub attempts: usize,
    /// Working memory of a scheduling cycle, bytes.
    pub scheduling_cycle_bytes: usize,
}

impl MemoryBudget {
    /// Divides `mem_mb` MB of memory. Connections are also bounded by the number of `sockets`.
    pub fn divide(mem_mb: f64, sockets: usize) -> MemoryBudget {
        let total = ((mem_mb - BASE_MEMORY_MB).max(1.0) * MB as f64) as usize;
        let capacity = |share: f64, item_bytes: usize| {
            ((total as f64 * share) as usize / item_bytes).max(MIN_CAPACITY)
        };
        let listener_sockets = (sockets as f64 * LISTENER_SOCKETS_SHARE) as usize;
        MemoryBudget {
            connections: capacity(CONNECTIONS_SHARE, CONNECTION_KB * KB)
                .min(listener_sockets.max(MIN_CAPACITY)),
            body_bytes: capacity(BODIES_SHARE, 1).max(MIN_CAPACITY * REQUEST_BYTES),
            waiting_reports: capacity(FORWARDED_REPORTS_SHARE, REPORT_BYTES),
            waiting_store_calls: capacity(STORE_CALLS_SHARE, STORE_CALL_BYTES),
            waiting_polls: capacity(POLLS_SHARE, POLL_BYTES),
            cached_jobs: capacity(JOB_CACHE_SHARE, CACHED_JOB_BYTES),
            cached_final_records: capacity(CACHES_SHARE, FINAL_RECORD_BYTES),
            machines: capacity(CLUSTER_STATE_SHARE, MACHINE_BYTES),
            attempts: capacity(CLUSTER_STATE_SHARE, ATTEMPT_BYTES),
            scheduling_cycle_bytes: capacity(SCHEDULING_CYCLE_SHARE, 1),
        }
    }

    /// Maximum memory of all parts together, bytes.
    pub fn total_bytes(&self) -> usize {
        self.connections * CONNECTION_KB * KB
            + self.body_bytes
            + self.waiting_reports * REPORT_BYTES
            + self.waiting_store_calls * STORE_CALL_BYTES
            + self.waiting_polls * POLL_BYTES
            + self.cached_jobs * CACHED_JOB_BYTES
            + self.cached_final_records * FINAL_RECORD_BYTES
            + self.machines * MACHINE_BYTES
            + self.scheduling_cycle_bytes
    }
}
