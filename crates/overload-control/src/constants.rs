//! The constants of overload control.

/// Bytes per KB, as the platform counts them.
pub const KB: usize = 1024;
/// Bytes per MB, as the platform counts them.
pub const MB: usize = 1024 * KB;

// ---- memory ------------------------------------------------------------------------------------

/// Memory of the process without any connection, MB: code, runtime, buffers and settings. The process uses 3 to 4 MB
/// with 30 machines.
pub const BASE_MEMORY_MB: f64 = 4.0;
/// Memory of an open connection, KB. On loopback, a connection uses 12 KB after a request of a few bytes and 15 KB
/// after one of 3 KB.
pub const CONNECTION_KB: usize = 16;
/// Share for connections, which are the largest part of the memory that grows with the number of machines. The shares
/// divide the memory beyond [`BASE_MEMORY_MB`] and add up to 1.
pub const CONNECTIONS_SHARE: f64 = 0.42;
/// Share for request bodies that are read, decoded and answered.
pub const BODIES_SHARE: f64 = 0.08;
/// Share for reports that wait to be forwarded, or for a new leader that is still reading the store.
pub const FORWARDED_REPORTS_SHARE: f64 = 0.07;
/// Share for calls to the state service, queued or in flight, including the data that they write.
pub const STORE_CALLS_SHARE: f64 = 0.04;
/// Share for the final record cache. Small, since a miss costs only a store read.
pub const CACHES_SHARE: f64 = 0.02;
/// Share for a leader's cluster state: jobs, tasks and machines.
pub const CLUSTER_STATE_SHARE: f64 = 0.23;
/// Share for the working memory of a scheduling cycle. Without this reserve, leaders run out of memory in a cycle and
/// are killed when some hundred jobs wait.
pub const SCHEDULING_CYCLE_SHARE: f64 = 0.12;
/// Share for requests that wait for a read of the job cache.
pub const POLLS_SHARE: f64 = 0.005;
/// Share for the job cache.
pub const JOB_CACHE_SHARE: f64 = 0.015;
/// Memory of a waiting poll, bytes, in addition to the bytes that its request holds.
pub const POLL_BYTES: usize = 200;
/// Memory of a job in the job cache, bytes: the id and the state.
pub const CACHED_JOB_BYTES: usize = 100;
/// Memory of a waiting report, bytes, decoded and with a few dozen tasks.
pub const REPORT_BYTES: usize = 6 * KB;
/// Memory of a queued call to the state service, bytes. Most calls write a binding chunk or log segment of a few KB.
pub const STORE_CALL_BYTES: usize = 6 * KB;
/// Memory of a final record, bytes, including its entry in the eviction order.
pub const FINAL_RECORD_BYTES: usize = 160;
/// Memory of a machine in the cluster state, bytes, including its tasks and its share of the jobs and run queues.
pub const MACHINE_BYTES: usize = 5 * KB;
/// Memory of an attempt of a task in the cluster state, bytes, including its entry at its machine.
pub const ATTEMPT_BYTES: usize = 88;
/// Share of the sockets that a listener may use. The rest is for outgoing calls and the other listener.
pub const LISTENER_SOCKETS_SHARE: f64 = 0.75;
/// Minimum capacity of each part of the budget. A controller does not work with less.
pub const MIN_CAPACITY: usize = 16;

// ---- load level --------------------------------------------------------------------------------

