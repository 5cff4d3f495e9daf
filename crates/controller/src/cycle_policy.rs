//! What operators and plug-ins may steer, as values: the node works them out before a pass, and
//! placement and fleet only read them. None of them is a rule: limits, zones, proof and the order of
//! priorities are not here.

use crate::constants::{
    DROPPING_TOGGLE_MISSES, HEADROOM_TASKS, IDLE_MACHINE_TIMEOUT_MS, MAX_CYCLE_BINDINGS,
    MAX_CYCLE_JOBS, MAX_CYCLE_QUEUE_JOINS, MAX_RUN_QUEUE_LENGTH, MAX_RUN_QUEUES, MAX_SPOT_SHARE,
    PRUNING_THRESHOLD, ROUND_INTERVAL_MS,
};
use crate::job::JobId;
use std::collections::{BTreeSet, HashMap};

/// How one job is steered.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPolicy {
    /// Pruning threshold: a chance at or below it defers. From 0 to 1.
    pub pruning_threshold: f64,
    /// Largest share of the CPUs that may be on spot machines when one more is rented. From 0 to 1.
    pub spot_share: f64,
    /// Order of its class within its level: the lower the sooner.
    pub class_order: i64,
    /// Preference within its level and class: the higher the sooner.
    pub score: f64,
    /// Machine types to avoid, while others are allowed.
    pub avoided_types: BTreeSet<String>,
}

impl Default for JobPolicy {
    fn default() -> JobPolicy {
        JobPolicy {
            pruning_threshold: PRUNING_THRESHOLD,
            spot_share: MAX_SPOT_SHARE,
            class_order: 0,
            score: 0.0,
            avoided_types: BTreeSet::new(),
        }
    }
}

/// What a pass may do at most (processor): less of it while the controller falls behind.
#[derive(Debug, Clone, PartialEq)]
pub struct CycleBounds {
    /// Tasks bound.
    pub max_bindings: usize,
    /// Tasks that join lines.
    pub max_queue_joins: usize,
    /// Jobs of one level placed.
    pub max_jobs_per_level: usize,
    /// Lines offered.
    pub max_queues: usize,
    /// Few machines more can be led: larger ones are then worth more than they cost.
    pub is_fleet_near_limit: bool,
}

impl Default for CycleBounds {
    fn default() -> CycleBounds {
        CycleBounds {
            max_bindings: MAX_CYCLE_BINDINGS,
            max_queue_joins: MAX_CYCLE_QUEUE_JOINS,
            max_jobs_per_level: MAX_CYCLE_JOBS,
            max_queues: MAX_RUN_QUEUES,
            is_fleet_near_limit: false,
        }
    }
}

/// How a pass is steered.
#[derive(Debug, Clone, PartialEq)]
pub struct CyclePolicy {
    /// Misses since the last round that engage dropping.
    pub dropping_toggle: u32,
    /// Longest line of a slot, the executing task included.
    pub queue_limit: usize,
    /// Time between rounds, ms.
    pub round_interval_ms: u64,
    /// Tasks of each service class for which room is kept.
    pub headroom_tasks: u32,
    /// Time a machine without tasks is kept, ms.
    pub idle_timeout_ms: u64,
    /// What a pass may do at most.
    pub bounds: CycleBounds,
    /// What holds for a job that is not named.
    pub default_job: JobPolicy,
    /// Jobs steered otherwise.
    pub job_overrides: HashMap<JobId, JobPolicy>,
}

impl Default for CyclePolicy {
    fn default() -> CyclePolicy {
        CyclePolicy {
            dropping_toggle: DROPPING_TOGGLE_MISSES,
            queue_limit: MAX_RUN_QUEUE_LENGTH,
            round_interval_ms: ROUND_INTERVAL_MS,
            headroom_tasks: HEADROOM_TASKS,
            idle_timeout_ms: IDLE_MACHINE_TIMEOUT_MS,
            bounds: CycleBounds::default(),
            default_job: JobPolicy::default(),
            job_overrides: HashMap::new(),
        }
    }
}

impl CyclePolicy {
    /// How a job is steered.
    pub fn for_job(&self, id: &JobId) -> &JobPolicy {
        self.job_overrides.get(id).unwrap_or(&self.default_job)
    }
}
