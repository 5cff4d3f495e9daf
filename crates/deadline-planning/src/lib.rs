//! Recurring deadlines: when something must be ready, which chain of jobs has to be done before, and by when each step of
//! the chain must be done. A deadline is a wall-clock time in a record, not a timer of the leader, so that no failover
//! loses one. Without I/O: the time and the state of jobs are passed in; records, deadlines and warnings are returned.
//!
//! In files, records and replies a schedule entry or occurrence is called an arrival: it is typically the arrival of a
//! vehicle for which a list must be ready.
//!
//! - [`schedule`]: recurring entries with time zones and exceptions, chains of steps, and their validation
//! - [`occurrence`]: one occurrence of an entry as a state machine in a record
//! - [`backward_planning`]: deadlines and latest starts of steps
//! - [`tracker`]: all open occurrences, which job performs which step, and warnings

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
