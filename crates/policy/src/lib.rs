//! What operators may set beyond the platform's file, and what plug-ins may say: the operators' file,
//! policy expressions, the plug-in host. All of it is pure: values in, values out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
pub mod facts;
pub mod hooks;
pub mod host;
pub mod lang;
pub mod operator;
pub mod outbox;
pub mod plugin;
pub mod policy;