/// Interval over which the minimum delay is taken, ms (as in CoDel). Ten timer ticks, so that a single long scheduling
/// cycle does not raise the level.
pub const DELAY_INTERVAL_MS: u64 = 1_000;
/// A standing delay above this, ms, is elevated load. At this delay a report still has nine tenths of its 4 s timeout.
pub const ELEVATED_DELAY_MS: u64 = 120;
/// A standing delay above this, ms, is overload. Together with a store call, it nearly uses up the 1.2 s that a call for
/// a user may take.
pub const OVERLOADED_DELAY_MS: u64 = 700;
/// Number of consecutive intervals with at most half of a level's delay after which the level is lowered. Keeps shed
/// load from returning all at once.
pub const RELIEF_INTERVALS: u32 = 3;
/// Share of the usual work of a scheduling cycle at elevated load.
pub const ELEVATED_WORK_SHARE: f64 = 0.5;
/// Share of the usual work of a scheduling cycle at overload.
pub const OVERLOADED_WORK_SHARE: f64 = 0.2;
/// Factor by which the period of mapping rounds is multiplied at elevated load.
pub const ELEVATED_PERIOD_FACTOR: u64 = 2;
/// Factor by which the period of mapping rounds is multiplied at overload.
pub const OVERLOADED_PERIOD_FACTOR: u64 = 4;
/// Upper bound of the random part of the time after which rejected users are asked to retry at elevated load, seconds.
pub const ELEVATED_RETRY_AFTER_S: u32 = 2;
/// Upper bound of the random part of the time after which rejected users are asked to retry at overload, seconds.
pub const OVERLOADED_RETRY_AFTER_S: u32 = 5;

// ---- admission ---------------------------------------------------------------------------------

/// Share of the memory for bodies that the requests of each priority may fill, the most urgent first: heartbeats and
/// forwarded reports, workers' reports, cancellations and health checks, polls, submissions.
pub const ADMISSION_SHARES: [f64; 5] = [1.0, 0.9, 0.7, 0.55, 0.5];
/// Bytes counted for a body of unknown length: the maximum length of a body.
pub const UNKNOWN_BODY_BYTES: usize = 64 * KB;
/// Bytes counted for each request in addition to its body: its headers, its response and its future.
pub const REQUEST_BYTES: usize = 2 * KB;

/// Maximum number of rejected polls that are remembered, at 50 bytes each.
pub const MAX_REJECTED_POLLS: usize = 4_000;
/// Time for which a rejected poll is remembered, ms. Users that have not retried by then have been answered by another
/// controller.
pub const REJECTED_POLL_RETENTION_MS: u64 = 60_000;
/// Time after a rejection from which a poll of the same job takes precedence, ms. Users retry after some 5 s, so the
/// second attempt takes precedence and can be answered well within 20 s.
pub const RETRIED_POLL_DELAY_MS: u64 = 3_000;
/// Retried polls admitted per second while all others are rejected. 20 polls cost 1 ms of a whole core.
pub const RETRIED_POLLS_PER_S: u32 = 20;

// ---- fleet limit -------------------------------------------------------------------------------

/// Share of a controller's processor that managing machines may use in the long term. The rest must suffice for
/// placement, failovers and the machines of a failed controller.
pub const MAX_MACHINE_LOAD: f64 = 0.55;
/// CPU load below which no cost per machine can be derived, since most of it is other work.
pub const MIN_SIGNIFICANT_LOAD: f64 = 0.15;
/// Time constant of the smoothed CPU load, ms. Limits the effect of the seconds of full load during a failover.
pub const LOAD_SMOOTHING_MS: f64 = 30_000.0;
/// Connections reserved for users and other clients.
pub const RESERVED_CONNECTIONS: usize = 100;
/// Number of machines that is always allowed. With fewer, the cost of a machine cannot be estimated.
pub const MIN_MACHINES: usize = 100;

// ---- delegated answering -----------------------------------------------------------------------

/// Maximum time for which a follower may answer for the leader, ms, counted from the sending of the latest message that
/// the leader answered. Two summaries may be lost within this time, and it is a tenth of the shortest worker lease in
/// use.
pub const MAX_DELEGATION_MS: u64 = 2_500;

// ---- retries -----------------------------------------------------------------------------------

/// Retries earned by each successful call. Limits retries to a tenth of the calls in the long term.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Capacity of the retry budget: enough for a short failure.
pub const MAX_SAVED_RETRIES: f64 = 20.0;
/// Retries per second that are always allowed, so that the end of a failure is detected.
pub const MIN_RETRIES_PER_S: f64 = 2.0;
