//! Users and the controllers.

use super::ProtocolError;
use crate::constants::{
    MAX_BODY_BYTES, MAX_DEPENDENCIES, MAX_JOB_ID_BYTES, MAX_MACHINE_TYPES, MAX_NESTING_DEPTH,
    MAX_TASKS, MAX_TEXT_BYTES,
};
use rmpv::Value;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Paths of this interface.
pub mod path {
    /// Submissions.
    pub const JOBS: &str = "/v1/jobs";
    /// One job.
    pub const JOB: &str = "/v1/jobs/{id}";
    /// Its cancellation.
    pub const CANCEL: &str = "/v1/jobs/{id}/withdraw";
    /// Health.
    pub const HEALTH: &str = "/up";
}

/// Shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    Array,
    /// Tasks that run at the same time or not at all.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Low.
    Low,
    /// Normal.
    Normal,
    /// High.
    High,
    /// Production.
    Production,
}

/// What a job asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs.
    pub class: String,
    /// Team.
    pub team: String,
    /// Shape.
    pub kind: JobKind,
    /// Priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Accelerators of a task.
    pub gpus: f64,
    /// Memory of a task, GB.
    pub memory_gb: f64,
    /// Image.
    pub image: String,
    /// Its size, GB.
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May run on spot machines.
    pub spot: bool,
    /// Owner's estimate of a task's run time, s.
    #[serde(rename = "estimate_s")]
    pub runtime_estimate_s: f64,
    /// Interval of checkpoints, s; 0: none.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Time to save, s.
    #[serde(rename = "save_s")]
    pub checkpoint_duration_s: f64,
    /// Deadline from submission, s.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Most tasks in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs.
    #[serde(rename = "pending")]
    Pending,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// Every task is done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Answer about one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatusResponse {
    /// Its id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    pub status: JobStatus,
    /// Tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "done")]
    pub tasks_done: Option<u32>,
    /// Tasks running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "running")]
    pub tasks_running: Option<u32>,
}

/// Answer to a request that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Cause and remedy.
    pub error: String,
}

/// A submission as far as it could be read: the id tells a known job from a bad request.
#[derive(Debug)]
pub struct Submission {
    /// The job's id.
    pub id: Arc<str>,
    /// What it asks for, or what is wrong.
    pub spec: Result<JobSpec, ProtocolError>,
    /// The jobs that have to be done before any of its tasks starts, each once. Whether they are known, or names
    /// of jobs at all, is for the controllers to say.
    pub depends_on: Vec<Arc<str>>,
}

/// Whether a text is a job id of the form that users use: a short lower-case prefix, a dash and
/// digits or letters.
pub fn is_valid_job_id(text: &str) -> bool {
    let Some((prefix, rest)) = text.split_once('-') else {
        return false;
    };
    let word = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_alphanumeric());
    text.len() <= MAX_JOB_ID_BYTES && prefix == "wk" && word(rest)
}

struct SubmissionFields(Vec<(Value, Value)>);

impl SubmissionFields {
    fn get(&self, name: &str) -> Option<&Value> {
        let found = self.0.iter().find(|(k, _)| k.as_str() == Some(name));
        found.map(|(_, v)| v).filter(|v| !v.is_nil())
    }
    fn text(&self, name: &'static str) -> Result<String, ProtocolError> {
        let found = self.get(name).ok_or(ProtocolError::InvalidField(name, "is missing"))?;
        bounded_text(found, name)
    }
    fn number(&self, name: &'static str) -> Result<f64, ProtocolError> {
        let found = self.get(name).ok_or(ProtocolError::InvalidField(name, "is missing"))?;
        let number = found.as_f64().ok_or(ProtocolError::InvalidField(name, "is not a number"))?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(ProtocolError::InvalidField(name, "must be finite and at least 0"))
        }
    }
    fn optional_number(&self, name: &'static str) -> Result<Option<f64>, ProtocolError> {
        self.get(name).map(|_| self.number(name)).transpose()
    }
    fn flag(&self, name: &'static str) -> Result<bool, ProtocolError> {
        let found = self.get(name).ok_or(ProtocolError::InvalidField(name, "is missing"))?;
        found.as_bool().ok_or(ProtocolError::InvalidField(name, "is not true or false"))
    }
    fn texts(&self, name: &'static str, most: usize) -> Result<Option<Vec<String>>, ProtocolError> {
        let Some(found) = self.get(name) else {
            return Ok(None);
        };
        let list = found.as_array().ok_or(ProtocolError::InvalidField(name, "is not a list"))?;
        if list.len() > most {
            return Err(ProtocolError::InvalidField(name, "is too long"));
        }
        let texts: Result<Vec<String>, ProtocolError> =
            list.iter().map(|v| bounded_text(v, name)).collect();
        texts.map(Some)
    }
    fn machine_types(&self) -> Result<Option<Vec<String>>, ProtocolError> {
        let found = self.texts("hulls", MAX_MACHINE_TYPES)?;
        match found {
            Some(list) if list.is_empty() => Err(ProtocolError::InvalidField("hulls", "is empty")),
            found => Ok(found),
        }
    }
    fn dependencies(&self) -> Result<Vec<Arc<str>>, ProtocolError> {
        let mut named: Vec<Arc<str>> = Vec::new();
        for id in self.texts("awaits", MAX_DEPENDENCIES)?.unwrap_or_default() {
            if !named.iter().any(|n| **n == *id) {
                named.push(id.into());
            }
        }
        Ok(named)
    }
}

fn bounded_text(value: &Value, name: &'static str) -> Result<String, ProtocolError> {
    let text = value.as_str().ok_or(ProtocolError::InvalidField(name, "is not text"))?;
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(ProtocolError::InvalidField(name, "is empty or too long"));
    }
    Ok(text.to_string())
}

