//! Placement: decides which waiting task is bound to which machine, by the pruning-aware mapper of the PAM thesis,
//! extended by gangs, quotas and zones. It reads the cluster state and returns a [`CyclePlan`], which the controller
//! applies.
//!
//! The cost of a cycle depends on what has changed and what waits, not on the number of machines times the number of
//! tasks: targets with the same completion time share one probability mass function, and each candidate computes a
//! score once per such completion time and takes targets from a heap whose entries can only become worse.
//!
//! The value types (`plan`, `target`, `candidate`, `team_usage`, `victims`, `cloud_availability`) depend on no other
//! module here. `mapping_round` builds on them; each step of a round depends only on `mapping_round`; `cycle` runs the
//! steps.

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
