//! The `loan` subcommand: loans of accelerators between jobs.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;

/// Commands for loans of accelerators.
#[derive(Debug, Subcommand)]
pub enum LoanCommand {
    /// List the loans of accelerators: lender, borrower, machine and stage
    List {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the loans in which a job lends or borrows
    Show {
        /// Id of the job
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
}

impl LoanCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let (admin, path) = match self {
            LoanCommand::List { admin } => (admin, path::LOANS.to_string()),
            LoanCommand::Show { job, admin } => (admin, format!("{}?of={job}", path::LOANS)),
        };
        let response = admin_request(&admin, "GET", &path, Vec::new())?;
        if admin.json {
            output::print_json(&response);
            return Ok(());
        }
        let fields = ["lender", "borrower", "machine", "gpus", "stage", "for_s"];
        let rows = response["loans"].as_array().into_iter().flatten();
        output::print_table(&fields, rows.map(|l| output::row_cells(l, &fields)).collect());
        Ok(())
    }
}
