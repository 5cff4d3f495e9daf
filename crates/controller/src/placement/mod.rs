//! The round: which waiting task goes where. The thesis's PAM, with gangs, limits and zones. It reads
//! the tables and gives back a [`Plan`], which the node applies.
//!
//! A pass costs what has changed and what waits, not the number of machines times the number of
//! tasks: places whose end is alike share one mass function ([`ends::Ends`]), each chooser computes
//! a score once per such end, and takes places off a heap whose order can only get worse.

//!
//! Values first (`plan`, `place`, `chooser`, `teams`, `victims`, `market`), on them the round's `field`, on that
//! the parts of a round, each of which knows the field and no other part, and last the `round` that plays them.

mod chooser;
mod ends;
mod field;
mod gangs;
mod limits;
mod mapping;
mod market;
mod place;
mod places;
mod plan;
mod preempt;
mod rental;
mod round;
mod teams;
mod victims;

pub use plan::{CyclePlan, PlanStep, PlanningContext};
pub use round::{due_cycle, plan_cycle};
pub use teams::TeamAllowances;
