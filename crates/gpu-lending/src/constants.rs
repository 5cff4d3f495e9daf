//! Constants of this crate, with their units.

/// Maximum time in each phase before [`crate::LoanPhase::Serving`], ms: enough for saving a checkpoint, some status
/// reports, and an image fetch that waits for another one. After it the machine is not reserved for the borrower any
/// more.
pub const LOAN_START_TIMEOUT_MS: u64 = 45_000;
/// Time for which the machine is reserved for the lender after the borrower has left it, ms: two mapping rounds and a
/// commit.
pub const LOAN_RETURN_TIMEOUT_MS: u64 = 20_000;
/// Sliding window in which the preemptions of a lender are counted, ms.
pub const PREEMPTION_WINDOW_MS: u64 = 3_600_000;
/// Maximum number of preemptions of a lender within [`PREEMPTION_WINDOW_MS`]: a demand that comes and goes must not
/// make it oscillate between running and preempted.
pub const MAX_PREEMPTIONS_PER_WINDOW: usize = 3;
/// Minimum time between two preemptions of a lender, ms: it must make more progress than its restart costs.
pub const MIN_PREEMPTION_INTERVAL_MS: u64 = 120_000;
/// Maximum number of loans of one lender, since its record must fit a value: a gang on more machines is not preempted.
pub const MAX_LOANS_PER_LENDER: usize = 32;
/// Maximum number of lenders with a record. It bounds memory and what a new leader reads.
pub const MAX_LENDERS: usize = 400;
