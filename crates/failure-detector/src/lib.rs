//! Which machines live, by evidence. Pure: times and outcomes come in, verdicts go out. A verdict never
//! proves anything: it decides when a machine is asked, and when it is returned, which is the proof.
//!
//! The detector of silence learns the intervals between a machine's reports, after the accrual idea of
//! Hayashibara and others ("The phi accrual failure detector", 2004); a probe before a verdict and the
//! look at the pattern follow SWIM (Das, Gupta, Motivala, 2002).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod failure_detector;
mod inbound_reachability;

pub use failure_detector::{
    FailureDetector, Liveness, MachineObservation, MonitoredMachine, ProbeOutcome,
};
pub use inbound_reachability::{InboundReachability, ReachabilityEvidence, ReachabilityTracker};

/// Steady time in ms.
pub type Time = u64;
