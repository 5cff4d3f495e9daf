//! Every constant of this package, with its unit and the reason for it.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Entries of a calendar at most: its record must fit a value, and what is bounded is understood.
pub const ENTRIES_MOST: usize = 200;
/// Chains at most.
pub const CHAINS_MOST: usize = 32;
/// Steps of a chain at most.
pub const STEPS_MOST: usize = 12;
/// Longest name, bytes.
pub const NAME_MOST: usize = 40;
/// Time ahead for which arrivals are foreseen, ms: a night and the morning after it, so that a warning can come an
/// hour ahead of the longest chain.
pub const HORIZON_MS: u64 = 24 * 3_600_000;
/// Arrivals that are open at most (memory, and what a new leader reads).
pub const OPEN_MOST: usize = 500;
/// Time after an arrival for which it is remembered, ms: an hour, for who asks what went wrong.
pub const PAST_MS: u64 = 3_600_000;
/// Time before an arrival from which on a step that nobody has submitted is worth a warning, ms, beyond what the
/// chain still takes: an hour, as the yards ask.
pub const WARN_AHEAD_MS: u64 = 3_600_000;
/// Time that a step takes of which nothing is known, ms.
pub const UNKNOWN_MS: u64 = 600_000;
/// Margin of a step that names none, s: a minute for its end to be known and the list to be fetched.
pub const MARGIN_S: f64 = 60.0;
/// Durations of a step that are remembered, the latest: some weeks of a daily one.
pub const TOOK_MOST: usize = 24;
/// Part of them within which a step is taken to end: three of four, as the mapper's own threshold.
pub const CHANCE: f64 = 0.75;
