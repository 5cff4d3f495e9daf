//! The `tier` subcommand: list, show and replace the tier table, and explain the tier of a job.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;
use std::path::PathBuf;
use swiftsail_controller::controller::tier_table_from_settings;
use swiftsail_policy::operator_settings::{OperatorSettings, line_and_column};
use swiftsail_tiers::{TierTable, TierTableError, TierTableRecord};

/// Commands for tiers.
#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// List the tiers in force, with the waiting jobs and tasks of each
    List {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the tier table in force: its version, and whether it is stored in the state service
    Show {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Replace the tier table by the [tiers] table of an operators' file, if its version is higher
    Set {
        /// The operators' file
        file: PathBuf,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show why a job is in its tier, and how many jobs wait ahead of it
    Explain {
        /// Id of the job
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// Validates and returns the tier table of an operators' file, or none if the file has no `[tiers]` table. An error
/// states the file, the position and the remedy.
pub fn load_tier_table(
    file: &std::path::Path,
    operator: &OperatorSettings,
) -> Result<Option<TierTableRecord>, String> {
    let Some(tiers) = &operator.tiers else { return Ok(None) };
    let record = tier_table_from_settings(tiers);
    match TierTable::new(record.clone()) {
        Ok(_) => Ok(Some(record)),
        Err(error) => Err(format_table_error(file, operator, &error)),
    }
}

/// Formats an error in a tier table with its position in the file.
fn format_table_error(
    file: &std::path::Path,
    operator: &OperatorSettings,
    error: &TierTableError,
) -> String {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let tier = operator.tiers.as_ref().and_then(|t| t.tier.get(error.number.saturating_sub(1)));
    let (line, column) = tier.map_or((0, 0), |t| line_and_column(&text, t.when.span().start));
    // The span includes the opening quote. Adding the column, which counts from 1, skips it.
    let column = if error.line <= 1 { column + error.column } else { error.column };
    let line = line + error.line.saturating_sub(1);
    let cause = &error.cause;
    format!(
        "operators' file {}, line {line}, column {column}: tier `{}`: {cause}",
        file.display(),
        error.name
    )
}

impl TierCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            TierCommand::List { admin } => {
                let response = admin_request(&admin, "GET", path::TIERS, Vec::new())?;
                if admin.json {
                    output::print_json(&response);
                    return Ok(());
                }
                let fields =
                    ["tier", "when", "ordered", "jobs", "tasks_waiting", "first", "held_by_limit"];
                let rows = response["tiers"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|t| output::row_cells(t, &fields)).collect());
            }
            TierCommand::Show { admin } => {
                let mut table = admin_request(&admin, "GET", path::TIERS, Vec::new())?;
                if let Some(tiers) = table["tiers"].as_array() {
                    let names = tiers.iter().map(|t| t["tier"].clone()).collect();
                    table["tiers"] = serde_json::Value::Array(names);
                }
                output::print_fields(&table, admin.json);
            }
            TierCommand::Set { file, admin } => {
                let operator = OperatorSettings::load(&file)?;
                let file_name = file.display();
                let table = load_tier_table(&file, &operator)?.ok_or_else(|| {
                    format!("operators' file {file_name}: expected a [tiers] table, found none")
                })?;
                let response =
                    admin_request(&admin, "PUT", path::TIERS, serde_json::to_vec(&table)?)?;
                if admin.json {
                    output::print_json(&response);
                } else {
                    output::print_line(&format!("tiers, version {}: committed", table.version));
                }
            }
            TierCommand::Explain { job, admin } => {
                let path = path::JOB_TIER.replace("{id}", &job);
                let explanation = admin_request(&admin, "GET", &path, Vec::new())?;
                output::print_fields(&explanation, admin.json);
            }
        }
        Ok(())
    }
}
