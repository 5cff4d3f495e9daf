//! Every constant of this package, with its unit and the reason for it.

/// Time from the stop within which the lender must be proved gone and the borrower placed, ms: a save, some reports
/// and a fetch that another holds up; after it nobody's room is kept any more.
pub const LOAN_START_TIMEOUT_MS: u64 = 45_000;
/// Time for which the room is kept for the lender when the borrower has gone, ms: two rounds, and a commit.
pub const LOAN_RETURN_TIMEOUT_MS: u64 = 20_000;
/// Time over which the stops of one job are counted, ms, ...
pub const PREEMPTION_WINDOW_MS: u64 = 3_600_000;
/// ... and how often a job is stopped for others within it at most: surges that come and go do not make it swing.
pub const MAX_PREEMPTIONS_PER_WINDOW: usize = 3;
/// Time between two stops of one job at least, ms: it is to get further than its restart took.
pub const MIN_PREEMPTION_INTERVAL_MS: u64 = 120_000;
/// Loans of one lender at most (its record must fit a value): a gang of more machines is not taken.
pub const MAX_LOANS_PER_LENDER: usize = 32;
/// Lenders with loans at most (memory, and what a new leader reads).
pub const MAX_LENDERS: usize = 400;
