//! Every constant of this package, with its unit and the reason for it.

/// Units into which one CPU or GPU is divided. Tasks request decimal numbers such as 0.05; a billionth keeps the sum
/// of 100,000 tasks (protocol) exact to a ten-thousandth, and 9 billion CPUs fit.
pub const UNITS_PER_RESOURCE: f64 = 1e9;
/// Tolerance when a decimal number becomes units, in units: the binary error of a number such as 0.1 is far smaller,
/// and a real difference far larger.
pub const ROUNDING_TOLERANCE: f64 = 1e-2;
/// Share of a running task's work assumed to be left, as claims do not say when each task began.
pub const RUNNING_TASK_REMAINING_SHARE: f64 = 0.5;
/// Longest time counted for one job, ms: some 30 years, so that sums of many do not overflow.
pub const MAX_JOB_TIME_MS: f64 = 1e12;
/// Factor by which work is assumed to take longer than its mean run time: starts wait for reports and images.
pub const BUSY_TIME_FACTOR: f64 = 1.1;
/// Task run times added for the last task of a job, which runs longer than the mean.
pub const TAIL_TASK_FACTOR: f64 = 1.0;
/// Age at which a waiting job is served before jobs that could meet their deadline, ms: even the largest are to begin
/// within four minutes, half of that is the aim, and starting takes an image fetch.
pub const AGING_THRESHOLD_MS: f64 = 90_000.0;
/// Part of a class's share that goes to such jobs, the oldest first; the rest goes to jobs that can still be in time.
pub const AGED_JOBS_SHARE: f64 = 0.25;
/// CPUs or GPUs that stand for "no limit" in quota records: more than any cluster has, and few enough that sums of
/// them do not overflow.
pub const UNLIMITED_QUANTITY: f64 = 1e8;

// ---- rate loans ----------------------------------------------------------------------------------

/// Duration of a rate loan, ms: long against a message between controllers, short against the time for which load stays
/// at one of them.
pub const RATE_LOAN_MS: u64 = 4_000;
/// The lender waits longer by the duration divided by this: monotonic clocks differ by at most 0.05% (protocol).
pub const RATE_LOAN_CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Time between two requests to the same controller, ms: the next loan arrives before the last one ends.
pub const RATE_LOAN_REQUEST_INTERVAL_MS: u64 = 1_500;
/// Share of its base that a controller lends at most: users' requests may reach it at any moment.
pub const MAX_LENT_SHARE: f64 = 0.75;
/// Share of the base below which a loan is not worth its messages.
pub const MIN_RATE_LOAN_SHARE: f64 = 0.05;
/// Multiple of the rate in use that is kept, to leave room for growth.
pub const RATE_HEADROOM_FACTOR: f64 = 1.25;

// ---- planner -------------------------------------------------------------------------------------

/// A limit divided by this is the smallest amount worth a transaction, unless less is all that is wanted.
pub const MIN_TRANSFER_DIVISOR: i64 = 100;
/// Time for which quota is unused before it goes back to the pool, ms: work that ends is usually followed by more.
pub const UNUSED_RETURN_DELAY_MS: u64 = 2_000;
/// Time between two transfer requests for the same team to the same partition, ms.
pub const TRANSFER_REQUEST_INTERVAL_MS: u64 = 500;
/// Time for which a transfer request is valid, ms: it is repeated while the need lasts.
pub const TRANSFER_REQUEST_TTL_MS: u64 = 2_000;
/// Time for which received quota is not given away again, except to production, ms: it must not go back and forth.
pub const RECEIVED_QUOTA_HOLD_MS: u64 = 3_000;
/// Time between two usage reports to the other partitions, ms.
pub const USAGE_BROADCAST_INTERVAL_MS: u64 = 1_000;
/// Time after which a usage report of another partition is no longer believed, ms.
pub const PEER_USAGE_TTL_MS: u64 = 5_000;
/// What a partition holds of a team divided by this is the smallest difference that is evened out between two
/// partitions that both lack quota.
pub const REBALANCE_DIVISOR: i64 = 6;
/// Time after which work is stopped again for a lowered limit, ms: what was stopped is proved gone by then.
pub const LIMIT_STOP_INTERVAL_MS: u64 = 3_000;
/// Time within which revoked work should be proved gone, ms: enough for the stops and the reports of reachable
/// machines. After it another partition may be asked.
pub const REVOCATION_TIMEOUT_MS: u64 = 6_000;
/// Time for which freed room is not filled with the same team's work again, ms: the work that needed it is placed.
pub const REVOCATION_HOLD_MS: u64 = 5_000;
