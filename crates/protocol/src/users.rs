//! Users and the controllers.

use super::WireError;
use crate::constants::*;
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
pub enum Kind {
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
pub struct Spec {
    /// Class of jobs.
    pub class: String,
    /// Team.
    pub team: String,
    /// Shape.
    pub kind: Kind,
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
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May run on spot machines.
    pub spot: bool,
    /// Owner's estimate of a task's run time, s.
    pub estimate_s: f64,
    /// Interval of checkpoints, s; 0: none.
    pub checkpoint_s: f64,
    /// Time to save, s.
    pub save_s: f64,
    /// Deadline from submission, s.
    pub deadline_s: Option<f64>,
}

impl Spec {
    /// Most tasks in one zone at a time.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
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
pub struct JobAnswer {
    /// Its id.
    pub name_id: String,
    /// Its state.
    pub status: Status,
    /// Tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Answer to a request that failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Problem {
    /// Cause and remedy.
    pub error: String,
}

/// A submission as far as it could be read: the id tells a known job from a bad request.
#[derive(Debug)]
pub struct Submission {
    /// The job's id.
    pub id: Arc<str>,
    /// What it asks for, or what is wrong.
    pub spec: Result<Spec, WireError>,
    /// The jobs that have to be done before any of its tasks starts, each once. Whether they are known, or names
    /// of jobs at all, is for the controllers to say.
    pub awaits: Vec<Arc<str>>,
}

/// Whether a text is a job id of the form that users use: a short lower-case prefix, a dash and
/// digits or letters.
pub fn valid_id(text: &str) -> bool {
    let Some((prefix, rest)) = text.split_once('-') else {
        return false;
    };
    let word = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_alphanumeric());
    text.len() <= JOB_ID_MOST && prefix == "wk" && word(rest)
}

struct Fields(Vec<(Value, Value)>);

impl Fields {
    fn get(&self, name: &str) -> Option<&Value> {
        let found = self.0.iter().find(|(k, _)| k.as_str() == Some(name));
        found.map(|(_, v)| v).filter(|v| !v.is_nil())
    }
    fn text(&self, name: &'static str) -> Result<String, WireError> {
        let found = self.get(name).ok_or(WireError::Field(name, "is missing"))?;
        text_of(found, name)
    }
    fn number(&self, name: &'static str) -> Result<f64, WireError> {
        let found = self.get(name).ok_or(WireError::Field(name, "is missing"))?;
        let number = found.as_f64().ok_or(WireError::Field(name, "is not a number"))?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(WireError::Field(name, "must be finite and at least 0"))
        }
    }
    fn optional_number(&self, name: &'static str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|_| self.number(name)).transpose()
    }
    fn flag(&self, name: &'static str) -> Result<bool, WireError> {
        let found = self.get(name).ok_or(WireError::Field(name, "is missing"))?;
        found.as_bool().ok_or(WireError::Field(name, "is not true or false"))
    }
    fn texts(&self, name: &'static str, most: usize) -> Result<Option<Vec<String>>, WireError> {
        let Some(found) = self.get(name) else {
            return Ok(None);
        };
        let list = found.as_array().ok_or(WireError::Field(name, "is not a list"))?;
        if list.len() > most {
            return Err(WireError::Field(name, "is too long"));
        }
        let texts: Result<Vec<String>, WireError> = list.iter().map(|v| text_of(v, name)).collect();
        texts.map(Some)
    }
    fn hulls(&self) -> Result<Option<Vec<String>>, WireError> {
        let found = self.texts("hulls", HULLS_MOST)?;
        match found {
            Some(list) if list.is_empty() => Err(WireError::Field("hulls", "is empty")),
            found => Ok(found),
        }
    }
    fn awaits(&self) -> Result<Vec<Arc<str>>, WireError> {
        let mut named: Vec<Arc<str>> = Vec::new();
        for id in self.texts("awaits", AWAITS_MOST)?.unwrap_or_default() {
            if !named.iter().any(|n| **n == *id) {
                named.push(id.into());
            }
        }
        Ok(named)
    }
}

fn text_of(value: &Value, name: &'static str) -> Result<String, WireError> {
    let text = value.as_str().ok_or(WireError::Field(name, "is not text"))?;
    if text.is_empty() || text.len() > TEXT_MOST {
        return Err(WireError::Field(name, "is empty or too long"));
    }
    Ok(text.to_string())
}

