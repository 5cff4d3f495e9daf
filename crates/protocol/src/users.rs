//! Messages between users and controllers: job specifications, job status and errors. Types only; submissions are
//! decoded and encoded in [`crate::submission`].

pub use crate::submission::{Submission, is_valid_job_id, read_submission, write_submission};
use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// `POST`: submits a job.
    pub const JOBS: &str = "/v1/jobs";
    /// `GET`: the status of one job.
    pub const JOB: &str = "/v1/jobs/{id}";
    /// `POST`: cancels a job.
    pub const CANCEL: &str = "/v1/jobs/{id}/withdraw";
    /// `GET`: health check; 200 while the controller can serve users.
    pub const HEALTH: &str = "/up";
}

/// Kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Gang-scheduled: all tasks run at the same time, or none of them.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Preempted by all other priorities.
    Low,
    /// The usual priority. It is called `standard` in a submission and `normal` in stored records.
    Normal,
    /// Preempts normal and low priority.
    High,
    /// Preempts all other priorities.
    Production,
}

/// Specification of a job, as it is stored. The fields of a submission have other names, see [`read_submission`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job class. Jobs of a class share objectives and run-time statistics.
    pub class: String,
    /// Team whose guarantee and limit apply.
    pub team: String,
    /// Kind of job.
    pub kind: JobKind,
    /// Priority of the job.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs requested by each task.
    pub cpus: f64,
    /// GPUs requested by each task.
    pub gpus: f64,
    /// Memory requested by each task, GB.
    pub memory_gb: f64,
    /// Image that a machine must have downloaded before a task can start.
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Allowed machine types; none: any type. Wire: `types`.
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; none: any zone.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread: bool,
    /// Whether the job may run on spot machines.
    pub spot: bool,
    /// The owner's estimate of the run time of a task, seconds; often inaccurate. 0 for services. Wire: `estimate_s`.
    #[serde(rename = "estimate_s")]
    pub runtime_estimate_s: f64,
    /// Run time of a task between two checkpoints, seconds; 0: the task does not save checkpoints. Wire: `checkpoint_s`.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, seconds. Wire: `save_s`.
    #[serde(rename = "save_s")]
    pub checkpoint_duration_s: f64,
    /// Deadline relative to the submission, seconds; none: no deadline.
    pub deadline_s: Option<f64>,
    /// Length of the longest name of its tasks, bytes; 0 where the job's id is not known. Not stored or sent.
    #[serde(skip)]
    pub task_name_bytes: u32,
}

impl JobSpec {
    /// Sets [`JobSpec::task_name_bytes`] for a job with this id.
    pub fn set_task_name_bytes(&mut self, id: &str) {
        let last_task = self.tasks.saturating_sub(1);
        let digits = last_task.checked_ilog10().unwrap_or(0) + 1;
        self.task_name_bytes = id.len() as u32 + 1 + digits;
    }

    /// Whether its tasks cannot all run at a time, wherever there is room: they must be in one zone, of which fewer may be
    /// in any zone.
    pub fn has_contradictory_zones(&self) -> bool {
        let is_in_one_zone = self.one_zone || self.zone.is_some();
        is_in_one_zone && self.max_tasks_per_zone() < self.tasks
    }

    /// Maximum number of tasks that may run in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}

/// Status of a job as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs. Wire: `pending`.
    #[serde(rename = "pending")]
    Pending,
    /// At least one task runs. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Wire: `done`.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user or by dependency. Wire: `withdrawn`.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response with the status of one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatusResponse {
    /// The job's id. Wire: `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The job's status.
    pub status: JobStatus,
    /// Number of tasks done, for display only. Wire: `done`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "done")]
    pub tasks_done: Option<u32>,
    /// Number of tasks running, for display only. Wire: `running`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "running")]
    pub tasks_running: Option<u32>,
}

/// Response to a request that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The cause and the remedy.
    pub error: String,
}
