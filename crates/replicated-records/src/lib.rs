//! Records that outlive controllers: versioned values under one prefix of the state service, followed by every
//! controller and changed by the leader alone. Pure: pages, news and outcomes come in, transactions go out.
//!
//! [`Book`] is the one place where such values are read, batched and written; tiers, dispatch and loans are
//! values in it, and each reads them through [`Versioned`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod record_store;
mod versioned;

pub use record_store::{LoadPhase, RecordStore, RecordTransaction, StoreLimits, WriteOutcome};
pub use versioned::{RecordReadError, Versioned};

/// Steady time in ms.
pub type Time = u64;
