//! Constants of pipelines, with their units and reasons.

/// Jobs looked at to tell what becomes of one, at most: users' pipelines have some ten, and each may cost a read.
pub const WALK_MOST: usize = 400;
/// Chance with which what comes after a stage fits into the time that is left for it. Placement asks for its own
/// chance of the stage before: a deadline so late that the rest has an even chance still tells what is urgent, and
/// one that leaves the rest much more would call whole pipelines hopeless that are not.
pub const REST_CHANCE: f64 = 0.5;
