//! DAG dependencies between jobs. What follows for a job from the jobs before and after it is worked out here and
//! nowhere else: whether it may begin, whether it is cancelled by dependency, by when it has to be done for what depends
//! on it. Pure: values in, values out; the caller says what is committed.
//!
//! Three facts carry the rules. *Done is final*: once a job's end is committed nothing takes it back, so a job that may
//! begin may begin for good. *Cancelled is final*, and so is cancelled by dependency. *Only accepted jobs are named*: a
//! job depends on older ones alone, so no cycle can arise; a record that claims one waits for ever and harms nobody.
//!
//! - [`dependency_graph`]: the leader's jobs with dependencies, and what becomes of them as others end
//! - [`dependency_traversal`]: the same question about one job, answered at any controller by reading the jobs before it
//! - [`effective_deadlines`]: deadlines and priorities that jobs inherit from what depends on them

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

/// How a job ended. Committed, and final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task is done; since that time of day, ms.
    Done(u64),
    /// Cancelled by its user, or by dependency.
    Cancelled,
}
