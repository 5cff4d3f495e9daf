//! Pipelines: what a job waits for, what waits for it, and by when each has to be done.

use super::{AdminTarget, admin_request, output};
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
        admin: AdminTarget,
    },
}

impl PipelineCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let PipelineCommand::Show { job, admin } = self;
        let all = admin_request(&admin, "GET", &path::PIPELINE.replace("{id}", &job), Vec::new())?;
        if admin.json {
            output::print_json(&all);
            return Ok(());
        }
        let fields =
            ["job", "class", "state", "priority", "tasks", "done", "left_s", "awaits", "waits_for"];
        let rows = all["jobs"].as_array().into_iter().flatten();
        output::print_table(&fields, rows.map(|j| output::row_cells(j, &fields)).collect());
        Ok(())
    }
}
