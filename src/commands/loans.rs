//! Loans: list, show.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;

/// What may be done with loans.
#[derive(Debug, Subcommand)]
pub enum LoanCommand {
    /// List the accelerators lent: by whom, to whom, where, and how far that is
    List {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show what one job has lent and borrowed
    Show {
        /// The job's id
        job: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
}

impl LoanCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let (admin, path) = match self {
            LoanCommand::List { admin } => (admin, path::LOANS.to_string()),
            LoanCommand::Show { job, admin } => (admin, format!("{}?of={job}", path::LOANS)),
        };
        let all = admin_request(&admin, "GET", &path, Vec::new())?;
        if admin.json {
            output::print_json(&all);
            return Ok(());
        }
        let fields = ["lender", "borrower", "machine", "gpus", "stage", "for_s"];
        let rows = all["loans"].as_array().into_iter().flatten();
        output::print_table(&fields, rows.map(|l| output::row_cells(l, &fields)).collect());
        Ok(())
    }
}
