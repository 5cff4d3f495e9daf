//! Every constant of overload control, with its unit and the reason for its value.

/// Bytes of a KB and of a MB, as the platform counts them.
pub const KB: usize = 1024;
/// See `KB`.
pub const MB: usize = 1024 * KB;

// ---- memory ------------------------------------------------------------------------------------

/// What the program takes before anybody connects, MB: code, runtime, buffers, the settings; 3 to 4
/// were seen on simulated machines with 30 machines to lead.
pub const BASE_MEMORY_MB: f64 = 4.0;
/// Memory of an open connection, KB: measured on loopback, 12 once it has sent a request of a few bytes
/// and 15 after one of 3 KB, and a little.
pub const CONNECTION_KB: usize = 16;
/// Shares of what is left, which add up to 1. Connections are most of what grows with the machines.
pub const CONNECTIONS_SHARE: f64 = 0.42;
/// Bodies being read, decoded and answered.
pub const BODIES_SHARE: f64 = 0.08;
/// Reports that wait to be passed on, and those held while a new leader reads the store.
pub const FORWARDED_REPORTS_SHARE: f64 = 0.07;
/// Calls to the state service that wait or fly, with what they write.
pub const STORE_CALLS_SHARE: f64 = 0.04;
/// Final answers and other caches: a miss costs a read.
pub const CACHES_SHARE: f64 = 0.02;
/// Jobs, tasks and machines of a leader.
pub const CLUSTER_STATE_SHARE: f64 = 0.23;
/// What a pass of placement works with: leaders were killed for it when some hundred jobs waited.
pub const SCHEDULING_CYCLE_SHARE: f64 = 0.12;
/// Share of polls that wait for a read of what has changed.
pub const POLLS_SHARE: f64 = 0.005;
/// Share of the jobs kept for polls.
pub const JOB_CACHE_SHARE: f64 = 0.015;
/// Memory of a poll that waits, bytes, beside what its request holds.
pub const POLL_BYTES: usize = 200;
/// Memory of a job kept for polls, bytes: its name and what its key shows.
pub const CACHED_JOB_BYTES: usize = 100;
/// Bytes of a report that waits, as decoded, with a few dozen tasks.
pub const REPORT_BYTES: usize = 6 * KB;
/// Bytes of a call that waits: mostly a chunk or sheet of a few KB.
pub const STORE_CALL_BYTES: usize = 6 * KB;
/// Bytes of a final answer in the cache, with its place in the order.
pub const FINAL_ANSWER_BYTES: usize = 160;
/// Bytes of a machine in the leader's tables, with what runs there and a part of the jobs and lines.
pub const MACHINE_BYTES: usize = 5 * KB;
/// Share of the sockets that a listener may hold: the others are for calls and the other listener.
pub const SOCKETS_SHARE: f64 = 0.75;
/// Least of each part: below it nothing works at all.
pub const MIN_PART: usize = 16;

// ---- pressure ----------------------------------------------------------------------------------

/// Time over which the least delay is looked for, ms (CoDel's interval): ten timer steps, so that one
/// long pass alone says nothing.
pub const DELAY_INTERVAL_MS: u64 = 1_000;
/// A standing delay above this, ms, presses: a report then still has nine tenths of its 4 s.
pub const ELEVATED_DELAY_MS: u64 = 120;
/// A standing delay above this, ms, is overload: with what a call to the store takes, the 1.2 s that a
/// user's call is given are nearly used up.
pub const OVERLOADED_DELAY_MS: u64 = 700;
/// Intervals with less than half of a level's delay before the level is left: work shed must not come
/// back all at once.
pub const RELIEF_INTERVALS: u32 = 3;
/// Share of the usual work of a pass while pressed, and while overloaded.
pub const ELEVATED_WORK_SHARE: f64 = 0.5;
/// See `SHRINK_PRESSED`.
pub const OVERLOADED_WORK_SHARE: f64 = 0.2;
/// Times the usual period of rounds while pressed, and while overloaded.
pub const ELEVATED_PERIOD_FACTOR: u64 = 2;
/// See `STRETCH_PRESSED`.
pub const OVERLOADED_PERIOD_FACTOR: u64 = 4;
/// Seconds after which users are asked to come back, pressed and overloaded: spread over the longer
/// time by chance.
pub const ELEVATED_RETRY_AFTER_S: u32 = 2;
/// See `BACK_PRESSED_S`.
pub const OVERLOADED_RETRY_AFTER_S: u32 = 5;

// ---- gate --------------------------------------------------------------------------------------

/// Part of the bodies' memory that each urgency may fill, the most urgent first: heartbeats and passed
/// reports, workers' reports, cancellations and health, polls, submissions.
pub const ADMISSION_SHARES: [f64; 5] = [1.0, 0.9, 0.7, 0.55, 0.5];
/// Bytes counted for a body that does not tell its length: the most that one may have.
pub const UNKNOWN_BODY_BYTES: usize = 64 * KB;
/// Bytes counted for each request beside its body: its head, its answer, its future.
pub const REQUEST_BYTES: usize = 2 * KB;

/// Questions turned away that are remembered (memory: 50 bytes each).
pub const MAX_REJECTED_POLLS: usize = 4_000;
/// Time for which they are, ms: users who have not asked again within it have found an answer elsewhere.
pub const REJECTED_POLL_RETENTION_MS: u64 = 60_000;
/// Time after a question was turned away from which on another about the same job comes first, ms: users ask
/// again after some 5 s, so that the second time is soon enough to have an answer well within 20 s.
pub const RETRIED_POLL_DELAY_MS: u64 = 3_000;
/// Such questions let in each second while all others are turned away: 20 cost 1 ms of a whole core.
pub const RETRIED_POLLS_PER_S: u32 = 20;

// ---- headroom ----------------------------------------------------------------------------------

/// Share of its processor that machines may cost a controller for long: placement, takeovers and the
/// machines of one that ended must fit above it.
pub const MAX_MACHINE_LOAD: f64 = 0.55;
/// Load below which nothing is concluded from it: most of it is not work for machines.
pub const MIN_SIGNIFICANT_LOAD: f64 = 0.15;
/// Time constant of the smoothed load, ms: a takeover's seconds at full load must not count for long.
pub const LOAD_SMOOTHING_MS: f64 = 30_000.0;
/// Connections kept free for users and others.
pub const RESERVED_CONNECTIONS: usize = 100;
/// Machines that may always be led: fewer say nothing about headroom.
pub const MIN_MACHINES: usize = 100;

// ---- duty --------------------------------------------------------------------------------------

/// Longest time for which a controller may answer for the leader after the leader's last word, ms: two
/// summaries may be lost in it; a tenth of the shortest lease seen.
pub const MAX_DELEGATION_MS: u64 = 2_500;

// ---- retries -----------------------------------------------------------------------------------

/// Repeats earned by each call that was answered: at most a tenth more calls in the long run.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Repeats that may be saved up: enough for a short failure.
pub const MAX_SAVED_RETRIES: f64 = 20.0;
/// Repeats a second that are always allowed, so that an end of the failure is found.
pub const MIN_RETRIES_PER_S: f64 = 2.0;
