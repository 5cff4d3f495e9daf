//! swiftsail: a cluster scheduler that places work by its chance of meeting its deadline.
//!
//! The core ([`cluster::Node`]) is pure: an event and the time give a new state and actions. Thin
//! actors ([`cluster::actor`]) and the HTTP front ([`front`]) carry them out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod chance;
pub mod cloud;
pub mod cluster;
pub mod constants;
pub mod fleet;
pub mod front;
pub mod job;
pub mod machine;
pub mod placement;
pub mod program;
pub mod settings;
pub mod store;
pub mod term;
pub mod wire;
