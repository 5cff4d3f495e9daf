//! DAG dependencies between jobs. This crate alone determines whether a job may start, whether it is cancelled by
//! dependency, and by when it must be done for the jobs that depend on it. It does no I/O and reads no clock; the
//! caller passes only committed states.
//!
//! The rules rest on three facts:
//!
//! - *Done is final*: a committed end of a job is never revoked, so a job that may start stays allowed to start.
//! - *Cancelled is final*, and so is cancelled by dependency.
//! - *Dependencies are accepted jobs*: a job depends only on jobs that were accepted before it, so no cycle can arise.
//!   Jobs whose corrupt records form a cycle wait forever and affect no others.
//!
//! Modules:
//!
//! - [`dependency_graph`]: the leader's jobs with dependencies, and their states as other jobs end
//! - [`dependency_traversal`]: the state of one job, determined by any controller by reading the jobs upstream of it
//! - [`effective_deadlines`]: deadlines and priorities that jobs inherit from the jobs that depend on them

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
pub mod dependency_graph;
pub mod dependency_traversal;
pub mod effective_deadlines;

pub use dependency_graph::{DependencyGraph, DependencyState};
pub use dependency_traversal::{DependencyTraversal, DependencyVerdict, VisitedJob};
pub use effective_deadlines::{DurationDistribution, JobRequirements, effective_requirements};

/// Id of a job.
pub type JobId = std::sync::Arc<str>;

/// Committed and final outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task is done. Contains the time of day of the end, ms.
    Done(u64),
    /// Cancelled by its user or by dependency.
    Cancelled,
}
