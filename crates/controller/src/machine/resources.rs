//! Amounts of CPU, GPU and memory: what machines have and tasks take.

use crate::constants::AMOUNT_TOLERANCE;
use crate::job::JobSpec;

/// More tasks than any machine holds; bounds [`Resources::task_count`] where a task asks for nothing.
const MAX_TASK_COUNT: f64 = 1e6;

/// Amounts of a machine or of a task. Comparisons allow for rounding by [`AMOUNT_TOLERANCE`].
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
    /// What one task of a job takes.
    pub fn for_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Whether one task of a job fits in this.
    pub fn fits_task(&self, spec: &JobSpec) -> bool {
        self.covers(&Resources::for_task(spec))
    }

    /// Whether this is at least as large as another in every amount.
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpus + AMOUNT_TOLERANCE >= other.cpus
            && self.gpus + AMOUNT_TOLERANCE >= other.gpus
            && self.memory_gb + AMOUNT_TOLERANCE >= other.memory_gb
    }

    /// Takes another away from this. Amounts may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Adds another to this.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// How many tasks that take `each` fit in this.
    pub fn task_count(&self, each: &Resources) -> u32 {
        let fitting = |have: f64, each: f64| {
            if each > 0.0 { (have + AMOUNT_TOLERANCE) / each } else { f64::MAX }
        };
        let count = fitting(self.cpus, each.cpus)
            .min(fitting(self.gpus, each.gpus))
            .min(fitting(self.memory_gb, each.memory_gb));
        count.clamp(0.0, MAX_TASK_COUNT) as u32
    }
}
