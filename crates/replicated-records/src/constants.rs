//! Every constant of this package, with its unit and the reason for it.

/// Part of the site's changes a second that all records together may take: a tenth, so that bindings and ends
/// go on as if there were none.
pub const WRITE_RATE_SHARE: f64 = 0.1;
/// Changes that may be saved up, in seconds' worth: a new leader's first plans come together.
pub const MAX_WRITE_BURST_S: f64 = 10.0;
/// Changes in one transaction at most: it waits until all of them may be made.
pub const MAX_BATCH_WRITES: usize = 8;
/// Records under the prefix at most (memory, and what a new leader reads): a page holds 200.
pub const MAX_RECORDS: usize = 2_000;
/// Bytes of all transactions' values at most: half of what a transaction may hold.
pub const MAX_BATCH_BYTES: usize = 30 * 1024;
