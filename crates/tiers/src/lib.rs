//! Priority tiers: which waiting work comes first, held in the state service. A job's tier and its place in the
//! line are functions of records alone, so that every controller at the same revision has the same line, and no
//! change of leader reorders it. Pure: nothing here reads a clock or knows of machines.
//!
//! - [`table`]: the table of tiers, its record, and the built-in default
//! - [`check`]: what speaks against a table
//! - [`line`]: the place of a job in the line

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod constants;
pub mod line;
pub mod table;

pub use check::TierTableError;
pub use line::{QueuePosition, WaitingJob, queue_order};
pub use table::{
    JobAttributes, JobKindAttribute, JobPriorityAttribute, TierAssignment, TierDefinition,
    TierTable, TierTableRecord,
};
