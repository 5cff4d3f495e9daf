//! Messages between users and controllers: what a job asks for, how it is doing, and errors. Types only; the bytes
//! of a submission are read and written in [`crate::submission`].

pub use crate::submission::{Submission, is_valid_job_id, read_submission, write_submission};
use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// `POST`: a submission.
    pub const JOBS: &str = "/v1/jobs";
    /// `GET`: one job's status.
    pub const JOB: &str = "/v1/jobs/{id}";
    /// `POST`: cancels a job.
    pub const CANCEL: &str = "/v1/jobs/{id}/withdraw";
    /// `GET`: 200 while the controller can take requests.
    pub const HEALTH: &str = "/up";
}

/// Kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    Array,
    /// Gang-scheduled: all tasks run at the same time, or none.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Preempted by all others.
    Low,
    /// The usual one. In a submission it is called `standard`; stored records say `normal`.
    Normal,
    /// Preempts normal and low ones.
    High,
    /// Preempts all others.
    Production,
}

/// What a job asks for, as it is stored. A submission has other field names, see
/// [`read_submission`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs: those of a class share objectives and run-time statistics.
    pub class: String,
    /// Team whose guarantee and limit apply.
    pub team: String,
    /// Kind of job.
    pub kind: JobKind,
    /// Priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task, GB.
    pub memory_gb: f64,
    /// Image that a machine must have before a task can start.
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Allowed machine types; none: any. Wire: `types`.
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; none: any.
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Owner's estimate of a task's run time, seconds; often wrong. 0 for services.
    /// Wire: `estimate_s`.
    #[serde(rename = "estimate_s")]
    pub runtime_estimate_s: f64,
    /// Progress between two checkpoints of a task, seconds; 0: it never saves.
    /// Wire: `checkpoint_s`.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save when it is stopped, seconds. Wire: `save_s`.
    #[serde(rename = "save_s")]
    pub checkpoint_duration_s: f64,
    /// Deadline, counted from submission, seconds.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Most tasks in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}

/// A job's state as users are told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs. Wire: `pending`.
    #[serde(rename = "pending")]
    Pending,
    /// At least one task runs. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// Every task is done. Wire: `done`.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or by dependency. Wire: `withdrawn`.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response about one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatusResponse {
    /// The job's id. Wire: `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    pub status: JobStatus,
    /// Tasks done, for display. Wire: `done`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "done")]
    pub tasks_done: Option<u32>,
    /// Tasks running, for display. Wire: `running`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "running")]
    pub tasks_running: Option<u32>,
}

/// Response to a request that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The cause and the remedy.
    pub error: String,
}
