//! Every constant of this package, with its unit and the reason for it.

/// Part of the site's changes a second that all records together may take: a tenth, so that bindings and ends
/// go on as if there were none.
pub const CHANGES_PART: f64 = 0.1;
/// Changes that may be saved up, in seconds' worth: a new leader's first plans come together.
pub const SAVED_S: f64 = 10.0;
/// Changes in one transaction at most: it waits until all of them may be made.
pub const BATCH_MOST: usize = 8;
/// Records under the prefix at most (memory, and what a new leader reads): a page holds 200.
pub const RECORDS_MOST: usize = 2_000;
/// Bytes of all transactions' values at most: half of what a transaction may hold.
pub const BATCH_BYTES: usize = 30 * 1024;
