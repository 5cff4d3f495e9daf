//! The constants of the fakes. "Protocol" marks a value that the published protocol prescribes.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Most changes that the state service keeps for watches (protocol).
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
/// Most machines in one provisioning request (protocol).
pub const MAX_PROVISION_MACHINES: u32 = 50;
/// Most machines in one return request (protocol).
pub const MAX_RELEASE_MACHINES: usize = 100;
/// Most machines in a page of the machine list (protocol).
pub const MAX_MACHINE_PAGE: usize = 500;
/// Time that a failed machine is still listed as running, ms (protocol).
pub const DEAD_MACHINE_LISTED_MS: u64 = 30_000;
/// Shortest time that a machine is billed for, s (protocol).
pub const MIN_BILLED_S: f64 = 60.0;
/// Sigma of the log-normal distribution of boot times: most lie between 0.6 and 1.5 times `boot_s`.
pub const BOOT_TIME_SIGMA: f64 = 0.22;
/// Share of machines that take several times as long to boot.
pub const SLOW_BOOT_SHARE: f64 = 0.02;
/// Share of machines that never finish booting.
pub const FAILED_BOOT_SHARE: f64 = 0.005;
/// Sigma of the log-normal distribution of actual run times around the estimate. Estimates are often wrong by half.
pub const RUNTIME_SIGMA: f64 = 0.3;
/// Largest deviation of a machine's speed from that of its type, as a share (protocol: a tenth between machines).
pub const SPEED_SPREAD: f64 = 0.05;
/// Largest deviation of a machine's image fetch rate from that of its type, as a share (protocol: a third).
pub const FETCH_RATE_SPREAD: f64 = 0.3;
/// Largest deviation of a spot price from the nominal price, as a share (protocol: a third).
pub const PRICE_SPREAD: f64 = 0.3;
/// Time between changes of the spot prices, ms.
pub const PRICE_INTERVAL_MS: u64 = 30_000;
/// Shortest time between two status reports of a worker, ms (protocol).
pub const MIN_REPORT_INTERVAL_MS: u64 = 500;
/// Time that a worker waits for the response to a report, ms (protocol).
pub const WORKER_ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Delay before a worker reports to the next controller, ms (protocol).
pub const CONTROLLER_FAILOVER_DELAY_MS: u64 = 1_000;
/// Longest time that a watch request waits for changes, ms (protocol).
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
