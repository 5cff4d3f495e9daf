//! Calls to the state service, the cloud and other controllers: timeouts, rates and sizes.

/// Timer interval of a controller, ms. Work between ticks is event-driven.
pub const TICK_INTERVAL_MS: u64 = 100;

/// Timeout of one call to the state service, ms. Normal latency is a few hundred ms.
pub const STORE_TIMEOUT_MS: u64 = 1_500;

/// Time after which a user's request that waits for the store is answered with 503, ms. Below the 2 s that users
/// allow for a poll.
pub const USER_STORE_TIMEOUT_MS: u64 = 1_200;

/// Time for which the store holds a watch open, ms. Long, since each opened watch counts against the request rate.
pub const WATCH_BLOCK_MS: u64 = 10_000;

/// Client-side timeout of a watch, ms: the blocking time plus latency.
pub const WATCH_TIMEOUT_MS: u64 = WATCH_BLOCK_MS + 2_500;

/// Initial backoff after the store refused a call or did not respond, ms.
pub const STORE_INITIAL_BACKOFF_MS: u64 = 200;

/// Upper bound of that backoff, ms.
pub const STORE_MAX_BACKOFF_MS: u64 = 1_500;

/// Concurrent store calls at most; bounds sockets and memory.
pub const MAX_STORE_CALLS_IN_FLIGHT: usize = 24;

/// Share of the store's rate limits that all controllers together use. The rest absorbs bursts and clock drift.
pub const STORE_RATE_SHARE: f64 = 0.9;

/// Share of [`STORE_RATE_SHARE`] for the leader; the followers divide the rest.
pub const LEADER_STORE_RATE_SHARE: f64 = 0.6;

/// Timeout of one call to the cloud, ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// Share of the cloud's rate limit that the leader uses.
pub const CLOUD_RATE_SHARE: f64 = 0.8;

/// Backoff after a failed cloud call, ms.
pub const CLOUD_BACKOFF_MS: u64 = 1_500;

/// Interval between reads of the machine list, ms. The list itself lags by as much, and reading its pages uses a
/// large part of a limit of 2 calls/s.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 10_000;

/// Interval between reads of the machine types, ms. Spot prices change slowly.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;

/// Machines requested in one page of the machine list; the protocol allows at most 500.
pub const MACHINE_LIST_PAGE_SIZE: u32 = 500;

/// Machines in one provisioning request at most, as the protocol allows.
pub const MAX_PROVISION_BATCH: u32 = 50;

/// Machines in one termination request at most, as the protocol allows.
pub const MAX_TERMINATION_BATCH: usize = 100;

/// Largest transaction, bytes: the protocol's 64 KiB less space for the envelope.
pub const MAX_TRANSACTION_BYTES: usize = 60 * 1024;

/// Keys requested in one page of a listing.
pub const KEY_LIST_PAGE_SIZE: u32 = 200;

/// Timeout of a forwarded status report, ms. Below the 4 s that a worker waits for its response.
pub const FORWARD_TIMEOUT_MS: u64 = 2_500;

/// Status reports in one forwarding message at most.
pub const MAX_FORWARD_BATCH: usize = 64;

/// Largest forwarding message by estimated size, bytes. Below the limit for a request body.
pub const MAX_FORWARD_BATCH_BYTES: usize = 40 * 1024;

/// Estimated size of a forwarded status report without its tasks, bytes.
pub const REPORT_BYTES: usize = 250;

/// Bytes of a status report that are reserved for everything but its tasks: the machine's name, address, type and zone,
/// and numbers.
pub const REPORT_ENVELOPE_BYTES: usize = 2 * 1024;

/// Size of one task in a status report without its name, bytes, at most: an exited attempt with the longest cause, an
/// attempt number of 20 digits and a saved checkpoint.
pub const MAX_TASK_STATUS_BYTES: usize = 98;

/// Bytes of a message to a worker that are reserved for everything but its commands.
pub const COMMANDS_ENVELOPE_BYTES: usize = 256;

/// Size of one command without the task's name, bytes, at most.
pub const COMMAND_OVERHEAD_BYTES: usize = 96;

