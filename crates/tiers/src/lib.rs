//! Priority tiers: the order in which waiting jobs are served. A job's tier and its queue position are functions of
//! stored records alone, so that every controller at the same revision has the same order and no failover changes it.
//! Nothing here reads a clock or knows of machines.
//!
//! - [`tier_table`]: the tier table, its record, and the built-in default
//! - [`validation`]: checks of a tier table
//! - [`mod@queue_order`]: the queue position of each job

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
