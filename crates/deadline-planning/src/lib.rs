//! Recurring deadlines: when something must be ready, which chain of jobs has to be done before, and by when each step of
//! it must be. A deadline is a wall-clock time in a record and no leader's timer, so that failovers lose none. Without
//! I/O: the time and what is known of jobs come in; records, deadlines and warnings go out.
//!
//! - [`schedule`]: recurring entries with time zones and exceptions, chains of steps, and their validation
//! - [`occurrence`]: one occurrence of an entry as a state machine in a record
//! - [`backward_planning`]: deadlines and latest starts of steps, worked out backward
//! - [`tracker`]: all occurrences, which job serves which step, warnings

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
