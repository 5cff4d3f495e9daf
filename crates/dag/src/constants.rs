//! Constants of pipelines, with their units and reasons.

/// Jobs looked at to tell what becomes of one, at most: far beyond any pipeline, whose jobs number some ten, since what is
/// not looked at could have been called off.
pub const MAX_TRAVERSED_JOBS: usize = 10_000;
/// Stages one behind the other that deadlines are worked out for (stack): what is further ahead has none yet.
pub const MAX_DEPENDENCY_DEPTH: usize = 100;
/// Chance with which what comes after a stage fits into the time that is left for it. Placement asks for its own
/// chance of the stage before: a deadline so late that the rest has an even chance still tells what is urgent, and
/// one that leaves the rest much more would call whole pipelines hopeless that are not.
pub const DOWNSTREAM_PROBABILITY: f64 = 0.5;
