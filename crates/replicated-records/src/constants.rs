//! Every constant of this package, with its unit and the reason for it.

/// Share of the deployment's writes per second that all records together may use: a tenth, so that writes of
/// bindings and job ends are not slowed down.
pub const WRITE_RATE_SHARE: f64 = 0.1;
/// Seconds' worth of unused writes that may be saved up, so that a new leader can write its first plans at once.
pub const MAX_WRITE_BURST_S: f64 = 10.0;
/// Writes in one transaction at most. A transaction takes only as many as the write budget allows.
pub const MAX_BATCH_WRITES: usize = 8;
/// Records under the prefix at most. It bounds memory and what a new leader reads; a page holds 200.
pub const MAX_RECORDS: usize = 2_000;
/// Bytes of all values in one transaction at most: half of what a transaction may hold.
pub const MAX_BATCH_BYTES: usize = 30 * 1024;
/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1_000.0;
