//! The subcommands for jobs: submit, poll, cancel, list.

use super::{AdminTarget, ServiceTarget, block_on, output};
use crate::admin::path;
use crate::client::Client;
use clap::Subcommand;
use serde::Deserialize;
use serde_json::{Value, json};
use std::error::Error;
use std::path::{Path, PathBuf};
use swiftsail_controller::job::{JobId, JobKind, JobSpec, Priority};
use swiftsail_protocol::users::{JobStatusResponse, is_valid_job_id};

/// Commands for jobs.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit the job that a TOML file describes
    Submit {
        /// The file, like those under examples/
        file: PathBuf,
        /// Id of the job, of the form wk-NAME; by default a random one
        #[arg(long)]
        id: Option<String>,
        /// Id of a job that must be done before any task of this one starts, in addition to those that the file lists
        /// under `awaits`; may be repeated
        #[arg(long = "await", value_name = "JOB")]
        awaits: Vec<String>,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// Show the status of a job
    Poll {
        /// Id of the job
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// Cancel a job
    Cancel {
        /// Id of the job
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// List the jobs that have not ended
    Jobs {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// The TOML file of a job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFile {
    class: String,
    team: String,
    kind: JobKind,
    #[serde(default = "default_priority")]
    priority: Priority,
    tasks: u32,
    cpus: f64,
    #[serde(default)]
    gpus: f64,
    memory_gb: f64,
    image: String,
    #[serde(default)]
    image_gb: f64,
    #[serde(default)]
    types: Option<Vec<String>>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    one_zone: bool,
    #[serde(default)]
    spread: bool,
    #[serde(default)]
    spot: bool,
    #[serde(default)]
    estimate_s: f64,
    #[serde(default)]
    checkpoint_s: f64,
    #[serde(default)]
    save_s: f64,
    #[serde(default)]
    deadline_s: Option<f64>,
    #[serde(default)]
    awaits: Vec<String>,
}

fn default_priority() -> Priority {
    Priority::Normal
}

fn load_job_file(file: &Path) -> Result<(JobSpec, Vec<JobId>), Box<dyn Error>> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| {
        format!("job file {name}: cannot read it: {e}; give the path of a readable TOML file")
    })?;
    let job: JobFile = toml::from_str(&text).map_err(|e| format!("job file {name}: {e}"))?;
    let awaits = job.awaits.into_iter().map(JobId::from).collect();
    let spec = JobSpec {
        class: job.class,
        team: job.team,
        kind: job.kind,
        priority: job.priority,
        tasks: job.tasks,
        cpus: job.cpus,
        gpus: job.gpus,
        memory_gb: job.memory_gb,
        image: job.image,
        image_gb: job.image_gb,
        machine_types: job.types,
        zone: job.zone,
        one_zone: job.one_zone,
        spread: job.spread,
        spot: job.spot,
        runtime_estimate_s: job.estimate_s,
        checkpoint_interval_s: job.checkpoint_s,
        checkpoint_duration_s: job.save_s,
        deadline_s: job.deadline_s,
        task_name_bytes: 0,
    };
    Ok((spec, awaits))
}

impl JobCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            JobCommand::Submit { file, id, awaits: more_dependencies, to } => {
                let (spec, mut awaits) = load_job_file(&file)?;
                awaits.extend(more_dependencies.into_iter().map(JobId::from));
                let id = id.unwrap_or_else(|| format!("wk-{:012x}", rand::random::<u64>() >> 16));
                let id = checked_job_id(&id)?;
                let client = || Client::new(to.to.clone());
                let response = block_on(async { client().submit(id, &spec, &awaits).await })?;
                print_job_status(&response, to.json);
            }
            JobCommand::Poll { job, to } => {
                let id = checked_job_id(&job)?;
                let response = block_on(async { Client::new(to.to.clone()).poll(id).await })?;
                print_job_status(&response, to.json);
            }
            JobCommand::Cancel { job, to } => {
                let id = checked_job_id(&job)?;
                let response = block_on(async { Client::new(to.to.clone()).cancel(id).await })?;
                print_job_status(&response, to.json);
            }
            JobCommand::Jobs { admin } => list_jobs(&admin)?,
        }
        Ok(())
    }
}

fn checked_job_id(id: &str) -> Result<&str, String> {
    let error = || format!("invalid job id `{id}`: expected wk- followed by letters or digits");
    is_valid_job_id(id).then_some(id).ok_or_else(error)
}

fn print_job_status(response: &JobStatusResponse, as_json: bool) {
    let value = serde_json::to_value(response).unwrap_or(Value::Null);
    let summary = json!({
        "job": response.id, "status": value["status"],
        "done": response.tasks_done, "running": response.tasks_running,
    });
    if as_json {
        output::print_json(&summary);
    } else {
        let fields = ["job", "status", "running", "done"];
        output::print_table(&fields, vec![output::row_cells(&summary, &fields)]);
    }
}

fn list_jobs(admin: &AdminTarget) -> Result<(), Box<dyn Error>> {
    let mut jobs: Vec<Value> = Vec::new();
    let client = || Client::new(admin.admin.clone());
    block_on(async {
        let client = client();
        let mut after = String::new();
        loop {
            let page =
                client.admin_request("GET", &format!("{}{after}", path::JOBS), Vec::new()).await?;
            jobs.extend(page["jobs"].as_array().into_iter().flatten().cloned());
            match page["next"].as_str() {
                Some(next) => after = format!("?after={next}"),
                None => return Ok(()),
            }
        }
    })?;
    if admin.json {
        output::print_json(&Value::Array(jobs));
        return Ok(());
    }
    let fields = [
        "job",
        "class",
        "team",
        "kind",
        "priority",
        "tasks",
        "running",
        "done",
        "cancelled",
        "age_s",
        "deadline_s",
    ];
    output::print_table(&fields, jobs.iter().map(|j| output::row_cells(j, &fields)).collect());
    Ok(())
}
