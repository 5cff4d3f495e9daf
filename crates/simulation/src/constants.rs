//! Every constant of the stand-ins, with its unit and the reason for its value.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Changes that the state service keeps for watches (protocol).
pub const MAX_WATCH_HISTORY: usize = 10_000;
/// Most keys in a page of the state service (protocol).
pub const MAX_PAGE_KEYS: usize = 1_000;
/// Largest page of the state service, bytes (protocol).
pub const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Largest transaction, bytes (protocol).
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Longest key, bytes (protocol).
pub const MAX_KEY_BYTES: usize = 200;
/// Shortest and longest lease, ms (protocol).
pub const LEASE_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;
/// Most machines in one rental (protocol).
pub const MAX_PROVISION_MACHINES: u32 = 50;
/// Most machines in one return, and in a page of the list (protocol).
pub const MAX_RELEASE_MACHINES: usize = 100;
/// Machines in a page of the list at most (protocol).
pub const MAX_MACHINE_PAGE: usize = 500;
/// Time that a machine which died keeps being listed as running, ms (protocol).
pub const DEAD_MACHINE_LISTED_MS: u64 = 30_000;
/// Least time that a rented machine costs, s (protocol).
pub const MIN_BILLED_S: f64 = 60.0;
/// Spread of boot times: sigma of the logarithm, by which most lie in 0.6 to 1.5 times `boot_s`.
pub const BOOT_TIME_SIGMA: f64 = 0.22;
/// Share of machines that take several times as long, and of those that never come up.
pub const SLOW_BOOT_SHARE: f64 = 0.02;
/// See `BOOT_SLOW`.
pub const FAILED_BOOT_SHARE: f64 = 0.005;
/// Spread of true run times around the owner's estimate: sigma of the logarithm ("often wrong by
/// half").
pub const RUNTIME_SIGMA: f64 = 0.3;
/// Speeds of machines of one type differ by as much either way (protocol: up to a tenth in all).
pub const SPEED_SPREAD: f64 = 0.05;
/// Fetch rates of machines of one type differ by as much either way (protocol: a third).
pub const FETCH_SPREAD: f64 = 0.3;
/// Spot prices move by up to that share around the nominal price (protocol: a third).
pub const PRICE_SPREAD: f64 = 0.3;
/// Time between two prices, ms.
pub const PRICE_INTERVAL_MS: u64 = 30_000;
/// Least time between two reports of a worker, ms (protocol).
pub const MIN_REPORT_INTERVAL_MS: u64 = 500;
/// Time that a worker waits for an answer, ms (protocol).
pub const WORKER_ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Pause of a worker before it tries the next node, ms (protocol).
pub const CONTROLLER_FAILOVER_DELAY_MS: u64 = 1_000;
/// Longest time that a watch waits, ms (protocol).
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
