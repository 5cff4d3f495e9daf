//! Calls to the state service, the cloud and other controllers: timeouts, rates, sizes.

/// Timer interval of a controller, ms. Work between ticks is driven by events.
pub const TICK_INTERVAL_MS: u64 = 100;

/// Timeout of one call to the state service, ms: a few hundred ms are normal.
pub const STORE_TIMEOUT_MS: u64 = 1_500;

/// Time after which a user's request that waits for the store is answered with 503, ms: below the 2 s that users
/// give a poll.
pub const USER_STORE_TIMEOUT_MS: u64 = 1_200;

/// Time for which the store holds a watch open, ms. Long, since each watch that is opened counts as a request.
pub const WATCH_BLOCK_MS: u64 = 10_000;

/// Timeout of a watch, ms: the blocking time and some latency.
pub const WATCH_TIMEOUT_MS: u64 = WATCH_BLOCK_MS + 2_500;

/// First backoff after the store refused a call or did not respond, ms.
pub const STORE_INITIAL_BACKOFF_MS: u64 = 200;

/// Longest backoff after the store refused a call or did not respond, ms.
pub const STORE_MAX_BACKOFF_MS: u64 = 1_500;

/// Store calls in flight at once (sockets, memory).
pub const MAX_STORE_CALLS_IN_FLIGHT: usize = 24;

/// Share of the platform's store rates that all controllers together use: the rest absorbs bursts and clock drift.
pub const STORE_RATE_SHARE: f64 = 0.9;

/// Share of [`STORE_RATE_SHARE`] for the leader; the followers divide the rest.
pub const LEADER_STORE_RATE_SHARE: f64 = 0.6;

/// Timeout of one call to the cloud, ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// Share of the platform's cloud rate that the leader uses.
pub const CLOUD_RATE_SHARE: f64 = 0.8;

/// Backoff after a cloud error, ms.
pub const CLOUD_BACKOFF_MS: u64 = 1_500;

/// Time between reads of the machine list, ms: the list lags by as much, and its pages take a good part of 2 calls
/// a second.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 10_000;

/// Time between reads of the machine types, ms: spot prices move slowly.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;

/// Machines asked for in one page of the machine list (protocol: 500 at most).
pub const MACHINE_LIST_PAGE_SIZE: u32 = 500;

/// Machines in one provisioning request at most (protocol).
pub const MAX_PROVISION_BATCH: u32 = 50;

/// Machines in one termination request at most (protocol).
pub const MAX_TERMINATION_BATCH: usize = 100;

/// Largest transaction, bytes (protocol: 64 KiB), less room for its envelope.
pub const MAX_TRANSACTION_BYTES: usize = 60 * 1024;

/// Keys asked for in one page of a listing.
pub const KEY_LIST_PAGE_SIZE: u32 = 200;

/// Timeout of a forwarded status report, ms: below the 4 s that a worker waits.
pub const FORWARD_TIMEOUT_MS: u64 = 2_500;

/// Status reports forwarded in one message at most.
pub const MAX_FORWARD_BATCH: usize = 64;

/// Largest forwarding message, bytes, by estimate: below the limit of a body.
pub const MAX_FORWARD_BATCH_BYTES: usize = 40 * 1024;

/// Estimated size of a status report in it without its tasks, bytes.
pub const REPORT_BYTES: usize = 250;

/// Estimated size of one task in a status report, bytes.
pub const TASK_STATUS_BYTES: usize = 90;

/// Time for which reports are gathered before they are forwarded, ms, where workers are distributed: one tick, a
/// small part of the 4 s that a worker waits.
pub const FORWARD_BATCH_WINDOW_MS: u64 = 100;

/// Forwarding messages in flight at once.
pub const MAX_FORWARDS_IN_FLIGHT: usize = 4;

/// Estimated size of one entry for a machine whose unchanged reports were answered by delegation, bytes.
pub const UNCHANGED_MACHINE_BYTES: usize = 40;

/// Time between two summaries of those machines, ms: a small part of the third of a lease after which a silent
/// machine gets no new work.
pub const UNCHANGED_SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Machines named at once whose next report must reach the leader.
pub const MAX_MACHINES_WITH_COMMANDS: usize = 500;

/// Share of a controller's memory that workers' connections may take before workers are distributed.
pub const DISTRIBUTION_MEMORY_SHARE: f64 = 0.25;

/// Share of its processor that workers may cost the leader before they are distributed.
pub const DISTRIBUTION_CPU_LOAD: f64 = 0.35;

/// Share of the processor by which the leader must be busier than a peer before it redirects workers there.
pub const REDIRECT_LOAD_MARGIN: f64 = 0.12;

/// Divisor of a peer's worker count: the leader must be above it by this part, and one, before it redirects a
/// worker.
pub const REDIRECT_COUNT_MARGIN_DIVISOR: usize = 10;

/// Time within which the leader does not redirect the same worker again, ms.
pub const REDIRECT_COOLDOWN_MS: u64 = 60_000;

/// A worker that returns within this time of being redirected to the leader could not reach it, ms: the worker's
/// timeout of 4 s and its pauses of 1 s fit in it.
pub const REDIRECT_FAILURE_WINDOW_MS: u64 = 12_000;

/// Time for which such a worker's reports are then forwarded, ms, before it is redirected again.
pub const FORWARDING_DURATION_MS: u64 = 30_000;

/// Workers whose redirections are remembered (memory).
pub const MAX_FORWARDING_HISTORY: usize = 4_000;

/// Cloud calls in flight at once (sockets).
pub const MAX_CLOUD_CALLS_IN_FLIGHT: usize = 8;

/// Compare-and-swap conflicts after which a cancellation is answered with 503.
pub const MAX_CANCEL_CONFLICTS: u32 = 5;

/// Time between reads of the quota accounts, where they are durable, ms: settings change seldom, and a read is one
/// request.
pub const QUOTA_READ_INTERVAL_MS: u64 = 5_000;

/// Time after which a failed read of the quota accounts is retried, ms.
pub const QUOTA_RETRY_MS: u64 = 500;

/// Time after which a failed read or watch of the replicated records is retried, ms.
pub const RECORDS_RETRY_MS: u64 = 3_000;

/// Time between updates of the deadline plan, ms: deadlines are minutes and hours away, and each update looks at
/// all jobs.
pub const DEADLINE_PLAN_INTERVAL_MS: u64 = 2_000;

/// Time for which an operator's request waits for its record to be committed, ms: records get a tenth of the writes
/// a second.
pub const RECORD_WRITE_TIMEOUT_MS: u64 = 8_000;

/// Time between two `status` events in the leader's log, ms.
pub const STATUS_LOG_INTERVAL_MS: u64 = 10_000;
