//! Overload control of a controller, as pure values and state machines: nothing here reads a clock, does I/O or depends
//! on what is scheduled. The runtime and the controller consult it before they accept work.
//!
//! - [`memory_budget`]: division of the available memory among the parts of a controller
//! - [`load_level`]: load level, derived from how long work waits for the processor
//! - [`admission`]: admission of requests by priority, before their bodies are read
//! - [`fleet_limit`]: limit on the number of machines that the controllers can manage
//! - [`delegated_answering`]: for how long a follower may answer unchanged reports on behalf of the leader
//! - [`retry_budget`]: limit on retries, and backoff
//! - [`rejected_polls`]: rejected polls, whose retries take precedence

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod constants;
pub mod delegated_answering;
pub mod fleet_limit;
pub mod load_level;
pub mod memory_budget;
pub mod rejected_polls;
pub mod retry_budget;

/// Monotonic time of one process, ms.
pub type Time = u64;
