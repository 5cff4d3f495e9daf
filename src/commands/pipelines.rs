//! The `pipeline` subcommand: the dependencies and dependents of a job, with their deadlines.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;

/// Commands for pipelines of dependent jobs.
#[derive(Debug, Subcommand)]
pub enum PipelineCommand {
    /// Show the live dependencies and dependents of a job, their deadlines along the chain, and what each waits for
    Show {
        /// Id of any live job of the pipeline
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
}

impl PipelineCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let PipelineCommand::Show { job, admin } = self;
        let response =
            admin_request(&admin, "GET", &path::PIPELINE.replace("{id}", &job), Vec::new())?;
        if admin.json {
            output::print_json(&response);
            return Ok(());
        }
        let fields =
            ["job", "class", "state", "priority", "tasks", "done", "left_s", "awaits", "waits_for"];
        let rows = response["jobs"].as_array().into_iter().flatten();
        output::print_table(&fields, rows.map(|j| output::row_cells(j, &fields)).collect());
        Ok(())
    }
}
