//! Job records, bindings and their compaction, the job cache, retries of tasks.

/// Size of a binding in JSON beside its numbers and its machine's name, bytes: brackets, quotes, commas.
pub const BINDING_OVERHEAD_BYTES: usize = 8;

/// Size of a binding chunk beside its ranges and bindings, bytes, at most: two numbers of 20 digits, and names.
pub const CHUNK_OVERHEAD_BYTES: usize = 96;

/// Size of a range of completed tasks, bytes, at most: two numbers of 6 digits, brackets, commas.
pub const MAX_TASK_RANGE_BYTES: usize = 16;

/// Size of a log segment beside its bindings, bytes.
pub const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// Size of a job in a log segment beside its name, bytes.
pub const SEGMENT_JOB_OVERHEAD_BYTES: usize = 6;

/// Tasks in one binding chunk at most, whatever the value size allows.
pub const MAX_CHUNK_TASKS: u32 = 256;

/// Attempt numbers of a leader start at its fencing token shifted left by this many bits. A leader thus has 2^24
/// attempts, and no two leaders share one.
pub const ATTEMPT_COUNTER_BITS: u32 = 24;

/// Time to the deadline that policies see for a job without one, s.
pub const NO_DEADLINE_S: f64 = 1e9;

/// Cluster events buffered between two deliveries at most (memory).
pub const MAX_BUFFERED_CLUSTER_EVENTS: usize = 1_000;

/// Time after which a failed read or watch of the plug-ins is retried, ms.
pub const PLUGINS_RETRY_MS: u64 = 3_000;

/// Jobs whose task counts a heartbeat carries (message size).
pub const MAX_HEARTBEAT_TASK_COUNTS: usize = 1_000;

/// Backoff before a failed task is retried, ms, doubled with each failure.
pub const TASK_RETRY_BACKOFF_MS: u64 = 1_000;

/// Longest such backoff, ms.
pub const MAX_TASK_RETRY_BACKOFF_MS: u64 = 30_000;

/// Delay before a job's dirty chunk is written, ms. Its bindings are in the binding log by then, and completed
/// tasks stay known to their workers until they are committed, so that one write holds many of both.
pub const COMPACTION_DELAY_MS: u64 = 2_500;

/// Chunk writes queued for the store's write rate at once: a queued write holds what was known when it was queued,
/// a chunk still in memory goes on gathering.
pub const MAX_QUEUED_COMPACTIONS: usize = 2;

/// Least time between two writes of the binding log, ms: a few a second leave most of 20 to 30 writes a second to
/// chunks and final records.
pub const MIN_BINDING_LOG_INTERVAL_MS: u64 = 200;

/// After a write of several segments the log rests for this many times the time that they take of the leader's
/// write rate.
pub const BINDING_LOG_PAUSE_FACTOR: f64 = 2.0;

/// The same while writes for users and final records are waiting.
pub const BINDING_LOG_BUSY_PAUSE_FACTOR: f64 = 4.0;

/// Chunks of a job in one transaction at most: more would take a second's writes at once.
pub const MAX_COMPACTIONS_PER_TRANSACTION: usize = 4;

/// Final records queued for the store at once: later ones are chosen by priority, not in the order in which they
/// came.
pub const MAX_QUEUED_FINAL_RECORDS: usize = 8;

/// Largest log segment, bytes, where values may be larger (processor: a segment is written whole).
pub const MAX_SEGMENT_BYTES: usize = 8 * 1024;

/// Bindings in all segments at most (memory); more wait until chunks have compacted some.
pub const MAX_LOGGED_BINDINGS: usize = 4_000;

/// Bindings that stay in the log until their tasks end; older ones beyond are compacted into chunks. Some seven
/// segments, which a new leader reads at once.
pub const BINDING_LOG_COMPACTION_THRESHOLD: usize = 1_200;

/// Bindings in the log beyond which work of the lowest priority is not bound. Ended tasks that wait for their
/// commit are among them, and an array of short tasks ends faster than that can be committed.
pub const MAX_LOGGED_BINDINGS_LOW_PRIORITY: usize = 3_000;

/// Bindings of one chunk in the log from which on the chunk takes them over.
pub const MIN_COMPACTION_BINDINGS: usize = 12;

/// Exits of a job that wait for their commit from which on its chunks are written at the priority of users'
/// requests.
pub const URGENT_COMPACTION_EXITS: usize = 32;

/// Final records moved to `end/` in one transaction: few, since each takes from the writes that a burst of users
/// may need next.
pub const MAX_ARCHIVE_BATCH: usize = 2;

/// Finished jobs from which on archiving no longer waits for idle moments: a new leader has to read them.
pub const ARCHIVE_BACKLOG_THRESHOLD: usize = 1_000;

/// Least time between reads of job changes for polls, ms: at most five a second for each controller, and a poll,
/// for which its user gives 2 s, waits a tenth of that on average.
pub const JOB_CACHE_READ_INTERVAL_MS: u64 = 200;

/// The same while no request waits, ms: little has changed then when one comes.
pub const JOB_CACHE_IDLE_READ_INTERVAL_MS: u64 = 4_000;

/// Time without such a read after which the jobs are listed anew, ms: the store retains 10,000 changes, and returns
/// all of them at once.
pub const JOB_CACHE_RELIST_AFTER_MS: u64 = 30_000;

/// Time after which the jobs are listed again where there were more than the cache holds, ms: each attempt costs as
/// many requests as it takes to find that out.
pub const JOB_CACHE_OVERFLOW_RETRY_MS: u64 = 30_000;

/// Waiting polls among which one is looked for that yields to a retried poll (processor).
pub const POLL_DISPLACEMENT_WINDOW: usize = 100;

/// Log segments that a new leader reads at most.
pub const MAX_SEGMENTS: usize = 1_000;

/// `Retry-After` of a 503, s.
pub const RETRY_AFTER_S: u32 = 1;
