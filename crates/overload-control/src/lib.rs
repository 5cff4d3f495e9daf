//! What keeps a controller from collapsing under load, as pure values and state machines: nothing here reads a clock,
//! does I/O or knows what is scheduled. The runtime and the controller ask before they take work in.
//!
//! - [`memory_budget`]: the memory that the platform gives, divided among the parts that hold it
//! - [`load_level`]: how far behind a controller is, measured by how long work waits
//! - [`admission`]: which requests are admitted, by priority, before their bodies are read
//! - [`fleet_limit`]: how many machines the controllers can lead
//! - [`delegated_answering`]: for how long a follower may answer unchanged reports for the leader
//! - [`retry_budget`]: how many calls may be retried, and after which backoff
//! - [`rejected_polls`]: polls that were rejected, whose retries take precedence

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
