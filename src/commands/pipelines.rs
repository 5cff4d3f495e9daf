//! Pipelines: what a job waits for, what waits for it, and by when each has to be done.

use super::{Admin, ask, show};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;

/// What may be done with pipelines.
#[derive(Debug, Subcommand)]
pub enum PipelineCommand {
    /// Show the jobs before and after one that are not over, their deadlines along the chain, and what each waits for
    Show {
        /// The id of any job of the pipeline that is not over
        job: String,
        /// Where it goes
        #[command(flatten)]
        admin: Admin,
    },
}

impl PipelineCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let PipelineCommand::Show { job, admin } = self;
        let all = ask(&admin, "GET", &path::PIPELINE.replace("{id}", &job), Vec::new())?;
        if admin.json {
            show::json(&all);
            return Ok(());
        }
        let fields =
            ["job", "class", "state", "priority", "tasks", "done", "left_s", "awaits", "waits_for"];
        let rows = all["jobs"].as_array().into_iter().flatten();
        show::table(&fields, rows.map(|j| show::cells(j, &fields)).collect());
        Ok(())
    }
}
