//! Priority tiers: the order in which waiting jobs are served. A job's tier and its position are functions of records
//! alone, so that every controller at the same revision has the same order and no failover changes it. Nothing here
//! reads a clock or knows of machines.
//!
//! - [`tier_table`]: the table of tiers, its record, and the built-in default
//! - [`validation`]: what makes a table invalid
//! - [`mod@queue_order`]: the position of a job among those that wait

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