/// Reads a submission. An error here is about the id or the body as a whole.
pub fn read_submission(body: &[u8]) -> Result<Submission, ProtocolError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(ProtocolError::TooLarge(body.len()));
    }
    let mut rest = body;
    let value = rmpv::decode::read_value_with_max_depth(&mut rest, MAX_NESTING_DEPTH)
        .map_err(|e| ProtocolError::Malformed(e.to_string()))?;
    let Value::Map(fields) = value else {
        return Err(ProtocolError::Malformed("it is not a map".into()));
    };
    let fields = SubmissionFields(fields);
    let id = fields.text("name_id")?;
    if !is_valid_job_id(&id) {
        return Err(ProtocolError::InvalidField("name_id", "has not the form of a job id"));
    }
    let id = Arc::from(id.as_str());
    let spec = if rest.is_empty() {
        read_spec(&fields)
    } else {
        Err(ProtocolError::Malformed("more follows the map".into()))
    };
    let (awaits, spec) = match fields.dependencies() {
        Ok(awaits) => (awaits, spec),
        Err(e) => (Vec::new(), spec.and(Err(e))),
    };
    Ok(Submission { id, spec, depends_on: awaits })
}

fn read_spec(f: &SubmissionFields) -> Result<JobSpec, ProtocolError> {
    let kind = match f.text("shape")?.as_str() {
        "array" => JobKind::Array,
        "gang" => JobKind::Gang,
        "service" => JobKind::Service,
        _ => return Err(ProtocolError::InvalidField("shape", "is none of array, gang, service")),
    };
    let priority = match f.text("rank")?.as_str() {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Normal,
        "low" => Priority::Low,
        _ => return Err(ProtocolError::InvalidField("rank", "is no known priority")),
    };
    let tasks = f.get("shards").ok_or(ProtocolError::InvalidField("shards", "is missing"))?;
    let tasks = tasks
        .as_u64()
        .or_else(|| tasks.as_f64().filter(|v| v.fract() == 0.0 && *v >= 0.0).map(|v| v as u64))
        .ok_or(ProtocolError::InvalidField("shards", "is not a count"))?;
    if tasks == 0 || tasks > MAX_TASKS {
        return Err(ProtocolError::InvalidField("shards", "must be from 1 to 100000"));
    }
    let zone = f.get("dock").map(|_| f.text("dock")).transpose()?;
    Ok(JobSpec {
        class: f.text("jobclass")?,
        team: f.text("crew")?,
        kind,
        priority,
        tasks: tasks as u32,
        cpus: f.number("cpus")?,
        gpus: f.number("accelerators")?,
        memory_gb: f.number("memory_gb")?,
        image: f.text("bundle")?,
        image_gb: f.number("pull_gb")?,
        machine_types: f.machine_types()?,
        zone,
        one_zone: f.flag("one_zone")?,
        spread: f.flag("scatter")?,
        spot: f.flag("driftwood")?,
        runtime_estimate_s: f.number("eta_s")?,
        checkpoint_interval_s: f.number("mark_s")?,
        checkpoint_duration_s: f.number("stow_s")?,
        deadline_s: f.optional_number("due_s")?,
    })
}

/// A submission as it is written.
#[derive(Serialize)]
struct SubmissionBody<'a> {
    #[serde(rename = "name_id")]
    id: &'a str,
    #[serde(rename = "jobclass")]
    class: &'a str,
    #[serde(rename = "crew")]
    team: &'a str,
    #[serde(rename = "shape")]
    kind: JobKind,
    #[serde(rename = "rank")]
    priority: &'static str,
    #[serde(rename = "shards")]
    tasks: u32,
    cpus: f64,
    #[serde(rename = "accelerators")]
    gpus: f64,
    memory_gb: f64,
    #[serde(rename = "bundle")]
    image: &'a str,
    #[serde(rename = "pull_gb")]
    image_gb: f64,
    #[serde(rename = "hulls")]
    machine_types: &'a Option<Vec<String>>,
    #[serde(rename = "dock")]
    zone: &'a Option<String>,
    one_zone: bool,
    #[serde(rename = "scatter")]
    spread: bool,
    #[serde(rename = "driftwood")]
    spot: bool,
    #[serde(rename = "eta_s")]
    runtime_estimate_s: f64,
    #[serde(rename = "mark_s")]
    checkpoint_interval_s: f64,
    #[serde(rename = "stow_s")]
    checkpoint_duration_s: f64,
    #[serde(rename = "due_s")]
    deadline_s: Option<f64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    depends_on: Vec<&'a str>,
}

/// Writes a submission of a job that awaits these.
pub fn write_submission(id: &str, spec: &JobSpec, awaits: &[Arc<str>]) -> Vec<u8> {
    super::encode(&SubmissionBody {
        id,
        class: &spec.class,
        team: &spec.team,
        kind: spec.kind,
        priority: match spec.priority {
            Priority::Production => "production",
            Priority::High => "high",
            Priority::Normal => "standard",
            Priority::Low => "low",
        },
        tasks: spec.tasks,
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        image: &spec.image,
        image_gb: spec.image_gb,
        machine_types: &spec.machine_types,
        zone: &spec.zone,
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        runtime_estimate_s: spec.runtime_estimate_s,
        checkpoint_interval_s: spec.checkpoint_interval_s,
        checkpoint_duration_s: spec.checkpoint_duration_s,
        deadline_s: spec.deadline_s,
        depends_on: awaits.iter().map(|id| &**id).collect(),
    })
}
