//! Constants of the quota crate.

/// Units per CPU or GPU. Tasks request decimal numbers such as 0.05; with billionths the sum over 100,000 tasks (the
/// protocol's maximum) is exact to a ten-thousandth, and 9 billion CPUs fit in an `i64`.
pub const UNITS_PER_RESOURCE: f64 = 1e9;
/// Tolerance of the conversion from a decimal number, in units: far above the floating-point error of a number such as
/// 0.1, and far below any real difference.
pub const ROUNDING_TOLERANCE: f64 = 1e-2;
/// Share of a running task's work assumed to remain, since claims do not contain the tasks' start times.
pub const RUNNING_TASK_REMAINING_SHARE: f64 = 0.5;
/// Maximum estimated run time of one job, ms (about 30 years), so that sums over many jobs do not overflow.
pub const MAX_JOB_TIME_MS: f64 = 1e12;
/// Factor applied to the estimated time for a sequence of jobs: task starts are delayed by worker reports and image
/// fetches.
pub const BUSY_TIME_FACTOR: f64 = 1.1;
/// Mean task run times added to a job's estimated end, since its last task runs longer than the mean.
pub const TAIL_TASK_FACTOR: f64 = 1.0;
/// Age from which a waiting job is served before jobs that can still meet their deadline, ms. Even the largest jobs
/// must start within four minutes, the aim is half of that, and a start includes an image fetch.
pub const AGING_THRESHOLD_MS: f64 = 90_000.0;
/// Fraction of a class's share that is reserved for jobs older than [`AGING_THRESHOLD_MS`], oldest first.
pub const AGED_JOBS_SHARE: f64 = 0.25;
/// Number of CPUs or GPUs that represents "no limit" in quota records: more than any cluster has, and small enough that
/// sums of it do not overflow.
pub const UNLIMITED_QUANTITY: f64 = 1e8;

// ---- rate loans ----------------------------------------------------------------------------------

/// Duration of a rate loan, ms: long compared with the latency of a message between controllers, short compared with
/// the time for which load stays on one of them.
pub const RATE_LOAN_DURATION_MS: u64 = 4_000;
/// The lender reclaims a loan late by its duration divided by this number: the protocol bounds the drift between
/// monotonic clocks to 0.05%.
pub const RATE_LOAN_CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Minimum time between two loan requests to the same controller, ms: short enough that the next loan arrives before
/// the previous one expires.
pub const RATE_LOAN_REQUEST_INTERVAL_MS: u64 = 1_500;
/// Maximum share of its base rate that a controller lends: user requests may arrive at it at any time.
pub const MAX_LENT_SHARE: f64 = 0.75;
/// Share of the base rate below which a loan is not worth its messages.
pub const MIN_RATE_LOAN_SHARE: f64 = 0.05;
/// Multiple of the rate in use that a controller keeps or requests, as headroom for growth.
pub const RATE_HEADROOM_FACTOR: f64 = 1.25;

// ---- planner -------------------------------------------------------------------------------------

/// The smallest transfer is a team's limit divided by this number, unless less than that was requested.
pub const MIN_TRANSFER_DIVISOR: i64 = 100;
/// Time for which quota must be unused before it is returned to the pool, ms: more work usually follows work that ends.
pub const UNUSED_RETURN_DELAY_MS: u64 = 2_000;
/// Minimum time between two transfer requests for the same team to the same partition, ms.
pub const TRANSFER_REQUEST_INTERVAL_MS: u64 = 500;
/// Validity of a transfer request, ms. The requester repeats it while quota is missing.
pub const TRANSFER_REQUEST_TTL_MS: u64 = 2_000;
/// Time for which received quota is transferred again to production work only, ms, so that quota does not oscillate
/// between partitions.
pub const RECEIVED_QUOTA_HOLD_MS: u64 = 3_000;
/// Interval of the usage reports to the other partitions, ms.
pub const USAGE_BROADCAST_INTERVAL_MS: u64 = 1_000;
/// Time after which a usage report of another partition expires, ms.
pub const PEER_USAGE_TTL_MS: u64 = 5_000;
/// Between two partitions that both lack quota, an amount is moved only if it is at least the giver's holding divided
/// by this number.
pub const REBALANCE_DIVISOR: i64 = 6;
/// Minimum time between two rounds of stopping a team's work for a lowered limit, ms: tasks stopped in one round should
/// be confirmed terminated before the next.
pub const LIMIT_STOP_INTERVAL_MS: u64 = 3_000;
/// Time within which revoked work should be confirmed terminated, ms: enough for reachable machines to stop tasks and
/// report it. After it the team's quota may be revoked elsewhere.
pub const REVOCATION_TIMEOUT_MS: u64 = 6_000;
/// Time for which the same team may not reuse freed capacity, ms, so that the work that needed it can be placed.
pub const REVOCATION_HOLD_MS: u64 = 5_000;
