//! Every constant of this package, with its unit and the reason for it.

/// Parts of one CPU or accelerator that amounts tell apart. Tasks take decimal numbers such as 0.05; a
/// billionth keeps the sum of 100,000 tasks (protocol) exact to a ten-thousandth, and 9 billion CPUs fit.
pub const UNITS_PER_RESOURCE: f64 = 1e9;
/// Slack when a decimal number becomes parts, in parts: what binary numbers lose on 0.1 is far less, and
/// a real difference far more.
pub const ROUNDING_TOLERANCE: f64 = 1e-2;
/// Share of a running task's work taken to be left: it began at a time not known beforehand.
pub const RUNNING_TASK_REMAINING_SHARE: f64 = 0.5;
/// Longest time counted for one job, ms: some 30 years, so that sums of many stay whole numbers.
pub const MAX_JOB_TIME_MS: f64 = 1e12;
/// What is taken to be busy for longer than its mean run time says: starts wait for reports and images.
pub const BUSY_TIME_FACTOR: f64 = 1.1;
/// Part of a task's run time added for the last of a job, which runs longer than the mean.
pub const TAIL_TASK_FACTOR: f64 = 1.0;
/// Age from which on a job that waits comes before what could be done in time, ms: the largest too are to begin
/// within four minutes, half of that is the aim, and starting takes a fetch.
pub const AGING_THRESHOLD_MS: f64 = 90_000.0;
/// Part of its class's part that such jobs have, the oldest first: the rest goes to what can still be in time.
pub const AGED_JOBS_SHARE: f64 = 0.25;
/// CPUs or accelerators that stand for "no limit" where amounts move: more than any cluster has, and few
/// enough that sums of them stay whole numbers.
pub const UNLIMITED_QUANTITY: f64 = 1e8;

// ---- rates ---------------------------------------------------------------------------------------

/// Time of a loan, ms: long against a message between controllers, short against the time for which load
/// stays where it is.
pub const RATE_LOAN_MS: u64 = 4_000;
/// Part of that for which the lender waits longer: steady clocks differ by at most 0.05% (protocol).
pub const RATE_LOAN_CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Time between two questions to the same controller, ms: the next loan is there before the last is over.
pub const RATE_LOAN_REQUEST_INTERVAL_MS: u64 = 1_500;
/// Part of its base that a controller lends at most: users' requests may come to it at any moment.
pub const MAX_LENT_SHARE: f64 = 0.75;
/// Part of the base below which a loan is not worth its messages.
pub const MIN_RATE_LOAN_SHARE: f64 = 0.05;
/// What is kept for a rate that is used, in times of it.
pub const RATE_HEADROOM_FACTOR: f64 = 1.25;

// ---- who gets how much ---------------------------------------------------------------------------

/// Parts of a limit: less than one is not worth a transaction, unless it is all that is wanted.
pub const MIN_TRANSFER_DIVISOR: i64 = 100;
/// Time for which an amount is unused before it goes back to the pool, ms: work that ends is followed by more.
pub const UNUSED_RETURN_DELAY_MS: u64 = 2_000;
/// Time between two questions for the same team to the same decider, ms.
pub const TRANSFER_REQUEST_INTERVAL_MS: u64 = 500;
/// Time for which a question holds, ms: it is asked again while the need lasts.
pub const TRANSFER_REQUEST_TTL_MS: u64 = 2_000;
/// Time for which what was got is not given away again, but to production, ms: no ping-pong.
pub const RECEIVED_QUOTA_HOLD_MS: u64 = 3_000;
/// Time between two tellings of what is had and needed, ms.
pub const USAGE_BROADCAST_INTERVAL_MS: u64 = 1_000;
/// Time after which what another told says nothing any more, ms.
pub const PEER_USAGE_TTL_MS: u64 = 5_000;
/// Part of what a decider has of a team by which another must be worse off before the two are evened out.
pub const REBALANCE_DIVISOR: i64 = 6;
/// Time after which work is stopped again for a lowered limit, ms: what was stopped is proved gone by then.
pub const LIMIT_STOP_INTERVAL_MS: u64 = 3_000;
/// Time within which borrowed work that is recalled should be proved gone, ms: stops and reports of machines
/// that are heard; then another is asked.
pub const REVOCATION_TIMEOUT_MS: u64 = 6_000;
/// Time for which the room is not filled again with the same team's work, ms: what it was recalled for comes.
pub const REVOCATION_HOLD_MS: u64 = 5_000;
