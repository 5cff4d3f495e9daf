//! The swiftsail controller as a deterministic state machine without I/O: it takes an event and the current time, and
//! returns actions for a runtime to execute. Nothing here reads a clock, and all random choices derive from a seed.
//!
//! Layers, each of which depends only on those above it in this list:
//!
//! - [`constants`], [`settings`], [`job`], [`machine`], [`completion_time`], [`leadership`], [`store`], [`cloud`],
//!   [`cycle_policy`], [`quota_records`]: values, and clients as state machines
//! - [`cluster_state`]: the leader's model of the cluster, with one function for every transition
//! - [`placement`], [`fleet`]: planners, which read the cluster state and return plans
//! - [`controller`]: the controller itself; only it applies plans

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

/// Monotonic clock of this process, ms.
pub type Time = u64;
