//! Failure detection of machines. Pure: observations and probe outcomes come in, presumptions go out. A presumption
//! proves nothing: it decides when a machine is probed and when it is returned to the cloud, and only the return proves
//! that its tasks are gone.
//!
//! The intervals between a machine's reports are learned, after the accrual idea of Hayashibara and others ("The phi
//! accrual failure detector", 2004). Probing a machine before it is presumed dead, and looking at which others are
//! silent, follow SWIM (Das, Gupta, Motivala, 2002).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod failure_detector;
mod inbound_reachability;

pub use failure_detector::{
    FailureDetector, Liveness, MachineObservation, MonitoredMachine, ProbeOutcome,
};
pub use inbound_reachability::{InboundReachability, ReachabilityEvidence, ReachabilityTracker};

/// Monotonic time, ms.
pub type Time = u64;
