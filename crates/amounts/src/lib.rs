//! What teams may use. Pure: what is held, asked and known comes in; what may be used, and what to commit,
//! goes out.
//!
//! - [`fixed`]: amounts of CPUs and accelerators as whole numbers, so that no sum drifts.
//! - [`order`]: which jobs of a team get what its limit leaves, when that is less than they want.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
pub mod fixed;
pub mod order;

pub use fixed::{Amount, Amounts, Cap};

/// Steady time in ms.
pub type Time = u64;
