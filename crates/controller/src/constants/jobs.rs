//! Job records, bindings and their compaction, the job cache, and retries of tasks.

/// JSON size of a binding without its numbers and its machine's name, bytes: brackets, quotes and commas.
pub const BINDING_OVERHEAD_BYTES: usize = 8;

/// Size of a binding chunk without its ranges and bindings, bytes, at most: two numbers of 20 digits and the field
/// names.
pub const CHUNK_OVERHEAD_BYTES: usize = 96;

/// Size of a range of completed tasks, bytes, at most: two numbers of 6 digits, brackets and commas.
pub const MAX_TASK_RANGE_BYTES: usize = 16;

/// JSON size of a range of completed tasks without its numbers, bytes: brackets and commas.
pub const TASK_RANGE_OVERHEAD_BYTES: usize = 4;

/// Size of a log segment without its bindings, bytes.
pub const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// Size of a job in a log segment without its name, bytes.
pub const SEGMENT_JOB_OVERHEAD_BYTES: usize = 6;

/// Tasks whose attempts a leader stores together. A change within them moves the others.
pub const ATTEMPT_BLOCK_TASKS: u32 = 64;

/// Tasks in one binding chunk at most, even where the store's value size allows more.
pub const MAX_CHUNK_TASKS: u32 = 256;

/// Attempt numbers of a leader start at its fencing token shifted left by this many bits. A leader thus has 2^24
/// attempt numbers, and no two leaders share one.
pub const ATTEMPT_COUNTER_BITS: u32 = 24;

/// Time to deadline that policies see for a job without a deadline, s.
pub const NO_DEADLINE_S: f64 = 1e9;

/// Cluster events buffered between two deliveries at most; bounds memory.
pub const MAX_BUFFERED_CLUSTER_EVENTS: usize = 1_000;

/// Delay before a failed read or watch of the plug-ins is retried, ms.
pub const PLUGINS_RETRY_MS: u64 = 3_000;

/// Jobs whose task counts a heartbeat carries at most; bounds the message size.
pub const MAX_HEARTBEAT_TASK_COUNTS: usize = 1_000;

/// Initial backoff before a failed task is retried, ms. Doubled with each failure.
pub const TASK_RETRY_BACKOFF_MS: u64 = 1_000;

/// Upper bound of that backoff, ms.
pub const MAX_TASK_RETRY_BACKOFF_MS: u64 = 30_000;

/// Delay before a job's dirty chunk is written, ms. By then its bindings are in the binding log, and workers keep
/// reporting completed tasks until they are committed, so that one write can cover many bindings and completions.
pub const COMPACTION_DELAY_MS: u64 = 2_500;

/// Chunk writes that may wait for the store's write rate. A queued write contains what was known when it was
/// queued, while a chunk still in memory accumulates further changes.
pub const MAX_QUEUED_COMPACTIONS: usize = 2;

/// Minimum time between two writes of the binding log, ms. A few writes per second leave most of a limit of 20 to
/// 30 per second to chunks and final records.
pub const MIN_BINDING_LOG_INTERVAL_MS: u64 = 200;

/// Pause after a write of the binding log, as a multiple of the time that its segments take at the leader's write
/// rate.
pub const BINDING_LOG_PAUSE_FACTOR: f64 = 2.0;

/// The same factor while writes for users and final records are waiting.
pub const BINDING_LOG_BUSY_PAUSE_FACTOR: f64 = 4.0;

/// Chunks of a job in one transaction at most. More would use a second's write rate in one burst.
pub const MAX_COMPACTIONS_PER_TRANSACTION: usize = 4;

/// Final records queued for the store at most. Those not queued yet can still be chosen by priority instead of in
/// order of arrival.
pub const MAX_QUEUED_FINAL_RECORDS: usize = 8;

/// Largest log segment, bytes, where the store allows larger values. A segment is always written whole, so its size
/// determines the CPU cost of a write.
pub const MAX_SEGMENT_BYTES: usize = 8 * 1024;

/// Bytes of a binding log transaction that are reserved for preconditions on jobs, at least.
pub const MIN_LOG_PRECONDITION_BYTES: usize = 4 * 1024;

/// JSON size of a precondition without its key, bytes, at most: field names, punctuation and a revision of 20 digits.
pub const PRECONDITION_OVERHEAD_BYTES: usize = 44;

/// Bindings in all log segments at most; bounds memory. Further bindings wait until chunks have compacted some.
pub const MAX_LOGGED_BINDINGS: usize = 4_000;

/// Bindings that may stay in the log until their tasks end; beyond that the oldest are compacted into chunks. About
/// seven segments, which a new leader reads at once.
pub const BINDING_LOG_COMPACTION_THRESHOLD: usize = 1_200;

/// Bindings in the log beyond which work of the lowest priority is not bound. Ended tasks that wait for their
/// commit count as well, and the tasks of an array of short tasks end faster than that can be committed.
pub const MAX_LOGGED_BINDINGS_LOW_PRIORITY: usize = 3_000;

/// Logged bindings of one chunk from which on the chunk takes them over from the log.
pub const MIN_COMPACTION_BINDINGS: usize = 12;

/// Uncommitted exits of a job from which on its chunks are written at the priority of users' requests.
pub const URGENT_COMPACTION_EXITS: usize = 32;

/// Final records moved to `end/` in one transaction at most. Few, since each uses write rate that a burst of user
/// requests may need next.
pub const MAX_ARCHIVE_BATCH: usize = 2;

/// Finished jobs from which on archiving no longer waits for idle moments, since a new leader has to read them.
pub const ARCHIVE_BACKLOG_THRESHOLD: usize = 1_000;

/// Minimum interval between reads of job changes for polls, ms: at most five reads/s by each controller. It delays
/// a poll by half of it on average, a small part of the 2 s that a user allows.
pub const JOB_CACHE_READ_INTERVAL_MS: u64 = 200;

/// The same interval while no request waits, ms. It keeps the number of changes small for the next request.
pub const JOB_CACHE_IDLE_READ_INTERVAL_MS: u64 = 4_000;

/// Time without such a read after which the jobs are listed anew, ms. The store retains 10,000 changes and would
/// return all of them in one response.
pub const JOB_CACHE_RELIST_AFTER_MS: u64 = 30_000;

/// Delay before the jobs are listed again after there were more than the cache holds, ms. Each attempt costs as
/// many requests as it takes to find that out.
pub const JOB_CACHE_OVERFLOW_RETRY_MS: u64 = 30_000;

/// Latest waiting polls that are searched for one that yields its place to a retried poll; bounds CPU time.
pub const POLL_DISPLACEMENT_WINDOW: usize = 100;

/// Log segments that a new leader reads at most.
pub const MAX_SEGMENTS: usize = 1_000;

/// `Retry-After` of a 503 response, s.
pub const RETRY_AFTER_S: u32 = 1;
