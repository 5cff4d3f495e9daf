//! Jobs with DAG dependencies, and the record format that stores them.

/// Record format that added jobs with dependencies.
pub const DEPENDENCIES_FORMAT: u32 = 1;

/// Record format that added runs of bindings to binding chunks.
pub const BINDING_RUNS_FORMAT: u32 = 2;

/// The newest record format that this version reads and writes.
pub const FORMAT_VERSION: u32 = BINDING_RUNS_FORMAT;

/// Interval between recomputations of effective deadlines along dependencies, ms; bounds their CPU cost.
pub const DEPENDENCY_DEADLINE_INTERVAL_MS: u64 = 1_000;

/// Time from the end of a job's last task to the start of a dependent job's tasks, ms: two reports, two commits and
/// a scheduling cycle.
pub const DEPENDENT_START_DELAY_MS: f64 = 2_500.0;

/// Dependencies whose outcome a leader reads from the store concurrently. A new leader may have to read those of
/// several dozen job graphs.
pub const MAX_UNKNOWN_DEPENDENCY_READS: usize = 40;

/// Delay before an outcome that could not be read is read again, ms.
pub const UNKNOWN_DEPENDENCY_RETRY_MS: u64 = 2_000;

/// Time before a dependent job can start from which on machines are provisioned for it, ms: a normal boot.
pub const UPCOMING_TASKS_HORIZON_MS: f64 = 30_000.0;

/// Dependency look-ups in progress for users' requests at most; bounds memory.
pub const MAX_DEPENDENCY_LOOKUPS: usize = 2_000;
