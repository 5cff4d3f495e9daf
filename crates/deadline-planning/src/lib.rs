//! Dispatch deadlines: who arrives when, what must be done before, and by when each step of that must be. A deadline
//! is a time of day in a record and no leader's timer, so none is forgotten when controllers fail. Pure: the time
//! of day and what is known of jobs come in; records, deadlines and warnings go out.
//!
//! - [`calendar`]: arrivals, in time zones, with exceptions; chains of steps; what speaks against them
//! - [`arrival`]: one arrival as a state machine in a record
//! - [`backward`]: from the arrival backward: deadlines and latest starts
//! - [`board`]: all arrivals, which job serves which step, warnings

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backward_planning;
pub mod constants;
pub mod occurrence;
pub mod schedule;
pub mod tracker;

pub use occurrence::{Occurrence, OccurrencePhase, OccurrenceStep, StepPhase};
pub use schedule::{
    ChainDefinition, DeadlinePlan, DeadlineSchedule, PlanError, ScheduleEntry, StepDefinition,
};
pub use tracker::{DeadlineTracker, OccurrenceEvent, StepJob};
