//! The round: which waiting task goes where. The thesis's PAM, with gangs, limits and zones.

mod lines;
mod round;

pub use lines::Lines;
pub use round::{pass, reserve_needs, want_pass};
