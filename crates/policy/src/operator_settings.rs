//! The operators' file: what those who run the service set, beyond the platform's file. TOML, checked
//! like the platform's; everything in it is off unless switched on.

use crate::expression_engine::Diagnostic;
use crate::scheduling_policy::{SchedulingPolicy, parameter_names};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

/// Why an operators' file was refused.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file could not be read.
    #[error(
        "operators' file {file}: cannot be read: {cause}; give the path of a readable TOML file"
    )]
    Read {
        /// Path of the file.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The file is not TOML of the expected form.
    #[error("operators' file {file}: {cause}")]
    Form {
        /// Path of the file.
        file: String,
        /// What the parser said, with line and field.
        cause: Box<toml::de::Error>,
    },
    /// An expression is not sound.
    #[error("operators' file {file}, line {line}, column {column}: policy `{name}`: {cause}")]
    Policy {
        /// Path of the file.
        file: String,
        /// Line in the file.
        line: usize,
        /// Column in the file.
        column: usize,
        /// What the expression sets.
        name: String,
        /// What is wrong, and what was expected.
        cause: String,
    },
}

/// The `[admin]` table: where operators' commands are taken.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address; none: no listener.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
}

/// The `[plugins]` table.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginSettings {
    /// Whether plug-ins are kept and asked.
    #[serde(default)]
    pub enabled: bool,
}

/// The `[amounts]` table.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Whether limits are held in the state service, so that the lowest of all controllers' settings counts.
    #[serde(default)]
    pub durable: bool,
}

/// The `[tiers]` table: which waiting work comes first.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierTableSettings {
    /// Number of the table: of all controllers' files and the state service, the highest counts.
    pub version: u64,
    /// The tiers, the first first.
    #[serde(default)]
    pub tier: Vec<TierEntrySettings>,
}

/// One `[[tiers.tier]]`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierEntrySettings {
    /// Its name.
    pub name: String,
    /// Which jobs are of it, as an expression over `job`.
    pub when: Spanned<String>,
    /// Whether it is served in the order of acceptance.
    #[serde(default)]
    pub ordered: bool,
}

/// Line and column of a byte in a text, from 1.
pub fn line_and_column(text: &str, byte: usize) -> (usize, usize) {
    let before = text.get(..byte).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    (line, before.chars().rev().take_while(|c| *c != '\n').count() + 1)
}

/// The `[loans]` table.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanSettings {
    /// Whether accelerators lent are held in the state service, so that a new leader finishes what was begun.
    #[serde(default)]
    pub durable: bool,
}

/// A checked operators' file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where operators' commands are taken.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Plug-ins.
    #[serde(default)]
    pub plugins: PluginSettings,
    /// Teams' limits.
    #[serde(default)]
    pub amounts: QuotaSettings,
    /// Tiers, held in the state service; none: the built-in ones, by records alone.
    #[serde(default)]
    pub tiers: Option<TierTableSettings>,
    /// Accelerators lent.
    #[serde(default)]
    pub loans: LoanSettings,
    /// Arrivals and chains, as the dispatch package reads them.
    #[serde(default)]
    pub dispatch: Option<toml::Table>,
    /// Expressions, by the name of what they set.
    #[serde(default)]
    pub policy: BTreeMap<String, PolicySetting>,
}

/// An expression, or a number that stands for itself.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(untagged, expecting = "a number, or an expression in quotes, is expected")]
pub enum PolicySetting {
    /// A whole number.
    Integer(i64),
    /// A number.
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
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<OperatorSettings, OperatorError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| OperatorError::Read { file: file.clone(), cause })?;
        OperatorSettings::parse(&file, &text)
    }

    /// Reads and checks a text; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<OperatorSettings, OperatorError> {
        let found: OperatorSettings = toml::from_str(text)
            .map_err(|cause| OperatorError::Form { file: file.into(), cause: Box::new(cause) })?;
        match found.compile_policy() {
            Ok(_) => Ok(found),
            Err((name, flaw)) => {
                let (line, column) = locate_diagnostic(text, &name, &flaw);
                let cause = flaw.cause;
                Err(OperatorError::Policy { file: file.into(), line, column, name, cause })
            }
        }
    }

    fn compile_policy(&self) -> Result<SchedulingPolicy, (String, Diagnostic)> {
        SchedulingPolicy::new(
            &self.policy.iter().map(|(k, v)| (k.clone(), v.expression_source())).collect(),
        )
    }

    /// The policy, compiled. A checked file always has one.
    pub fn compiled_policy(&self) -> SchedulingPolicy {
        self.compile_policy().unwrap_or_default()
    }
}

/// Where in the file a flaw of a policy's expression lies: its key's line, and the column within the
/// text after it. An expression of several lines is counted from there.
fn locate_diagnostic(text: &str, name: &str, flaw: &Diagnostic) -> (usize, usize) {
    let mut inside = false;
    for (n, line) in text.lines().enumerate() {
        let bare = line.trim_start();
        if bare.starts_with('[') {
            inside = bare.starts_with("[policy]");
        }
        let key = bare.split('=').next().unwrap_or("").trim().trim_matches('"');
        if inside && key == name {
            let begin = line.find('=').map_or(0, |at| {
                let rest = &line[at + 1..];
                let quotes = rest.trim_start().chars().take_while(|c| matches!(c, '"' | '\''));
                at + 1 + (rest.len() - rest.trim_start().len()) + quotes.count()
            });
            let known = parameter_names().any(|k| k == name);
            let (down, right) = (flaw.line.saturating_sub(1), flaw.column.max(1));
            return match (known, down) {
                (false, _) => (n + 1, line.len() - bare.len() + 1),
                (true, 0) => (n + 1, begin + right),
                (true, _) => (n + 1 + down, right),
            };
        }
    }
    (0, 0)
}
