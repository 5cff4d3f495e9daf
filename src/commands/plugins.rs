//! Plug-ins: add, list, show, switch on and off, remove, explain.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use serde_json::Value;
use std::error::Error;
use std::path::{Path, PathBuf};
use swiftsail_policy::constants::DEFAULT_PRECEDENCE;
use swiftsail_policy::plugin::{PluginKind, PluginOffer, is_valid_name};
use swiftsail_policy::plugin_host::{PluginHost, try_hook};

/// What may be done with plug-ins.
#[derive(Debug, Subcommand)]
pub enum PluginCommand {
    /// Add a plug-in, or another version of one, and switch it on
    Add {
        /// Its name
        name: String,
        /// Its source: functions (.rhai), or an address to report to (.toml)
        file: PathBuf,
        /// Order of precedence: the lower the stronger
        #[arg(long, default_value_t = DEFAULT_PRECEDENCE)]
        precedence: u32,
        /// Leave it switched off
        #[arg(long)]
        disabled: bool,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// List the plug-ins, in the order in which they speak
    List {
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show one plug-in
    Show {
        /// Its name
        name: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Switch a plug-in on, also one that was suspended
    Enable {
        /// Its name
        name: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Switch a plug-in off
    Disable {
        /// Its name
        name: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Remove a plug-in
    Remove {
        /// Its name
        name: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show who said what of a job, and what was taken
    Explain {
        /// The job's id
        job: String,
        /// Where it goes
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Check a plug-in's file without a service
    Check {
        /// The file
        file: PathBuf,
    },
}

fn read_plugin_file(file: &Path) -> Result<(PluginKind, String), Box<dyn Error>> {
    let name = file.display();
    let kind = match file.extension().and_then(|e| e.to_str()) {
        Some("rhai") => PluginKind::Decision,
        Some("toml") => PluginKind::EventReceiver,
        _ => return Err(format!("plug-in {name}: give a file that ends in .rhai or .toml").into()),
    };
    let source = std::fs::read_to_string(file)
        .map_err(|e| format!("plug-in {name}: cannot be read: {e}; give a readable file"))?;
    Ok((kind, source))
}

/// Checks a plug-in's file here: it compiles, and its hooks answer sensibly on samples.
fn check_plugin_file(file: &Path) -> Result<(PluginKind, String), Box<dyn Error>> {
    let (kind, source) = read_plugin_file(file)?;
    let refused = |flaw| format!("plug-in {}: {flaw}", file.display());
    for hook in PluginHost::default().validate_source(kind, &source).map_err(refused)? {
        try_hook(&source, hook)
            .map_err(|flaw| format!("{} (hook {} on samples)", refused(flaw), hook.name()))?;
    }
    Ok((kind, source))
}

impl PluginCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let one = |template: &str, name: &str| template.replace("{name}", name);
        match self {
            PluginCommand::Check { file } => {
                check_plugin_file(&file)?;
                output::print_line(&format!("{}: the plug-in is sound", file.display()));
            }
            PluginCommand::Add { name, file, precedence, disabled, admin } => {
                if !is_valid_name(&name) {
                    let why = "a name has 1 to 40 lower-case letters, digits and dashes";
                    return Err(format!("plug-in `{name}`: {why}").into());
                }
                // Here only the form is checked: what it does is the service's to judge.
                let (kind, source) = read_plugin_file(&file)?;
                let offer = PluginOffer { kind, source, precedence, enable: !disabled };
                let body = serde_json::to_vec(&offer)?;
                send_plugin_change(&admin, "PUT", &one(path::PLUGIN, &name), body)?;
            }
            PluginCommand::Enable { name, admin } => {
                send_plugin_change(&admin, "POST", &one(path::ENABLE, &name), Vec::new())?;
            }
            PluginCommand::Disable { name, admin } => {
                send_plugin_change(&admin, "POST", &one(path::DISABLE, &name), Vec::new())?;
            }
            PluginCommand::Remove { name, admin } => {
                send_plugin_change(&admin, "DELETE", &one(path::PLUGIN, &name), Vec::new())?;
            }
            PluginCommand::List { admin } => list_plugins(&admin)?,
            PluginCommand::Show { name, admin } => {
                let all = admin_request(&admin, "GET", path::PLUGINS, Vec::new())?;
                let mut found = all["plugins"].as_array().into_iter().flatten();
                let found = found.find(|p| p["name"] == name.as_str());
                let found = found.ok_or_else(|| format!("no plug-in `{name}`; see plugin list"))?;
                output::print_fields(found, admin.json);
            }
            PluginCommand::Explain { job, admin } => {
                let path = path::EXPLAIN.replace("{id}", &job);
                let found = admin_request(&admin, "GET", &path, Vec::new())?;
                print_explanation(&found, admin.json);
            }
        }
        Ok(())
    }
}

fn send_plugin_change(
    admin: &AdminTarget,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<(), Box<dyn Error>> {
    let done = admin_request(admin, method, path, body)?;
    if admin.json {
        output::print_json(&done);
    } else {
        let said = format!(
            "{}: {}",
            output::cell_text(&done["plugin"]),
            output::cell_text(&done["status"])
        );
        output::print_line(&said);
    }
    Ok(())
}

fn list_plugins(admin: &AdminTarget) -> Result<(), Box<dyn Error>> {
    let all = admin_request(admin, "GET", path::PLUGINS, Vec::new())?;
    if admin.json {
        output::print_json(&all);
        return Ok(());
    }
    let fields =
        ["name", "kind", "state", "version", "precedence", "hooks", "calls", "ops", "reason"];
    let rows = all["plugins"].as_array().into_iter().flatten();
    output::print_table(&fields, rows.map(|p| output::row_cells(p, &fields)).collect());
    Ok(())
}

fn print_explanation(found: &Value, as_json: bool) {
    if as_json {
        return output::print_json(found);
    }
    let mut rows = Vec::new();
    for part in ["waits", "limit"] {
        let said = if part == "limit" { &found["waits"]["limit"] } else { &found["waits"] };
        for (name, value) in said.as_object().into_iter().flatten().filter(|(_, v)| !v.is_object())
        {
            rows.push(vec![name.clone(), part.into(), output::cell_text(value)]);
        }
    }
    for lent in found["lent"].as_array().into_iter().flatten() {
        rows.push(vec!["lent".into(), "loans".into(), output::cell_text(lent)]);
    }
    for (name, value) in found["policy"].as_object().into_iter().flatten() {
        rows.push(vec![name.clone(), "policy".into(), output::cell_text(value)]);
    }
    for (hook, verdict) in found["hooks"].as_object().into_iter().flatten() {
        for said in verdict["said"].as_array().into_iter().flatten() {
            let answer = if said["fault"].is_null() { &said["answer"] } else { &said["fault"] };
            let answer = answer.as_object().and_then(|o| o.values().next()).unwrap_or(answer);
            rows.push(vec![
                hook.clone(),
                output::cell_text(&said["plugin"]),
                output::cell_text(answer),
            ]);
        }
    }
    for (name, value) in found["taken"].as_object().into_iter().flatten() {
        rows.push(vec![name.clone(), "taken".into(), output::cell_text(value)]);
    }
    output::print_table(&["what", "who", "said"], rows);
}
