//! The memory that the platform gives, divided among connections, bodies, queues, calls, caches and the cluster state.
//! Whoever holds a part rejects or sheds what is beyond its share.

use crate::constants::{
    BASE_MEMORY_MB, BODIES_SHARE, CACHED_JOB_BYTES, CACHES_SHARE, CLUSTER_STATE_SHARE,
    CONNECTION_KB, CONNECTIONS_SHARE, FINAL_RECORD_BYTES, FORWARDED_REPORTS_SHARE, JOB_CACHE_SHARE,
    KB, LISTENER_SOCKETS_SHARE, MACHINE_BYTES, MB, MIN_CAPACITY, POLL_BYTES, POLLS_SHARE,
    REPORT_BYTES, REQUEST_BYTES, SCHEDULING_CYCLE_SHARE, STORE_CALL_BYTES, STORE_CALLS_SHARE,
};

/// The most that each part of a controller may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Connections of one listener at once.
    pub connections: usize,
    /// Bytes of admitted requests with their bodies.
    pub body_bytes: usize,
    /// Reports that wait to be forwarded, or for a new leader that still reads the store.
    pub waiting_reports: usize,
    /// Queued calls to the state service.
    pub waiting_store_calls: usize,
    /// Requests that wait for a read of the job cache.
    pub waiting_polls: usize,
    /// Jobs in the job cache.
    pub cached_jobs: usize,
    /// Final records in memory.
    pub cached_final_records: usize,
    /// Machines in a leader's cluster state, with what runs on them.
    pub machines: usize,
    /// Working memory of a scheduling cycle, bytes.
    pub scheduling_cycle_bytes: usize,
}

impl MemoryBudget {
    /// Divides `mem_mb` MB of memory; connections are also bounded by the number of `sockets`.
    pub fn divide(mem_mb: f64, sockets: usize) -> MemoryBudget {
        let total = ((mem_mb - BASE_MEMORY_MB).max(1.0) * MB as f64) as usize;
        let part = |share: f64, item_bytes: usize| {
            ((total as f64 * share) as usize / item_bytes).max(MIN_CAPACITY)
        };
        let listener_sockets = (sockets as f64 * LISTENER_SOCKETS_SHARE) as usize;
        MemoryBudget {
            connections: part(CONNECTIONS_SHARE, CONNECTION_KB * KB)
                .min(listener_sockets.max(MIN_CAPACITY)),
            body_bytes: part(BODIES_SHARE, 1).max(MIN_CAPACITY * REQUEST_BYTES),
            waiting_reports: part(FORWARDED_REPORTS_SHARE, REPORT_BYTES),
            waiting_store_calls: part(STORE_CALLS_SHARE, STORE_CALL_BYTES),
            waiting_polls: part(POLLS_SHARE, POLL_BYTES),
            cached_jobs: part(JOB_CACHE_SHARE, CACHED_JOB_BYTES),
            cached_final_records: part(CACHES_SHARE, FINAL_RECORD_BYTES),
            machines: part(CLUSTER_STATE_SHARE, MACHINE_BYTES),
            scheduling_cycle_bytes: part(SCHEDULING_CYCLE_SHARE, 1),
        }
    }

    /// The most that all parts together hold, bytes.
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
