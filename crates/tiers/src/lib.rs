//! Priority tiers: which waiting work comes first, held in the state service. A job's tier and its place in the
//! line are functions of records alone, so that every controller at the same revision has the same line, and no
//! change of leader reorders it. Pure: nothing here reads a clock or knows of machines.
//!
//! - [`table`]: the table of tiers, its record, and the built-in default
//! - [`check`]: what speaks against a table
//! - [`line`]: the place of a job in the line

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
pub mod queue_order;
pub mod tier_table;
pub mod validation;

pub use queue_order::{QueuePosition, WaitingJob, queue_order};
pub use tier_table::{
    JobAttributes, JobKindAttribute, JobPriorityAttribute, TierAssignment, TierDefinition,
    TierTable, TierTableRecord,
};
pub use validation::TierTableError;
