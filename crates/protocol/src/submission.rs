//! Parsing, validation and encoding of submissions, the MessagePack maps in which users submit jobs. A submission is not
//! decoded by serde as a whole, because the job's id must be readable even if another field is invalid: a known job is
//! answered from its record, whatever the body of a repeat contains.
//!
//! Pure functions, without state or I/O. The wire names of a submission's fields appear only here.

use crate::ProtocolError;
use crate::constants::{
    MAX_BODY_BYTES, MAX_DEPENDENCIES, MAX_JOB_ID_BYTES, MAX_MACHINE_TYPES, MAX_NESTING_DEPTH,
    MAX_TASKS, MAX_TEXT_BYTES,
};
use crate::users::{JobKind, JobSpec, Priority};
use rmpv::Value;
use serde::Serialize;
use std::sync::Arc;

/// A submission with a valid id. The id suffices to distinguish a repeat for a known job from a bad request.
#[derive(Debug)]
pub struct Submission {
    /// The job's id.
    pub id: Arc<str>,
    /// The job's specification, or the first error found in the body.
    pub spec: Result<JobSpec, ProtocolError>,
    /// The DAG dependencies, without duplicates: jobs that must be done before any task of this job starts. Their number
    /// and length have been checked, but not whether they are valid ids or known jobs. Wire: `awaits`.
    pub depends_on: Vec<Arc<str>>,
}

/// Whether a text is a valid job id (such as `wk-000412`): the prefix `wk-`, then ASCII letters and digits, at most
/// [`MAX_JOB_ID_BYTES`] in all.
pub fn is_valid_job_id(text: &str) -> bool {
    let Some(("wk", suffix)) = text.split_once('-') else { return false };
    let is_alphanumeric =
        !suffix.is_empty() && suffix.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_alphanumeric && text.len() <= MAX_JOB_ID_BYTES
}

/// Parses and validates a submission.
///
/// # Errors
/// Returns an error if the body is too large, is not a MessagePack map, or has no valid `name_id`. Any other error is
/// returned in [`Submission::spec`].
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
    let spec = if rest.is_empty() {
        read_spec(&fields)
    } else {
        Err(ProtocolError::Malformed("more follows the map".into()))
    };
    let (depends_on, spec) = match fields.dependencies() {
        Ok(depends_on) => (depends_on, spec),
        Err(e) => (Vec::new(), spec.and(Err(e))),
    };
    Ok(Submission { id: Arc::from(id.as_str()), spec, depends_on })
}

/// The fields of a submission by their wire names. Each accessor checks the type and bounds of one field. A null value
/// is treated as a missing field.
struct SubmissionFields(Vec<(Value, Value)>);

impl SubmissionFields {
    fn optional(&self, name: &str) -> Option<&Value> {
        let field = self.0.iter().find(|(key, _)| key.as_str() == Some(name));
        field.map(|(_, value)| value).filter(|value| !value.is_nil())
    }

    fn required(&self, name: &'static str) -> Result<&Value, ProtocolError> {
        self.optional(name).ok_or(ProtocolError::InvalidField(name, "is missing"))
    }

    fn text(&self, name: &'static str) -> Result<String, ProtocolError> {
        bounded_text(self.required(name)?, name)
    }

    fn optional_text(&self, name: &'static str) -> Result<Option<String>, ProtocolError> {
        self.optional(name).map(|value| bounded_text(value, name)).transpose()
    }

    fn number(&self, name: &'static str) -> Result<f64, ProtocolError> {
        non_negative_number(self.required(name)?, name)
    }

    fn optional_number(&self, name: &'static str) -> Result<Option<f64>, ProtocolError> {
        self.optional(name).map(|value| non_negative_number(value, name)).transpose()
    }

    fn flag(&self, name: &'static str) -> Result<bool, ProtocolError> {
        let value = self.required(name)?;
        value.as_bool().ok_or(ProtocolError::InvalidField(name, "is not true or false"))
    }

    fn texts(
        &self,
        name: &'static str,
        max_len: usize,
    ) -> Result<Option<Vec<String>>, ProtocolError> {
        let Some(value) = self.optional(name) else { return Ok(None) };
        let list = value.as_array().ok_or(ProtocolError::InvalidField(name, "is not a list"))?;
        if list.len() > max_len {
            return Err(ProtocolError::InvalidField(name, "is too long"));
        }
        list.iter().map(|value| bounded_text(value, name)).collect::<Result<_, _>>().map(Some)
    }

