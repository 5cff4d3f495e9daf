//! Placement: which waiting task is bound to which machine, by the pruning-aware mapper of the thesis (PAM), with gangs,
//! quotas and zones. It reads the cluster state and returns a [`CyclePlan`], which the controller applies.
//!
//! A cycle costs what has changed and what waits, not the number of machines times the number of tasks: targets with the
//! same completion time share one probability mass function, each candidate computes a score once per such completion
//! time, and takes targets off a heap whose order can only get worse.
//!
//! Values come first (`plan`, `target`, `candidate`, `team_usage`, `victims`, `cloud_availability`); `mapping_round` is
//! built on them; the steps of a round know only the round; `cycle` runs them.

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
