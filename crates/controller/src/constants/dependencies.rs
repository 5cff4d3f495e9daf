//! Jobs with DAG dependencies, and the record format that holds them.

/// Record format that this version reads and writes: 1 knows jobs with dependencies.
pub const FORMAT_VERSION: u32 = 1;

/// Time between recomputations of effective deadlines along dependencies, ms (processor).
pub const DEPENDENCY_DEADLINE_INTERVAL_MS: u64 = 1_000;

/// Time from the end of a job's last task to the start of a dependent job's tasks, ms: a report, two commits, a
/// cycle, a report.
pub const DEPENDENT_START_DELAY_MS: f64 = 2_500.0;

/// Dependencies whose outcome a leader reads from the store at once: a new leader may have to read those of some
/// dozen job graphs.
pub const MAX_UNKNOWN_DEPENDENCY_READS: usize = 40;

/// Time after which an outcome that could not be read is read again, ms.
pub const UNKNOWN_DEPENDENCY_RETRY_MS: u64 = 2_000;

/// Time before a dependent job may begin from which on machines are provisioned for it, ms: a usual boot.
pub const UPCOMING_TASKS_HORIZON_MS: f64 = 30_000.0;

/// Dependency look-ups for users' requests under way at most (memory).
pub const MAX_DEPENDENCY_LOOKUPS: usize = 2_000;
