//! Versioned records in the state service that every controller watches and the leader alone writes. Without I/O: pages,
//! watch changes and transaction outcomes are passed in, transactions to send are returned.
//!
//! [`RecordStore`] is the only place where such values are read, batched and written. The tier table, the deadline plan,
//! its occurrences and GPU loans are values in it, which their owners decode and encode through [`Versioned`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod record_store;
mod versioned;

pub use record_store::{LoadPhase, RecordStore, RecordTransaction, StoreLimits, WriteOutcome};
pub use versioned::{RecordReadError, Versioned};

/// Monotonic time, ms.
pub type Time = u64;
