//! Dispatch: list, show, add, why, set.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use serde_json::{Value, json};
use std::error::Error;
use std::path::{Path, PathBuf};
use swiftsail_controller::controller::compile_deadline_plan;
use swiftsail_policy::operator_settings::OperatorSettings;

/// What may be done with arrivals.
#[derive(Debug, Subcommand)]
pub enum DispatchCommand {
    /// List the arrivals of the next day: where each stands, what is stuck and why
    List {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the steps of an arrival: their jobs, deadlines and latest starts
    Show {
        /// Its name, or its key in the list
        arrival: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Say in one line what an arrival is stuck at, and why
    Why {
        /// Its name, or its key in the list
        arrival: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Add one arrival
    Add {
        /// Its name
        name: String,
        /// The chain that must be done before
        #[arg(long)]
        chain: String,
        /// When, as 2026-12-24T06:30:00+01:00 or 2026-12-24T06:30[Europe/Stockholm]
        #[arg(long)]
        at: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Put the [dispatch] table of an operators' file in force, if its version is higher than the one there
    Set {
        /// The file
        file: PathBuf,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
}

/// Checks the dispatch plan of an operators' file. An error names the file, the line of what it is about, and the
/// remedy.
pub fn load_dispatch_plan(
    file: &Path,
    operator: &OperatorSettings,
) -> Result<Option<Value>, String> {
    let Some(table) = &operator.dispatch else { return Ok(None) };
    let calendar = compile_deadline_plan(table.clone()).map_err(|why| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let name = why.split('`').nth(1).unwrap_or_default();
        let line =
            text.lines().position(|l| !name.is_empty() && l.contains(&format!("\"{name}\"")));
        let at = line.map_or(String::new(), |n| format!(", line {}", n + 1));
        format!("operators' file {}{at}: {why}", file.display())
    })?;
    serde_json::to_value(calendar.plan()).map(Some).map_err(|e| e.to_string())
}

/// A time of day as ms since the epoch.
fn parse_time(text: &str) -> Result<i64, String> {
    let stamp = text.parse::<jiff::Timestamp>().map(|t| t.as_millisecond());
    let zoned = || text.parse::<jiff::Zoned>().map(|z| z.timestamp().as_millisecond());
    stamp.or_else(|_| zoned()).map_err(|_| {
        format!(
            "`{text}` is no time; write it as 2026-12-24T06:30:00+01:00 or with [Europe/Stockholm]"
        )
    })
}

impl DispatchCommand {
    /// Does it.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            DispatchCommand::List { admin } => {
                let all = admin_request(&admin, "GET", path::DISPATCH, Vec::new())?;
                if admin.json {
                    output::print_json(&all);
                    return Ok(());
                }
                let fields = ["arrival", "chain", "phase", "in_s", "stuck_at", "why"];
                let rows = all["arrivals"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|a| output::row_cells(a, &fields)).collect());
            }
            DispatchCommand::Show { arrival, admin } => {
                let found = fetch_arrival(&admin, &arrival)?;
                if admin.json {
                    output::print_json(&found);
                    return Ok(());
                }
                let fields = ["step", "stage", "job", "left_s", "deadline_ms", "latest_start_ms"];
                let rows = found["steps"].as_array().into_iter().flatten();
                output::print_table(&fields, rows.map(|s| output::row_cells(s, &fields)).collect());
            }
            DispatchCommand::Why { arrival, admin } => {
                let found = fetch_arrival(&admin, &arrival)?;
                let cell = |name: &str| output::cell_text(&found[name]);
                let said = match found["stuck_at"].is_null() {
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
                output::print_line(&said);
            }
            DispatchCommand::Add { name, chain, at, admin } => {
                let body = json!({ "name": name, "chain": chain, "at_ms": parse_time(&at)? });
                let done =
                    admin_request(&admin, "POST", path::DISPATCH, serde_json::to_vec(&body)?)?;
                if admin.json {
                    output::print_json(&done);
                } else {
                    output::print_line(&format!(
                        "{}: {}",
                        output::cell_text(&done["record"]),
                        output::cell_text(&done["status"])
                    ));
                }
            }
            DispatchCommand::Set { file, admin } => {
                let operator = OperatorSettings::load(&file)?;
                let name = file.display();
                let plan = load_dispatch_plan(&file, &operator)?.ok_or_else(|| {
                    format!("operators' file {name}: it has no [dispatch] table; add one")
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

/// The one arrival of that name or key, the next if it comes again.
fn fetch_arrival(admin: &AdminTarget, arrival: &str) -> Result<Value, Box<dyn Error>> {
    let all = admin_request(admin, "GET", &format!("{}?of={arrival}", path::DISPATCH), Vec::new())?;
    let found = all["arrivals"].as_array().and_then(|a| a.first()).cloned();
    found.ok_or_else(|| format!("no arrival `{arrival}` in the next day; see dispatch list").into())
}