/// Reads a submission. An error here is about the id or the body as a whole.
pub fn read_submission(body: &[u8]) -> Result<Submission, WireError> {
    if body.len() > BODY_MOST {
        return Err(WireError::TooLarge(body.len()));
    }
    let mut rest = body;
    let value = rmpv::decode::read_value_with_max_depth(&mut rest, DEPTH_MOST)
        .map_err(|e| WireError::Form(e.to_string()))?;
    let Value::Map(fields) = value else {
        return Err(WireError::Form("it is not a map".into()));
    };
    let fields = Fields(fields);
    let id = fields.text("name_id")?;
    if !valid_id(&id) {
        return Err(WireError::Field("name_id", "has not the form of a job id"));
    }
    let id = Arc::from(id.as_str());
    let spec = if rest.is_empty() {
        read_spec(&fields)
    } else {
        Err(WireError::Form("more follows the map".into()))
    };
    let (awaits, spec) = match fields.awaits() {
        Ok(awaits) => (awaits, spec),
        Err(e) => (Vec::new(), spec.and(Err(e))),
    };
    Ok(Submission { id, spec, awaits })
}

fn read_spec(f: &Fields) -> Result<Spec, WireError> {
    let kind = match f.text("shape")?.as_str() {
        "array" => Kind::Array,
        "gang" => Kind::Gang,
        "service" => Kind::Service,
        _ => return Err(WireError::Field("shape", "is none of array, gang, service")),
    };
    let priority = match f.text("rank")?.as_str() {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Normal,
        "low" => Priority::Low,
        _ => return Err(WireError::Field("rank", "is no known priority")),
    };
    let tasks = f.get("shards").ok_or(WireError::Field("shards", "is missing"))?;
    let tasks = tasks
        .as_u64()
        .or_else(|| tasks.as_f64().filter(|v| v.fract() == 0.0 && *v >= 0.0).map(|v| v as u64))
        .ok_or(WireError::Field("shards", "is not a count"))?;
    if tasks == 0 || tasks > TASKS_MOST {
        return Err(WireError::Field("shards", "must be from 1 to 100000"));
    }
    let zone = f.get("dock").map(|_| f.text("dock")).transpose()?;
    Ok(Spec {
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
        types: f.hulls()?,
        zone,
        one_zone: f.flag("one_zone")?,
        spread: f.flag("scatter")?,
        spot: f.flag("driftwood")?,
        estimate_s: f.number("eta_s")?,
        checkpoint_s: f.number("mark_s")?,
        save_s: f.number("stow_s")?,
        deadline_s: f.optional_number("due_s")?,
    })
}

/// A submission as it is written.
#[derive(Serialize)]
struct Written<'a> {
    name_id: &'a str,
    jobclass: &'a str,
    crew: &'a str,
    shape: Kind,
    rank: &'static str,
    shards: u32,
    cpus: f64,
    accelerators: f64,
    memory_gb: f64,
    bundle: &'a str,
    pull_gb: f64,
    hulls: &'a Option<Vec<String>>,
    dock: &'a Option<String>,
    one_zone: bool,
    scatter: bool,
    driftwood: bool,
    eta_s: f64,
    mark_s: f64,
    stow_s: f64,
    due_s: Option<f64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    awaits: Vec<&'a str>,
}

/// Writes a submission of a job that awaits these.
pub fn write_submission(id: &str, spec: &Spec, awaits: &[Arc<str>]) -> Vec<u8> {
    super::write(&Written {
        name_id: id,
        jobclass: &spec.class,
        crew: &spec.team,
        shape: spec.kind,
        rank: match spec.priority {
            Priority::Production => "production",
            Priority::High => "high",
            Priority::Normal => "standard",
            Priority::Low => "low",
        },
        shards: spec.tasks,
        cpus: spec.cpus,
        accelerators: spec.gpus,
        memory_gb: spec.memory_gb,
        bundle: &spec.image,
        pull_gb: spec.image_gb,
        hulls: &spec.types,
        dock: &spec.zone,
        one_zone: spec.one_zone,
        scatter: spec.spread,
        driftwood: spec.spot,
        eta_s: spec.estimate_s,
        mark_s: spec.checkpoint_s,
        stow_s: spec.save_s,
        due_s: spec.deadline_s,
        awaits: awaits.iter().map(|id| &**id).collect(),
    })
}
