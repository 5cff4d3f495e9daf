//! Configuration and extension by operators: the operators' file, policy expressions and the plug-in host. Apart from
//! reading the operators' file, the crate does no I/O, and the caller passes the time.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attributes;
pub mod constants;
pub mod expression_engine;
pub mod hooks;
pub mod operator_settings;
pub mod outbox;
pub mod plugin;
pub mod plugin_host;
pub mod scheduling_policy;
