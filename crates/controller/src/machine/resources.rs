//! Amounts of CPU, GPU and memory that machines have and tasks request, and the space that tasks take in the reports of
//! their machine.

use crate::constants::{AMOUNT_TOLERANCE, MAX_TASK_STATUS_BYTES, REPORT_ENVELOPE_BYTES};
use crate::job::JobSpec;
use swiftsail_protocol::constants::MAX_BODY_BYTES;

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
    /// Space in the machine's status report, bytes. A report that is too large is refused, and then the lease of the
    /// machine ends with all that runs on it.
    pub report_bytes: f64,
}

impl Resources {
    /// The resources that one task of a job requests.
    pub fn for_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            report_bytes: (MAX_TASK_STATUS_BYTES + spec.task_name_bytes as usize) as f64,
        }
    }

    /// The resources of an empty machine with these amounts.
    pub fn of_machine(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let report_bytes = (MAX_BODY_BYTES - REPORT_ENVELOPE_BYTES) as f64;
        Resources { cpus, gpus, memory_gb, report_bytes }
    }

    /// The report space alone of one task of a job: that of an exited task, which uses nothing else.
    pub fn report_space_of(spec: &JobSpec) -> Resources {
        Resources { report_bytes: Resources::for_task(spec).report_bytes, ..Resources::default() }
    }

    /// These amounts for a number of tasks.
    pub fn multiplied_by(&self, tasks: u32) -> Resources {
        let tasks = f64::from(tasks);
        Resources {
            cpus: self.cpus * tasks,
            gpus: self.gpus * tasks,
            memory_gb: self.memory_gb * tasks,
            report_bytes: self.report_bytes * tasks,
        }
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
            && self.report_bytes >= other.report_bytes
    }

    /// Subtracts `other`. Amounts may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
        self.report_bytes -= other.report_bytes;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
        self.report_bytes += other.report_bytes;
    }

    /// Number of tasks that fit into these, each requesting `each`.
    pub fn task_count(&self, each: &Resources) -> u32 {
        let fitting = |available: f64, requested: f64| {
            if requested > 0.0 { (available + AMOUNT_TOLERANCE) / requested } else { f64::MAX }
        };
        let count = fitting(self.cpus, each.cpus)
            .min(fitting(self.gpus, each.gpus))
            .min(fitting(self.memory_gb, each.memory_gb))
            .min(fitting(self.report_bytes, each.report_bytes));
        count.clamp(0.0, MAX_TASK_COUNT) as u32
    }
}
