//! The round: which waiting task goes where. The thesis's PAM, with gangs, limits and zones. It reads
//! the tables and gives back a [`Plan`], which the node applies.
//!
//! A pass costs what has changed and what waits, not the number of machines times the number of
//! tasks: places whose end is alike share one mass function ([`ends::Ends`]), each chooser computes
//! a score once per such end, and takes places off a heap whose order can only get worse.

//!
//! Values first (`plan`, `place`, `chooser`, `teams`, `victims`, `market`), on them the round's `field`, on that
//! the parts of a round, each of which knows the field and no other part, and last the `round` that plays them.

mod candidate;
mod cloud_availability;
mod completion_times;
mod cycle;
mod gangs;
mod mapping;
mod mapping_round;
mod plan;
mod preemption;
mod quota_limits;
mod scale_out;
mod target;
mod target_collection;
mod team_usage;
mod victims;

pub use cycle::{due_cycle, plan_cycle};
pub use plan::{CyclePlan, PlanStep, PlanningContext};
pub use team_usage::TeamAllowances;
