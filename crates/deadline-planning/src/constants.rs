//! Constants of this crate, with their units.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Maximum number of entries of a schedule: its record must fit a value, and operators must be able to survey it.
pub const MAX_SCHEDULE_ENTRIES: usize = 200;
/// Maximum number of chains of a plan.
pub const MAX_CHAINS: usize = 32;
/// Maximum number of steps of a chain.
pub const MAX_CHAIN_STEPS: usize = 12;
/// Maximum length of a name, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Time ahead for which occurrences are planned, ms: a night and the following morning, so that a warning can come an
/// hour before the longest chain has to begin.
pub const PLANNING_HORIZON_MS: u64 = 24 * 3_600_000;
/// Maximum number of open occurrences. It bounds memory and what a new leader reads.
pub const MAX_OCCURRENCES: usize = 500;
/// Time for which an occurrence is kept after it was due, ms: an hour, for operators who look into what went wrong.
pub const OCCURRENCE_RETENTION_MS: u64 = 3_600_000;
/// Time before the latest start of a step from which on a warning is given if its job is not submitted, ms: users
/// require an hour.
pub const WARNING_LEAD_MS: u64 = 3_600_000;
/// Duration assumed for a step without recorded durations, ms.
pub const DEFAULT_STEP_DURATION_MS: u64 = 600_000;
/// Margin of a step that names none, s: a minute for its end to become known and its result to be fetched.
pub const DEFAULT_MARGIN_S: f64 = 60.0;
/// Maximum number of recorded durations of a step, the latest ones: some weeks of a daily step.
pub const MAX_DURATION_SAMPLES: usize = 24;
/// Quantile of the recorded durations within which a step is expected to end: the same probability as the mapper's
/// pruning threshold.
pub const DURATION_QUANTILE: f64 = 0.75;
