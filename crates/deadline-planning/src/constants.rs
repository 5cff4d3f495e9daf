//! Every constant of this package, with its unit and the reason for it.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Entries of a calendar at most: its record must fit a value, and what is bounded is understood.
pub const MAX_SCHEDULE_ENTRIES: usize = 200;
/// Chains at most.
pub const MAX_CHAINS: usize = 32;
/// Steps of a chain at most.
pub const MAX_CHAIN_STEPS: usize = 12;
/// Longest name, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Time ahead for which arrivals are foreseen, ms: a night and the morning after it, so that a warning can come an
/// hour ahead of the longest chain.
pub const PLANNING_HORIZON_MS: u64 = 24 * 3_600_000;
/// Arrivals that are open at most (memory, and what a new leader reads).
pub const MAX_OCCURRENCES: usize = 500;
/// Time after an arrival for which it is remembered, ms: an hour, for who asks what went wrong.
pub const OCCURRENCE_RETENTION_MS: u64 = 3_600_000;
/// Time before an arrival from which on a step that nobody has submitted is worth a warning, ms, beyond what the
/// chain still takes: an hour, as the yards ask.
pub const WARNING_LEAD_MS: u64 = 3_600_000;
/// Time that a step takes of which nothing is known, ms.
pub const DEFAULT_STEP_DURATION_MS: u64 = 600_000;
/// Margin of a step that names none, s: a minute for its end to be known and the list to be fetched.
pub const DEFAULT_MARGIN_S: f64 = 60.0;
/// Durations of a step that are remembered, the latest: some weeks of a daily one.
pub const MAX_DURATION_SAMPLES: usize = 24;
/// Part of them within which a step is taken to end: three of four, as the mapper's own threshold.
pub const DURATION_QUANTILE: f64 = 0.75;