    fn task_count(&self) -> Result<u32, ProtocolError> {
        let value = self.required("shards")?;
        // Some MessagePack libraries encode an integer as a float.
        let from_float = || value.as_f64().filter(|count| count.fract() == 0.0 && *count >= 0.0);
        let count = value
            .as_u64()
            .or_else(|| from_float().map(|count| count as u64))
            .ok_or(ProtocolError::InvalidField("shards", "is not a count"))?;
        if count == 0 || count > MAX_TASKS {
            return Err(ProtocolError::InvalidField("shards", "must be from 1 to 100000"));
        }
        Ok(count as u32)
    }

    fn machine_types(&self) -> Result<Option<Vec<String>>, ProtocolError> {
        match self.texts("hulls", MAX_MACHINE_TYPES)? {
            Some(types) if types.is_empty() => {
                Err(ProtocolError::InvalidField("hulls", "is empty"))
            }
            types => Ok(types),
        }
    }

    fn dependencies(&self) -> Result<Vec<Arc<str>>, ProtocolError> {
        let mut distinct: Vec<Arc<str>> = Vec::new();
        for id in self.texts("awaits", MAX_DEPENDENCIES)?.unwrap_or_default() {
            if !distinct.iter().any(|other| **other == *id) {
                distinct.push(id.into());
            }
        }
        Ok(distinct)
    }
}

fn bounded_text(value: &Value, name: &'static str) -> Result<String, ProtocolError> {
    let text = value.as_str().ok_or(ProtocolError::InvalidField(name, "is not text"))?;
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(ProtocolError::InvalidField(name, "is empty or too long"));
    }
    Ok(text.to_string())
}

fn non_negative_number(value: &Value, name: &'static str) -> Result<f64, ProtocolError> {
    let number = value.as_f64().ok_or(ProtocolError::InvalidField(name, "is not a number"))?;
    if !number.is_finite() || number < 0.0 {
        return Err(ProtocolError::InvalidField(name, "must be finite and at least 0"));
    }
    Ok(number)
}

fn read_spec(fields: &SubmissionFields) -> Result<JobSpec, ProtocolError> {
    let kind = match fields.text("shape")?.as_str() {
        "array" => JobKind::Array,
        "gang" => JobKind::Gang,
        "service" => JobKind::Service,
        _ => return Err(ProtocolError::InvalidField("shape", "is none of array, gang, service")),
    };
    let priority = priority_from_name(&fields.text("rank")?)
        .ok_or(ProtocolError::InvalidField("rank", "is no known priority"))?;
    let tasks = fields.task_count()?;
    let zone = fields.optional_text("dock")?;
    Ok(JobSpec {
        class: fields.text("jobclass")?,
        team: fields.text("crew")?,
        kind,
        priority,
        tasks,
        cpus: fields.number("cpus")?,
        gpus: fields.number("accelerators")?,
        memory_gb: fields.number("memory_gb")?,
        image: fields.text("bundle")?,
        image_gb: fields.number("pull_gb")?,
        machine_types: fields.machine_types()?,
        zone,
        one_zone: fields.flag("one_zone")?,
        spread: fields.flag("scatter")?,
        spot: fields.flag("driftwood")?,
        runtime_estimate_s: fields.number("eta_s")?,
        checkpoint_interval_s: fields.number("mark_s")?,
        checkpoint_duration_s: fields.number("stow_s")?,
        deadline_s: fields.optional_number("due_s")?,
        task_name_bytes: 0,
    })
}

/// The wire name of a priority in a submission (field `rank`).
fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Production => "production",
        Priority::High => "high",
        Priority::Normal => "standard",
        Priority::Low => "low",
    }
}

fn priority_from_name(name: &str) -> Option<Priority> {
    let all = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];
    all.into_iter().find(|priority| priority_name(*priority) == name)
}

/// A submission to be encoded. The fields are in the order of the wire format.
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
    #[serde(skip_serializing_if = "Vec::is_empty", rename = "awaits")]
    depends_on: Vec<&'a str>,
}

/// Encodes the submission of a job with DAG dependencies, as a user sends it.
pub fn write_submission(id: &str, spec: &JobSpec, depends_on: &[Arc<str>]) -> Vec<u8> {
    crate::encode(&SubmissionBody {
        id,
        class: &spec.class,
        team: &spec.team,
        kind: spec.kind,
        priority: priority_name(spec.priority),
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
        depends_on: depends_on.iter().map(|id| &**id).collect(),
    })
}
