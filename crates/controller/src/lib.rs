//! The pure core of swiftsail: an event and the time give a new state and actions. Nothing here does
//! I/O, reads a clock or draws random numbers that its seed does not give.
//!
//! Layers, each of which imports only those above it in this list:
//!
//! - [`constants`], [`settings`], [`job`], [`machine`], [`chance`], [`term`], [`store`], [`cloud`],
//!   [`steering`]
//! - [`tables`]: what the leader knows, with the one function for every change
//! - [`placement`], [`fleet`]: read tables and give back a plan
//! - [`node`]: one controller; it alone applies plans

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cloud;
pub mod cluster_state;
pub mod completion_time;
pub mod constants;
pub mod controller;
pub mod cycle_policy;
pub mod fleet;
pub mod job;
pub mod leadership;
pub mod machine;
pub mod placement;
pub mod quota_records;
pub mod settings;
pub mod store;

/// Steady time in ms.
pub type Time = u64;
