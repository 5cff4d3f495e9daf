//! Constants of the dependency crate.

/// Maximum number of jobs visited by a [`DependencyTraversal`](crate::DependencyTraversal). Far above the size of any
/// DAG, which has about ten jobs, because a cancelled job among those not visited would be missed.
pub const MAX_TRAVERSED_JOBS: usize = 10_000;
/// Maximum length of a chain of jobs along which deadlines are propagated, which bounds the recursion. Jobs further
/// upstream inherit no deadline yet.
pub const MAX_DEPENDENCY_DEPTH: usize = 100;
/// Probability with which the jobs downstream of a job must finish in time if the job ends at its effective deadline.
/// Placement applies its own probability to the job itself. An even chance is enough to tell which jobs are urgent; a
/// higher probability would make whole chains look infeasible that are not.
pub const DOWNSTREAM_PROBABILITY: f64 = 0.5;
