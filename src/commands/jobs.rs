//! Jobs: submit, poll, cancel, list.

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

/// What may be done with jobs.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit the job that a TOML file describes
    Submit {
        /// The file, like those under examples/
        file: PathBuf,
        /// Its id, of the form wk-NAME; by default a new one
        #[arg(long)]
        id: Option<String>,
        /// A job that has to be done before any task of this one starts; may be given several times, beside those
        /// that the file names under `awaits`
        #[arg(long = "await", value_name = "JOB")]
        awaits: Vec<String>,
        /// Where it goes
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// Show a job's state
    Poll {
        /// Its id
        job: String,
        /// Where it goes
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// Cancel a job
    Cancel {
        /// Its id
        job: String,
        /// Where it goes
        #[command(flatten)]
        to: ServiceTarget,
    },
    /// List the jobs that are not over
    Jobs {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// A job's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFile {
    class: String,
    team: String,
    kind: JobKind,
    #[serde(default = "normal")]
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

fn normal() -> Priority {
    Priority::Normal
}

fn load_job_file(file: &Path) -> Result<(JobSpec, Vec<JobId>), Box<dyn Error>> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("job file {name}: cannot be read: {e}; give a readable TOML file"))?;
    let j: JobFile = toml::from_str(&text).map_err(|e| format!("job file {name}: {e}"))?;
    let awaits = j.awaits.into_iter().map(JobId::from).collect();
    let spec = JobSpec {
        class: j.class,
        team: j.team,
        kind: j.kind,
        priority: j.priority,
        tasks: j.tasks,
        cpus: j.cpus,
        gpus: j.gpus,
        memory_gb: j.memory_gb,
        image: j.image,
        image_gb: j.image_gb,
        machine_types: j.types,
        zone: j.zone,
        one_zone: j.one_zone,
        spread: j.spread,
        spot: j.spot,
        runtime_estimate_s: j.estimate_s,
        checkpoint_interval_s: j.checkpoint_s,
        checkpoint_duration_s: j.save_s,
        deadline_s: j.deadline_s,
    };
    Ok((spec, awaits))
}

impl JobCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            JobCommand::Submit { file, id, awaits: more, to } => {
                let (spec, mut awaits) = load_job_file(&file)?;
                awaits.extend(more.into_iter().map(JobId::from));
                let id = id.unwrap_or_else(|| format!("wk-{:012x}", rand::random::<u64>() >> 16));
                let id = checked_job_id(&id)?;
                let client = || Client::new(to.to.clone());
                let answer = block_on(async { client().submit(id, &spec, &awaits).await })?;
                print_job_status(&answer, to.json);
            }
            JobCommand::Poll { job, to } => {
                let id = checked_job_id(&job)?;
                let answer = block_on(async { Client::new(to.to.clone()).poll(id).await })?;
                print_job_status(&answer, to.json);
            }
            JobCommand::Cancel { job, to } => {
                let id = checked_job_id(&job)?;
                let answer = block_on(async { Client::new(to.to.clone()).cancel(id).await })?;
                print_job_status(&answer, to.json);
            }
            JobCommand::Jobs { admin } => list_jobs(&admin)?,
        }
        Ok(())
    }
}

fn checked_job_id(id: &str) -> Result<&str, String> {
    let why = || format!("`{id}` has not the form of a job's id: wk- and letters or digits");
    is_valid_job_id(id).then_some(id).ok_or_else(why)
}

fn print_job_status(answer: &JobStatusResponse, as_json: bool) {
    let value = serde_json::to_value(answer).unwrap_or(Value::Null);
    let shown = json!({
        "job": answer.id, "status": value["status"],
        "done": answer.tasks_done, "running": answer.tasks_running,
    });
    if as_json {
        output::print_json(&shown);
    } else {
        let fields = ["job", "status", "running", "done"];
        output::print_table(&fields, vec![output::row_cells(&shown, &fields)]);
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
