//! Every constant of overload control, with its unit and the reason for its value.

/// Bytes of a KB and of a MB, as the platform counts them.
pub const KB: usize = 1024;
/// See `KB`.
pub const MB: usize = 1024 * KB;

// ---- memory ------------------------------------------------------------------------------------

/// Memory of the program before anybody connects, MB: code, runtime, buffers, the settings; 3 to 4 were measured on
/// simulated machines with 30 machines to lead.
pub const BASE_MEMORY_MB: f64 = 4.0;
/// Memory of an open connection, KB: measured on loopback, 12 once it has sent a request of a few bytes
/// and 15 after one of 3 KB, and a little.
pub const CONNECTION_KB: usize = 16;
/// Share for connections, which are most of what grows with the number of machines. The shares divide what the program
/// leaves and add up to 1.
pub const CONNECTIONS_SHARE: f64 = 0.42;
/// Share for request bodies being read, decoded and answered.
pub const BODIES_SHARE: f64 = 0.08;
/// Share for reports that wait to be forwarded, and those held while a new leader reads the store.
pub const FORWARDED_REPORTS_SHARE: f64 = 0.07;
/// Share for calls to the state service, queued or in flight, with what they write.
pub const STORE_CALLS_SHARE: f64 = 0.04;
/// Share for final records and other caches: a miss costs a read.
pub const CACHES_SHARE: f64 = 0.02;
/// Share for a leader's cluster state: jobs, tasks and machines.
pub const CLUSTER_STATE_SHARE: f64 = 0.23;
/// Share for the working memory of a scheduling cycle: leaders were killed for lack of memory in it when some hundred
/// jobs waited.
pub const SCHEDULING_CYCLE_SHARE: f64 = 0.12;
/// Share for requests that wait for a read of the job cache.
pub const POLLS_SHARE: f64 = 0.005;
/// Share for the job cache.
pub const JOB_CACHE_SHARE: f64 = 0.015;
/// Memory of a waiting poll, bytes, beside what its request holds.
pub const POLL_BYTES: usize = 200;
/// Memory of a job in the job cache, bytes: its id and its state.
pub const CACHED_JOB_BYTES: usize = 100;
/// Memory of a waiting report, bytes: decoded, with a few dozen tasks.
pub const REPORT_BYTES: usize = 6 * KB;
/// Memory of a queued call, bytes: mostly a binding chunk or log segment of a few KB.
pub const STORE_CALL_BYTES: usize = 6 * KB;
/// Memory of a final record, bytes, with its position in the order of eviction.
pub const FINAL_RECORD_BYTES: usize = 160;
/// Memory of a machine in the cluster state, bytes, with what runs there and its part of the jobs and run queues.
pub const MACHINE_BYTES: usize = 5 * KB;
/// Share of the sockets that a listener may hold: the rest is for calls and the other listener.
pub const LISTENER_SOCKETS_SHARE: f64 = 0.75;
/// Least size of each part: below it nothing works at all.
pub const MIN_CAPACITY: usize = 16;

// ---- load level --------------------------------------------------------------------------------

/// Interval over which the least delay is taken, ms (as in CoDel): ten timer ticks, so that a single long scheduling
/// cycle does not count.
pub const DELAY_INTERVAL_MS: u64 = 1_000;
/// A standing delay above this, ms, is elevated load: a report then still has nine tenths of its 4 s.
pub const ELEVATED_DELAY_MS: u64 = 120;
/// A standing delay above this, ms, is overload: with the time of a call to the store, the 1.2 s of a user's call are
/// nearly used up.
pub const OVERLOADED_DELAY_MS: u64 = 700;
/// Intervals in a row with at most half of a level's delay before the level is left: shed load must not come back all
/// at once.
pub const RELIEF_INTERVALS: u32 = 3;
/// Share of the usual work of a scheduling cycle at elevated load.
pub const ELEVATED_WORK_SHARE: f64 = 0.5;
/// The same when overloaded.
pub const OVERLOADED_WORK_SHARE: f64 = 0.2;
/// Factor by which the period of mapping rounds grows at elevated load.
pub const ELEVATED_PERIOD_FACTOR: u64 = 2;
/// The same when overloaded.
pub const OVERLOADED_PERIOD_FACTOR: u64 = 4;
/// Most seconds after which rejected users are asked to retry at elevated load; the time is random up to it.
pub const ELEVATED_RETRY_AFTER_S: u32 = 2;
/// The same when overloaded.
pub const OVERLOADED_RETRY_AFTER_S: u32 = 5;

// ---- admission ---------------------------------------------------------------------------------

/// Part of the memory for bodies that each priority may fill, the most urgent first: heartbeats and forwarded reports,
/// workers' reports, cancellations and health checks, polls, submissions.
pub const ADMISSION_SHARES: [f64; 5] = [1.0, 0.9, 0.7, 0.55, 0.5];
/// Bytes counted for a body of unstated length: the most that one may have.
pub const UNKNOWN_BODY_BYTES: usize = 64 * KB;
/// Bytes counted for each request beside its body: its head, its response, its future.
pub const REQUEST_BYTES: usize = 2 * KB;

/// Most rejected polls that are remembered (memory: 50 bytes each).
pub const MAX_REJECTED_POLLS: usize = 4_000;
/// Time for which they are remembered, ms: users that have not retried by then were answered by another controller.
pub const REJECTED_POLL_RETENTION_MS: u64 = 60_000;
/// Time after a rejection from which on a poll about the same job takes precedence, ms: users retry after some 5 s, so
/// that the second attempt is soon enough to be answered well within 20 s.
pub const RETRIED_POLL_DELAY_MS: u64 = 3_000;
/// Retried polls admitted per second while all others are rejected: 20 cost 1 ms of a whole core.
pub const RETRIED_POLLS_PER_S: u32 = 20;

// ---- fleet limit -------------------------------------------------------------------------------

/// Share of its processor that machines may cost a controller for long: placement, failovers and the machines of a
/// failed controller must fit above it.
pub const MAX_MACHINE_LOAD: f64 = 0.55;
/// Load below which it says nothing about machines: most of it is other work.
pub const MIN_SIGNIFICANT_LOAD: f64 = 0.15;
/// Time constant of the smoothed load, ms: the seconds of full load in a failover must not count for long.
pub const LOAD_SMOOTHING_MS: f64 = 30_000.0;
/// Connections kept free for users and others.
pub const RESERVED_CONNECTIONS: usize = 100;
/// Machines that may always be led: fewer are too few to tell what a machine costs.
pub const MIN_MACHINES: usize = 100;

// ---- delegated answering -----------------------------------------------------------------------

/// Longest time for which a follower may answer for the leader after the last message that the leader answered, ms: two
/// summaries may be lost in it, and it is a tenth of the shortest worker lease seen.
pub const MAX_DELEGATION_MS: u64 = 2_500;

// ---- retries -----------------------------------------------------------------------------------

/// Retries earned by each call that succeeds: at most a tenth more calls in the long run.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Most retries that can be saved up: enough for a short failure.
pub const MAX_SAVED_RETRIES: f64 = 20.0;
/// Retries per second that are always allowed, so that the end of a failure is noticed.
pub const MIN_RETRIES_PER_S: f64 = 2.0;
