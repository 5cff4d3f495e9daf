//! Team quotas: exact limits and guarantees, allocation of the remaining quota among a team's jobs, and transfer of
//! quota between partitions, the disjoint sets of machines that are scheduled independently. The crate does no I/O and
//! reads no clock: quota pages, messages, demands and the time are its inputs; usable amounts and the transactions and
//! messages to send are its outputs.
//!
//! - [`quantities`]: fixed-point amounts of CPUs and GPUs, so that sums accumulate no rounding error.
//! - [`allocation`]: divides a team's remaining quota among its jobs when they request more than that.
//! - [`records`]: the quota records in the state service.
//! - [`account`]: the quota that one partition holds, and the conditional transactions that move it.
//! - [`planner`]: decides when a partition takes, returns, requests and transfers quota.
//! - [`rate_loans`]: rate limits (requests per second) shared by all controllers, with unused rate lent to others.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod allocation;
pub mod constants;
pub mod planner;
pub mod quantities;
pub mod rate_loans;
pub mod records;

pub use account::QuotaAccount;
pub use quantities::{Quantity, QuotaLimit, ResourceQuantities};

/// Monotonic time, ms.
pub type Time = u64;
