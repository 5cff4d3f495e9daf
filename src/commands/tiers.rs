//! Tiers: list, show, set, explain.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use std::error::Error;
use std::path::PathBuf;
use swiftsail_controller::controller::tier_table_from_settings;
use swiftsail_policy::operator_settings::{OperatorSettings, line_and_column};
use swiftsail_tiers::{TierTable, TierTableError, TierTableRecord};

/// What may be done with tiers.
#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// List the tiers in force, and what waits in each
    List {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the table in force: its version, and whether it is held in the state service
    Show {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Put the [tiers] table of an operators' file in force, if its version is higher than the one there
    Set {
        /// The file
        file: PathBuf,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show why a job is of its tier, and how many wait ahead of it
    Explain {
        /// The job's id
        job: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// The table of an operators' file, checked; none: it has none. An error names the file, the line and the remedy.
pub fn load_tier_table(
    file: &std::path::Path,
    operator: &OperatorSettings,
) -> Result<Option<TierTableRecord>, String> {
    let Some(tiers) = &operator.tiers else { return Ok(None) };
    let record = tier_table_from_settings(tiers);
    match TierTable::new(record.clone()) {
        Ok(_) => Ok(Some(record)),
        Err(flawed) => Err(error_location(file, operator, &flawed)),
    }
}

/// Where in the file a flaw of a table lies.
fn error_location(
    file: &std::path::Path,
    operator: &OperatorSettings,
    flawed: &TierTableError,
) -> String {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let when = operator.tiers.as_ref().and_then(|t| t.tier.get(flawed.number.saturating_sub(1)));
    let (line, column) = when.map_or((0, 0), |t| line_and_column(&text, t.when.span().start));
    // The text begins behind its quotes.
    let right = if flawed.line <= 1 { column + flawed.column } else { flawed.column };
    let line = line + flawed.line.saturating_sub(1);
    let cause = &flawed.cause;
    format!(
        "operators' file {}, line {line}, column {right}: tier `{}`: {cause}",
        file.display(),
        flawed.name
    )
}

impl TierCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            TierCommand::List { admin } => {
                let all = admin_request(&admin, "GET", path::TIERS, Vec::new())?;
                if admin.json {
                    output::print_json(&all);
                    return Ok(());
                }
                let fields =
                    ["tier", "when", "ordered", "jobs", "tasks_waiting", "first", "held_by_limit"];
                let rows = all["tiers"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|t| output::row_cells(t, &fields)).collect());
            }
            TierCommand::Show { admin } => {
                let mut all = admin_request(&admin, "GET", path::TIERS, Vec::new())?;
                if let Some(tiers) = all["tiers"].as_array() {
                    let names = tiers.iter().map(|t| t["tier"].clone()).collect();
                    all["tiers"] = serde_json::Value::Array(names);
                }
                output::print_fields(&all, admin.json);
            }
            TierCommand::Set { file, admin } => {
                let operator = OperatorSettings::load(&file)?;
                let name = file.display();
                let table = load_tier_table(&file, &operator)?.ok_or_else(|| {
                    format!("operators' file {name}: it has no [tiers] table; add one")
                })?;
                let done = admin_request(&admin, "PUT", path::TIERS, serde_json::to_vec(&table)?)?;
                if admin.json {
                    output::print_json(&done);
                } else {
                    output::print_line(&format!("tiers, version {}: committed", table.version));
                }
            }
            TierCommand::Explain { job, admin } => {
                let path = path::JOB_TIER.replace("{id}", &job);
                let found = admin_request(&admin, "GET", &path, Vec::new())?;
                output::print_fields(&found, admin.json);
            }
        }
        Ok(())
    }
}
