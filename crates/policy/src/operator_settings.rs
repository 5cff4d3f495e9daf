//! The operators' file: settings of the operators of this service, in addition to the platform's settings file. Like
//! that file it is TOML and validated when it is loaded. Every feature in it is off by default.

use crate::expression_engine::Diagnostic;
use crate::scheduling_policy::{SchedulingPolicy, parameter_names};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

/// Reason for rejecting an operators' file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file could not be read.
    #[error(
        "operators' file {file}: cannot be read: {cause}; give the path of a readable TOML file"
    )]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML, or has unknown or mistyped fields.
    #[error("operators' file {file}: {cause}")]
    Parse {
        /// Path of the file.
        file: String,
        /// Error of the parser, with line and field.
        cause: Box<toml::de::Error>,
    },
    /// A policy expression is invalid.
    #[error("operators' file {file}, line {line}, column {column}: policy `{name}`: {cause}")]
    Policy {
        /// Path of the file.
        file: String,
        /// Line in the file.
        line: usize,
        /// Column in the file.
        column: usize,
        /// Name of the policy parameter.
        name: String,
        /// The fault and the expected form.
        cause: String,
    },
}

/// The `[admin]` table: the listener for operators' commands.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Listen address; `None` disables the listener.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
}

/// The `[plugins]` table.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginSettings {
    /// Whether plug-ins are installed and called.
    #[serde(default)]
    pub enabled: bool,
}

/// The `[amounts]` table: team limits.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Whether limits are recorded in the state service, so that the lowest of all controllers' settings applies.
    #[serde(default)]
    pub durable: bool,
}

/// The `[tiers]` table: the order in which waiting work is served.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierTableSettings {
    /// Version of the table. The highest version among all controllers' files and the state service applies.
    pub version: u64,
    /// The tiers, in the order in which they are served.
    #[serde(default)]
    pub tier: Vec<TierEntrySettings>,
}

/// An entry `[[tiers.tier]]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierEntrySettings {
    /// Name of the tier.
    pub name: String,
    /// Expression over `job` that selects the jobs of the tier.
    pub when: Spanned<String>,
    /// Whether its jobs are served in the order of their acceptance.
    #[serde(default)]
    pub ordered: bool,
}

/// Line and column, from 1, of a byte offset in a text.
pub fn line_and_column(text: &str, byte: usize) -> (usize, usize) {
    let before = text.get(..byte).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    (line, before.chars().rev().take_while(|c| *c != '\n').count() + 1)
}

/// The `[loans]` table: GPU lending.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanSettings {
    /// Whether loans are recorded in the state service, so that a new leader completes loans in progress.
    #[serde(default)]
    pub durable: bool,
}

/// A validated operators' file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Listener for operators' commands.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Plug-in settings.
    #[serde(default)]
    pub plugins: PluginSettings,
    /// Settings of team limits.
    #[serde(default)]
    pub amounts: QuotaSettings,
    /// Tiers, recorded in the state service. `None`: the built-in tiers, assigned by the jobs' records alone.
    #[serde(default)]
    pub tiers: Option<TierTableSettings>,
    /// Settings of GPU lending.
    #[serde(default)]
    pub loans: LoanSettings,
    /// Arrivals and chains of the deadline plan, parsed by the deadline-planning crate.
    #[serde(default)]
    pub dispatch: Option<toml::Table>,
    /// Policy settings, by the name of the parameter.
    #[serde(default)]
    pub policy: BTreeMap<String, PolicySetting>,
}

/// A number or an expression.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(untagged, expecting = "a number, or an expression in quotes, is expected")]
pub enum PolicySetting {
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Number(f64),
    /// An expression.
    Expression(String),
}

impl PolicySetting {
    fn expression_source(&self) -> String {
        match self {
            PolicySetting::Integer(n) => n.to_string(),
            PolicySetting::Number(n) => format!("{n:?}"),
            PolicySetting::Expression(text) => text.clone(),
        }
    }
}

impl OperatorSettings {
    /// Reads, parses and validates a file.
    pub fn load(path: &Path) -> Result<OperatorSettings, OperatorError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| OperatorError::Read { file: file.clone(), cause })?;
        OperatorSettings::parse(&file, &text)
    }

    /// Parses and validates a text; `file` is the file name used in errors.
    pub fn parse(file: &str, text: &str) -> Result<OperatorSettings, OperatorError> {
        let settings: OperatorSettings = toml::from_str(text)
            .map_err(|cause| OperatorError::Parse { file: file.into(), cause: Box::new(cause) })?;
        match settings.compile_policy() {
            Ok(_) => Ok(settings),
            Err((name, diagnostic)) => {
                let (line, column) = locate_diagnostic(text, &name, &diagnostic);
                let cause = diagnostic.cause;
                Err(OperatorError::Policy { file: file.into(), line, column, name, cause })
            }
        }
    }

    fn compile_policy(&self) -> Result<SchedulingPolicy, (String, Diagnostic)> {
        SchedulingPolicy::new(
            &self.policy.iter().map(|(k, v)| (k.clone(), v.expression_source())).collect(),
        )
    }

    /// The compiled policy. Falls back to the built-in policy, which does not happen for a validated file.
    pub fn compiled_policy(&self) -> SchedulingPolicy {
        self.compile_policy().unwrap_or_default()
    }
}

/// Line and column in the file of a diagnostic for a policy setting, or (0, 0) if the setting is not found. Positions
/// within an expression are relative to its start after the key, positions of later lines to the key's line.
fn locate_diagnostic(text: &str, name: &str, diagnostic: &Diagnostic) -> (usize, usize) {
    let mut in_policy_table = false;
    for (n, line) in text.lines().enumerate() {
        let trimmed = line.trim_start();
        if trimmed.starts_with('[') {
            in_policy_table = trimmed.starts_with("[policy]");
        }
        let key = trimmed.split('=').next().unwrap_or("").trim().trim_matches('"');
        if in_policy_table && key == name {
            let expression_start = line.find('=').map_or(0, |at| {
                let rest = &line[at + 1..];
                let quotes = rest.trim_start().chars().take_while(|c| matches!(c, '"' | '\''));
                at + 1 + (rest.len() - rest.trim_start().len()) + quotes.count()
            });
            let is_known = parameter_names().any(|k| k == name);
            let (line_offset, column) =
                (diagnostic.line.saturating_sub(1), diagnostic.column.max(1));
            return match (is_known, line_offset) {
                (false, _) => (n + 1, line.len() - trimmed.len() + 1),
                (true, 0) => (n + 1, expression_start + column),
                (true, _) => (n + 1 + line_offset, column),
            };
        }
    }
    (0, 0)
}
