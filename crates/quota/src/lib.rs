//! Quota of teams: exact limits and guarantees, who gets what a limit leaves, and how quota moves between the holders
//! of several partitions of the machines. Pure: pages, messages, demands and time come in; what may be used, and what
//! to send, goes out.
//!
//! - [`quantities`]: CPUs and GPUs as whole numbers, so that no sum drifts.
//! - [`allocation`]: which jobs of a team get what its limit leaves, when that is less than they want.
//! - [`records`]: the quota records in the state service.
//! - [`account`]: what one partition holds; quota moves by conditional transactions.
//! - [`planner`]: when a partition takes, gives and asks for quota.
//! - [`rate_loans`]: rates (requests per second) shared by all controllers, lent where they are not used.

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

/// Monotonic time in ms.
pub type Time = u64;