/// Share of the processor time of a tick that the stopping of attempts may use. The next tick continues.
pub const STOP_CPU_SHARE: f64 = 0.4;

/// CPU cost of stopping one attempt by a command or by its release, us of a whole core.
pub const STOP_COST_US: f64 = 1.0;

/// Memory of a command until it is sent, bytes, including its encoded form.
pub const COMMAND_MEMORY_BYTES: usize = 320;

/// Estimated size of one task in a status report, bytes.
pub const TASK_STATUS_BYTES: usize = 90;

/// Time for which reports are batched before they are forwarded, ms, while workers are distributed over the
/// controllers. One tick; a worker waits up to 4 s for its response.
pub const FORWARD_BATCH_WINDOW_MS: u64 = 100;

/// Concurrent forwarding messages at most.
pub const MAX_FORWARDS_IN_FLIGHT: usize = 4;

/// Estimated size of the summary entry for a machine whose unchanged reports the controller answered itself, bytes.
pub const UNCHANGED_MACHINE_BYTES: usize = 40;

/// Interval between two summaries of those machines, ms. Small against the third of a lease after which a silent
/// machine gets no new work.
pub const UNCHANGED_SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Machines at most that one message names as having new commands, so that their next report is forwarded to the
/// leader.
pub const MAX_MACHINES_WITH_COMMANDS: usize = 500;

/// Share of a controller's memory that workers' connections may use before workers are distributed over the
/// controllers.
pub const DISTRIBUTION_MEMORY_SHARE: f64 = 0.25;

/// CPU load of the leader from its machines above which workers are distributed, as a share of its CPU limit.
pub const DISTRIBUTION_CPU_LOAD: f64 = 0.35;

/// Minimum difference between the leader's CPU load and a peer's for a worker to be redirected to that peer.
pub const REDIRECT_LOAD_MARGIN: f64 = 0.12;

/// Divisor of the fair worker count: the leader redirects a worker only if its own count exceeds the fair count and
/// the peer's by more than this part plus one.
pub const REDIRECT_COUNT_MARGIN_DIVISOR: usize = 10;

/// Minimum time between two redirections of the same worker by the leader, ms.
pub const REDIRECT_COOLDOWN_MS: u64 = 60_000;

/// A worker that returns within this time of being redirected to the leader could not reach it, ms. Covers the
/// worker's timeout of 4 s and its retry delays of 1 s.
pub const REDIRECT_FAILURE_WINDOW_MS: u64 = 12_000;

/// Time for which the reports of such a worker are forwarded before it is redirected again, ms.
pub const FORWARDING_DURATION_MS: u64 = 30_000;

/// Workers whose redirections and forwarded reports are remembered at most; bounds memory.
pub const MAX_FORWARDING_HISTORY: usize = 4_000;

/// Concurrent cloud calls at most; bounds sockets.
pub const MAX_CLOUD_CALLS_IN_FLIGHT: usize = 8;

/// Compare-and-swap conflicts after which a cancellation is answered with 503.
pub const MAX_CANCEL_CONFLICTS: u32 = 5;

/// Interval between reads of durable quota accounts, ms. Settings change seldom, and each read is a request.
pub const QUOTA_READ_INTERVAL_MS: u64 = 5_000;

/// Delay before a failed read of the quota accounts is retried, ms.
pub const QUOTA_RETRY_MS: u64 = 500;

/// Delay before a failed read or watch of the replicated records is retried, ms.
pub const RECORDS_RETRY_MS: u64 = 3_000;

/// Interval between updates of the deadline plan, ms. Deadlines are minutes to hours away, and each update visits
/// all jobs.
pub const DEADLINE_PLAN_INTERVAL_MS: u64 = 2_000;

/// Time for which an operator's request waits for its record to be committed, ms. Records get a tenth of the write
/// rate.
pub const RECORD_WRITE_TIMEOUT_MS: u64 = 8_000;

/// Interval between two `status` events in the leader's log, ms.
pub const STATUS_LOG_INTERVAL_MS: u64 = 10_000;
