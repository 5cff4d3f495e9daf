//! The controller of swiftsail without I/O: an event and the time give a new state and actions. Nothing here reads a clock
//! or draws random numbers that its seed does not give.
//!
//! Layers, each of which uses only those above it in this list:
//!
//! - [`constants`], [`settings`], [`job`], [`machine`], [`completion_time`], [`leadership`], [`store`], [`cloud`],
//!   [`cycle_policy`], [`quota_records`]: values, and clients as state machines
//! - [`cluster_state`]: what the leader knows, with one function for every transition
//! - [`placement`], [`fleet`]: read the cluster state and return plans
//! - [`controller`]: one controller; it alone applies plans

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

/// Monotonic time of this process, ms.
pub type Time = u64;
