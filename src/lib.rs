//! swiftsail: a cluster scheduler that places work by its chance of meeting its deadline.
//!
//! The core (`swiftsail_controller::node::Node`) is pure: an event and the time give a new state and
//! actions. This package is what surrounds it: thin actors ([`controller`]), the HTTP front
//! ([`front`]) and the command line ([`program`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod admission;
pub mod client;
pub mod commands;
pub mod constants;
pub mod http;
pub mod local;
pub mod logging;
pub mod program;
pub mod runtime;
