//! Amounts of CPU, GPU and memory that machines have and tasks request.

use crate::constants::AMOUNT_TOLERANCE;
use crate::job::JobSpec;

/// Upper bound of [`Resources::task_count`] for tasks that request nothing: more tasks than any machine runs.
const MAX_TASK_COUNT: f64 = 1e6;

/// Resources of a machine or a task. Comparisons allow for rounding by [`AMOUNT_TOLERANCE`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// The resources that one task of a job requests.
    pub fn for_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Whether one task of a job fits into these.
    pub fn fits_task(&self, spec: &JobSpec) -> bool {
        self.covers(&Resources::for_task(spec))
    }

    /// Whether each amount is at least as large as in `other`.
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpus + AMOUNT_TOLERANCE >= other.cpus
            && self.gpus + AMOUNT_TOLERANCE >= other.gpus
            && self.memory_gb + AMOUNT_TOLERANCE >= other.memory_gb
    }

    /// Subtracts `other`. Amounts may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Number of tasks that fit into these, each requesting `each`.
    pub fn task_count(&self, each: &Resources) -> u32 {
        let fitting = |available: f64, requested: f64| {
            if requested > 0.0 { (available + AMOUNT_TOLERANCE) / requested } else { f64::MAX }
        };
        let count = fitting(self.cpus, each.cpus)
            .min(fitting(self.gpus, each.gpus))
            .min(fitting(self.memory_gb, each.memory_gb));
        count.clamp(0.0, MAX_TASK_COUNT) as u32
    }
}
