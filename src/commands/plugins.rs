//! The `plugin` subcommand: add, list, show, enable, disable, remove, explain, check.

use super::{AdminTarget, admin_request, output};
use crate::admin::path;
use clap::Subcommand;
use serde_json::Value;
use std::error::Error;
use std::path::{Path, PathBuf};
use swiftsail_policy::constants::DEFAULT_PRECEDENCE;
use swiftsail_policy::plugin::{PluginKind, PluginOffer, is_valid_name};
use swiftsail_policy::plugin_host::{PluginHost, try_hook};

/// Commands for plug-ins.
#[derive(Debug, Subcommand)]
pub enum PluginCommand {
    /// Add a plug-in, or a new version of one, and enable it
    Add {
        /// Name of the plug-in
        name: String,
        /// Source file: hook functions (.rhai), or the address of an event receiver (.toml)
        file: PathBuf,
        /// Precedence of the plug-in: lower numbers take precedence
        #[arg(long, default_value_t = DEFAULT_PRECEDENCE)]
        precedence: u32,
        /// Do not enable it
        #[arg(long)]
        disabled: bool,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// List the plug-ins in the order in which they are called
    List {
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show one plug-in
    Show {
        /// Name of the plug-in
        name: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Enable a plug-in, including a suspended one
    Enable {
        /// Name of the plug-in
        name: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Disable a plug-in
    Disable {
        /// Name of the plug-in
        name: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Remove a plug-in
    Remove {
        /// Name of the plug-in
        name: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Show the answers of policy and plug-ins for a job, and the values applied
    Explain {
        /// Id of the job
        job: String,
        /// Addresses of the controllers and output format
        #[command(flatten)]
        admin: AdminTarget,
    },
    /// Validate a plug-in's file without a running service
    Check {
        /// Source file of the plug-in
        file: PathBuf,
    },
}

fn read_plugin_file(file: &Path) -> Result<(PluginKind, String), Box<dyn Error>> {
    let name = file.display();
    let kind = match file.extension().and_then(|e| e.to_str()) {
        Some("rhai") => PluginKind::Decision,
        Some("toml") => PluginKind::EventReceiver,
        _ => {
            return Err(
                format!("plug-in file {name}: expected the extension .rhai or .toml").into()
            );
        }
    };
    let source = std::fs::read_to_string(file).map_err(|e| {
        format!("plug-in file {name}: cannot read it: {e}; give the path of a readable file")
    })?;
    Ok((kind, source))
}

/// Validates a plug-in's file: it must compile, and its hooks must return valid answers for sample inputs.
fn check_plugin_file(file: &Path) -> Result<(PluginKind, String), Box<dyn Error>> {
    let (kind, source) = read_plugin_file(file)?;
    let file_error = |cause| format!("plug-in file {}: {cause}", file.display());
    for hook in PluginHost::default().validate_source(kind, &source).map_err(file_error)? {
        try_hook(&source, hook).map_err(|cause| {
            format!("{} (hook {}, sample input)", file_error(cause), hook.name())
        })?;
    }
    Ok((kind, source))
}

impl PluginCommand {
    /// Runs the command and prints its result. Fails if an argument or a file is invalid, the service does not respond,
    /// or it rejects the request.
    pub fn run(self) -> Result<(), Box<dyn Error>> {
        let plugin_path = |template: &str, name: &str| template.replace("{name}", name);
        match self {
            PluginCommand::Check { file } => {
                check_plugin_file(&file)?;
                output::print_line(&format!("{}: the plug-in is sound", file.display()));
            }
            PluginCommand::Add { name, file, precedence, disabled, admin } => {
                if !is_valid_name(&name) {
                    let expected = "expected 1 to 40 lower-case letters, digits and dashes";
                    return Err(format!("invalid plug-in name `{name}`: {expected}").into());
                }
                // The service validates the source.
                let (kind, source) = read_plugin_file(&file)?;
                let offer = PluginOffer { kind, source, precedence, enable: !disabled };
                let body = serde_json::to_vec(&offer)?;
                send_plugin_change(&admin, "PUT", &plugin_path(path::PLUGIN, &name), body)?;
            }
            PluginCommand::Enable { name, admin } => {
                send_plugin_change(&admin, "POST", &plugin_path(path::ENABLE, &name), Vec::new())?;
            }
            PluginCommand::Disable { name, admin } => {
                send_plugin_change(&admin, "POST", &plugin_path(path::DISABLE, &name), Vec::new())?;
            }
            PluginCommand::Remove { name, admin } => {
                send_plugin_change(
                    &admin,
                    "DELETE",
                    &plugin_path(path::PLUGIN, &name),
                    Vec::new(),
                )?;
            }
            PluginCommand::List { admin } => list_plugins(&admin)?,
            PluginCommand::Show { name, admin } => {
                let response = admin_request(&admin, "GET", path::PLUGINS, Vec::new())?;
                let mut plugins = response["plugins"].as_array().into_iter().flatten();
                let plugin = plugins.find(|p| p["name"] == name.as_str());
                let plugin = plugin
                    .ok_or_else(|| format!("no plug-in `{name}`; see `swiftsail plugin list`"))?;
                output::print_fields(plugin, admin.json);
            }
            PluginCommand::Explain { job, admin } => {
                let path = path::EXPLAIN.replace("{id}", &job);
                let explanation = admin_request(&admin, "GET", &path, Vec::new())?;
                print_explanation(&explanation, admin.json);
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
    let response = admin_request(admin, method, path, body)?;
    if admin.json {
        output::print_json(&response);
    } else {
        let summary = format!(
            "{}: {}",
            output::cell_text(&response["plugin"]),
            output::cell_text(&response["status"])
        );
        output::print_line(&summary);
    }
    Ok(())
}

fn list_plugins(admin: &AdminTarget) -> Result<(), Box<dyn Error>> {
    let response = admin_request(admin, "GET", path::PLUGINS, Vec::new())?;
    if admin.json {
        output::print_json(&response);
        return Ok(());
    }
    let fields =
        ["name", "kind", "state", "version", "precedence", "hooks", "calls", "ops", "reason"];
    let rows = response["plugins"].as_array().into_iter().flatten();
    output::print_table(&fields, rows.map(|p| output::row_cells(p, &fields)).collect());
    Ok(())
}

fn print_explanation(explanation: &Value, as_json: bool) {
    if as_json {
        return output::print_json(explanation);
    }
    let mut rows = Vec::new();
    let waits = &explanation["waits"];
    for (section, object) in [("waits", waits), ("limit", &waits["limit"])] {
        let fields = object.as_object().into_iter().flatten();
        for (name, value) in fields.filter(|(_, value)| !value.is_object()) {
            rows.push(vec![name.clone(), section.into(), output::cell_text(value)]);
        }
    }
    for loan in explanation["lent"].as_array().into_iter().flatten() {
        rows.push(vec!["lent".into(), "loans".into(), output::cell_text(loan)]);
    }
    for (name, value) in explanation["policy"].as_object().into_iter().flatten() {
        rows.push(vec![name.clone(), "policy".into(), output::cell_text(value)]);
    }
    for (hook, result) in explanation["hooks"].as_object().into_iter().flatten() {
        for response in result["said"].as_array().into_iter().flatten() {
            let fault = &response["fault"];
            let answer = if fault.is_null() { &response["answer"] } else { fault };
            let answer = answer.as_object().and_then(|o| o.values().next()).unwrap_or(answer);
            rows.push(vec![
                hook.clone(),
                output::cell_text(&response["plugin"]),
                output::cell_text(answer),
            ]);
        }
    }
    for (name, value) in explanation["taken"].as_object().into_iter().flatten() {
        rows.push(vec![name.clone(), "taken".into(), output::cell_text(value)]);
    }
    output::print_table(&["what", "who", "said"], rows);
}
