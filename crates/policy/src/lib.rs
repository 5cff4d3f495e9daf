//! What operators may set beyond the platform's file, and what plug-ins may say: the operators' file,
//! policy expressions, the plug-in host. All of it is pure: values in, values out.

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
