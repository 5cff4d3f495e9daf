//! Scheduling parameters that operators and plug-ins can change. The controller computes them before a scheduling
//! cycle; placement and fleet management only read them. Hard constraints are not among them: quota limits, zones,
//! the proof that a task is gone, and the order of priorities cannot be changed by a policy.

use crate::constants::{
    DROPPING_TOGGLE_MISSES, HEADROOM_TASKS, IDLE_MACHINE_TIMEOUT_MS, MAX_CYCLE_BINDINGS,
    MAX_CYCLE_JOBS, MAX_CYCLE_QUEUE_JOINS, MAX_RUN_QUEUE_LENGTH, MAX_RUN_QUEUES, MAX_SPOT_SHARE,
    PRUNING_THRESHOLD, ROUND_INTERVAL_MS,
};
use crate::job::JobId;
use std::collections::{BTreeSet, HashMap};

/// Parameters for one job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPolicy {
    /// Pruning threshold, from 0 to 1. A task whose success probability is at or below it is deferred.
    pub pruning_threshold: f64,
    /// Largest share of the fleet's CPUs on spot machines at which another spot machine may be provisioned for the
    /// job. From 0 to 1.
    pub spot_share: f64,
    /// Rank of the job's class within its priority level; lower ranks are placed first.
    pub class_order: i64,
    /// Preference within its priority level and class; higher scores are placed first.
    pub score: f64,
    /// Machine types to avoid as long as the job allows others.
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

/// Upper bounds on the work of one scheduling cycle. They are lowered while the controller is overloaded.
#[derive(Debug, Clone, PartialEq)]
pub struct CycleBounds {
    /// Tasks bound at most.
    pub max_bindings: usize,
    /// Attempts of all jobs together at most.
    pub max_attempts: usize,
    /// Tasks appended to run queues at most.
    pub max_queue_joins: usize,
    /// Jobs of one priority level placed at most.
    pub max_jobs_per_level: usize,
    /// Run queues offered as placement targets at most.
    pub max_queues: usize,
    /// The fleet is close to the number of machines that the controller can manage. Larger machines are then
    /// preferred.
    pub is_fleet_near_limit: bool,
}

impl Default for CycleBounds {
    fn default() -> CycleBounds {
        CycleBounds {
            max_bindings: MAX_CYCLE_BINDINGS,
            max_attempts: usize::MAX,
            max_queue_joins: MAX_CYCLE_QUEUE_JOINS,
            max_jobs_per_level: MAX_CYCLE_JOBS,
            max_queues: MAX_RUN_QUEUES,
            is_fleet_near_limit: false,
        }
    }
}

/// Parameters of a scheduling cycle.
#[derive(Debug, Clone, PartialEq)]
pub struct CyclePolicy {
    /// Missed tasks since the last mapping round that engage dropping.
    pub dropping_toggle: u32,
    /// Longest run queue of a slot, the executing task included.
    pub queue_limit: usize,
    /// Interval between mapping rounds, ms.
    pub round_interval_ms: u64,
    /// Service tasks of each class for which capacity is kept free.
    pub headroom_tasks: u32,
    /// Time after which a machine without tasks is terminated, ms.
    pub idle_timeout_ms: u64,
    /// Upper bounds on the work of one scheduling cycle.
    pub bounds: CycleBounds,
    /// Parameters of jobs without an entry in `job_overrides`.
    pub default_job: JobPolicy,
    /// Parameters of individual jobs.
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
    /// Parameters of a job.
    pub fn for_job(&self, id: &JobId) -> &JobPolicy {
        self.job_overrides.get(id).unwrap_or(&self.default_job)
    }
}
