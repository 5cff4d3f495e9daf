//! The `dispatch` subcommand: arrivals and the chains of steps that must be done before them.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use serde_json::{Value, json};
use std::error::Error;
use std::path::{Path, PathBuf};
use swiftsail_controller::controller::compile_deadline_plan;
use swiftsail_policy::operator_settings::OperatorSettings;

/// Commands for arrivals.
#[derive(Debug, Subcommand)]
pub enum DispatchCommand {
    /// List the arrivals of the next day: the phase of each, the step that blocks it, and the reason
    List {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the steps of an arrival: their jobs, deadlines and latest starts
    Show {
        /// Name of the arrival, or its key in the list
        arrival: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show in one line which step blocks an arrival, and why
    Why {
        /// Name of the arrival, or its key in the list
        arrival: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Add one arrival
    Add {
        /// Name of the arrival
        name: String,
        /// Chain of steps that must be done before the arrival
        #[arg(long)]
        chain: String,
        /// Time of the arrival, as 2026-12-24T06:30:00+01:00 or 2026-12-24T06:30[Europe/Stockholm]
        #[arg(long)]
        at: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Replace the dispatch plan by the [dispatch] table of an operators' file, if its version is higher
    Set {
        /// The operators' file
        file: PathBuf,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// Validates the dispatch plan of an operators' file. Returns the plan as JSON, or none if the file has no `[dispatch]`
/// table. An error states the file, if possible the line, and the remedy.
pub fn load_dispatch_plan(
    file: &Path,
    operator: &OperatorSettings,
) -> Result<Option<Value>, String> {
    let Some(table) = &operator.dispatch else { return Ok(None) };
    let plan = compile_deadline_plan(table.clone()).map_err(|cause| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        // The error message quotes the faulty name in backticks.
        let name = cause.split('`').nth(1).unwrap_or_default();
        let line =
            text.lines().position(|l| !name.is_empty() && l.contains(&format!("\"{name}\"")));
        let position = line.map_or(String::new(), |n| format!(", line {}", n + 1));
        format!("operators' file {}{position}: {cause}", file.display())
    })?;
    serde_json::to_value(plan.plan()).map(Some).map_err(|e| e.to_string())
}

/// Parses a timestamp or zoned date and time. Returns milliseconds since the Unix epoch.
fn parse_time(text: &str) -> Result<i64, String> {
    let timestamp = text.parse::<jiff::Timestamp>().map(|t| t.as_millisecond());
    let zoned = || text.parse::<jiff::Zoned>().map(|z| z.timestamp().as_millisecond());
    timestamp.or_else(|_| zoned()).map_err(|_| {
        format!(
            "expected a time such as 2026-12-24T06:30:00+01:00 or 2026-12-24T06:30[Europe/Stockholm], got `{text}`"
        )
    })
}

impl DispatchCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            DispatchCommand::List { admin } => {
                let response = admin_request(&admin, "GET", path::DISPATCH, Vec::new())?;
                if admin.json {
                    output::print_json(&response);
                    return Ok(());
                }
                let fields = ["arrival", "chain", "phase", "in_s", "stuck_at", "why"];
                let rows = response["arrivals"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|a| output::row_cells(a, &fields)).collect());
            }
            DispatchCommand::Show { arrival, admin } => {
                let arrival = fetch_arrival(&admin, &arrival)?;
                if admin.json {
                    output::print_json(&arrival);
                    return Ok(());
                }
                let fields = ["step", "stage", "job", "left_s", "deadline_ms", "latest_start_ms"];
                let rows = arrival["steps"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|s| output::row_cells(s, &fields)).collect());
            }
            DispatchCommand::Why { arrival, admin } => {
                let arrival = fetch_arrival(&admin, &arrival)?;
                let cell = |name: &str| output::cell_text(&arrival[name]);
                let summary = match arrival["stuck_at"].is_null() {
                    true => format!("{}: {}, nothing is stuck", cell("arrival"), cell("phase")),
                    false => format!(
                        "{}: {}, stuck at {}: {}; the arrival is in {} s",
                        cell("arrival"),
                        cell("phase"),
                        cell("stuck_at"),
                        cell("why"),
                        cell("in_s")
                    ),
                };
                output::print_line(&summary);
            }
            DispatchCommand::Add { name, chain, at, admin } => {
                let body = json!({ "name": name, "chain": chain, "at_ms": parse_time(&at)? });
                let response =
                    admin_request(&admin, "POST", path::DISPATCH, serde_json::to_vec(&body)?)?;
                if admin.json {
                    output::print_json(&response);
                } else {
                    output::print_line(&format!(
                        "{}: {}",
                        output::cell_text(&response["record"]),
                        output::cell_text(&response["status"])
                    ));
                }
            }
            DispatchCommand::Set { file, admin } => {
                let operator = OperatorSettings::load(&file)?;
                let file_name = file.display();
                let plan = load_dispatch_plan(&file, &operator)?.ok_or_else(|| {
                    format!("operators' file {file_name}: expected a [dispatch] table, found none")
                })?;
                admin_request(&admin, "PUT", path::DISPATCH, serde_json::to_vec(&plan)?)?;
                output::print_line(&format!(
                    "dispatch plan, version {}: committed",
                    plan["version"]
                ));
            }
        }
        Ok(())
    }
}

/// Fetches the arrival of this name or key. If a name has several occurrences, it is the next one.
fn fetch_arrival(admin: &AdminTarget, arrival: &str) -> Result<Value, Box<dyn Error>> {
    let path = format!("{}?of={arrival}", path::DISPATCH);
    let response = admin_request(admin, "GET", &path, Vec::new())?;
    let first = response["arrivals"].as_array().and_then(|a| a.first()).cloned();
    first.ok_or_else(|| {
        format!("no arrival `{arrival}` within the next day; see `swiftsail dispatch list`").into()
    })
}
