//! What teams may use. Pure: what is held, asked and known comes in; what may be used, and what to commit,
//! goes out.
//!
//! - [`fixed`]: amounts of CPUs and accelerators as whole numbers, so that no sum drifts.
//! - [`order`]: which jobs of a team get what its limit leaves, when that is less than they want.
//! - [`records`]: what the state service holds where several decide.
//! - [`account`]: one decider's part of it: amounts move by conditional transactions.
//! - [`planner`]: who gets how much, by need.
//! - [`rates`]: requests a second that belong to all controllers, lent where they are not used.

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

/// Steady time in ms.
pub type Time = u64;
