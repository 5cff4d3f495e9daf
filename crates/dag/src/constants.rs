//! Constants of DAG dependencies, with their units and reasons.

/// Most jobs visited to tell what becomes of one: far above any DAG, whose jobs number some ten, because a job that is
/// not visited could have been cancelled.
pub const MAX_TRAVERSED_JOBS: usize = 10_000;
/// Longest chain of jobs along which deadlines are propagated (recursion, stack): jobs further ahead inherit none yet.
pub const MAX_DEPENDENCY_DEPTH: usize = 100;
/// Probability with which the jobs after one must fit into the time that its effective deadline leaves them. Placement
/// applies its own probability to the job itself: a deadline so late that the rest has an even chance still tells what
/// is urgent, and one that leaves the rest much more would make whole chains look hopeless that are not.
pub const DOWNSTREAM_PROBABILITY: f64 = 0.5;
