//! Pipelines: jobs that await others. What follows for a job from those before it is worked out here and nowhere
//! else: whether it may begin, whether it is called off, by when it has to be done for what needs it. Pure: values
//! in, values out; whoever asks says what is committed.
//!
//! Three facts carry the rules. *Done is final*: once a job's end is committed nothing takes it back, so a job that
//! may begin may begin for good. *Cancelled is final*: so is being called off. *Only accepted jobs are named*: a job
//! awaits older ones alone, and no circle can come about; a record that claims one waits for ever and harms nobody.
//!
//! - [`graph`]: a leader's jobs that wait, and what becomes of them as others end
//! - [`walk`]: the same question about one job, answered by reading what comes before it, at any controller
//! - [`backward`]: deadlines and priorities of what comes before, from what needs it

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
pub mod dependency_graph;
pub mod dependency_traversal;
pub mod effective_deadlines;

pub use dependency_graph::{DependencyGraph, DependencyState};
pub use dependency_traversal::{DependencyTraversal, DependencyVerdict, VisitedJob};
pub use effective_deadlines::{DurationDistribution, JobRequirements, effective_requirements};

/// A job's id.
pub type JobId = std::sync::Arc<str>;

/// How a job ended: committed, and final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task is done, at that time of day, ms.
    Done(u64),
    /// Cancelled by its user, or called off with one before it.
    Cancelled,
}
