//! What keeps a controller from collapsing, as pure values and state machines: nothing here reads a
//! clock, does I/O or knows what is scheduled.
//!
//! - [`budget`]: the memory that the platform gives, divided among the parts that hold it
//! - [`pressure`]: how far behind a controller is, by the time that work waits
//! - [`gate`]: which requests are taken, by urgency, before their bodies are read
//! - [`headroom`]: how many machines these controllers can hear and lead
//! - [`duty`]: the time for which a controller may answer for the leader
//! - [`retry`]: repeats that don't feed the fire
//! - [`turned`]: questions turned away, which come first when they come again

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

/// Steady time in ms.
pub type Time = u64;
