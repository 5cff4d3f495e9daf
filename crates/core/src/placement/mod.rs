//! The round: which waiting task goes where. The thesis's PAM, with gangs, limits and zones. It reads
//! the tables and gives back a [`Plan`], which the node applies.
//!
//! A pass costs what has changed and what waits, not the number of machines times the number of
//! tasks: places whose end is alike share one mass function ([`ends::Ends`]), each chooser computes
//! a score once per such end, and takes places off a heap whose order can only get worse.

mod chooser;
mod ends;
mod gangs;
mod limits;
mod places;
mod preempt;
mod rental;
mod round;

pub use limits::Allowance;
pub use round::{Plan, Step, View, plan, want_pass};
