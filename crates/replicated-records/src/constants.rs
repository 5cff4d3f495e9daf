//! Constants of this crate, with their units.

/// Share of the deployment's writes per second that all records together may use: a tenth, so that writes of
/// bindings and final job records are not slowed down.
pub const WRITE_RATE_SHARE: f64 = 0.1;
/// Capacity of the write budget, in seconds of its rate: a new leader can write its first plans at once.
pub const MAX_WRITE_BURST_S: f64 = 10.0;
/// Maximum number of writes in one transaction. A transaction takes only as many as the write budget allows.
pub const MAX_BATCH_WRITES: usize = 8;
/// Maximum number of records under the prefix. It bounds memory and what a new leader reads, in pages of 200 records.
pub const MAX_RECORDS: usize = 2_000;
/// Maximum size of all values in one transaction, bytes of JSON: half of what a transaction may hold.
pub const MAX_BATCH_BYTES: usize = 30 * 1024;
/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1_000.0;
