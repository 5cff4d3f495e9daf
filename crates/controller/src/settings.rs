//! The platform's settings file in TOML: reading and validation. Unknown fields are ignored.

use crate::constants::{BYTES_PER_KIB, MAX_TRANSACTION_BYTES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {file}: cannot be read: {cause}; give the path of a readable TOML file")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML or does not have the expected fields.
    #[error("settings file {file}: {cause}")]
    Form {
        /// Path of the file.
        file: String,
        /// Error of the parser, with line and field.
        cause: Box<toml::de::Error>,
    },
    /// A value is out of range or inconsistent with another.
    #[error("settings file {file}: field `{field}`: {cause}; {remedy}")]
    Value {
        /// Path of the file.
        file: String,
        /// Name of the field.
        field: String,
        /// What is wrong with the value.
        cause: String,
        /// How the operator can correct it.
        remedy: String,
    },
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Unique name of the controller.
    pub host_name: String,
    /// Its zone; empty if unknown.
    #[serde(default)]
    pub site: String,
    /// Address on which it listens for other controllers.
    pub address: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs; 0 for no guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// CPU limit; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators; 0 for no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Accelerator limit; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline`, `finished` or `guarantee`. Other kinds are accepted, for future versions.
    pub kind: String,
    /// Job class to which it applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Time allowed, s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// Share that must meet it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
}

/// Timing of the workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerSettings {
    /// Interval between status reports, s.
    pub report_s: f64,
    /// Duration of a worker's lease, s.
    pub lease_s: f64,
    /// Time for which a gang task waits for the other tasks of its gang to start, s.
    pub gang_wait_s: f64,
    /// Time within which gang tasks notice the loss of another task, s.
    pub gang_peer_s: f64,
    /// Time within which a cancelled job's tasks must be gone, s.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreSettings {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Largest value, KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction, at most.
    pub txn_ops: usize,
    /// Limits that will take effect at an unannounced time.
    #[serde(default)]
    pub next: Option<UpcomingStoreSettings>,
}

/// Upcoming limits of the state service. Limits that are not set stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct UpcomingStoreSettings {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in one transaction, at most.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreSettings {
    /// The largest value that may be written, bytes: within the limits in force, the announced ones and the size of a
    /// transaction.
    pub fn max_value_bytes(&self) -> usize {
        ((self.value_kb * BYTES_PER_KIB) as usize).min(MAX_TRANSACTION_BYTES)
    }

    /// Lowers each limit to the upcoming one if that is smaller. When the limits change is not announced, and records
    /// that are written now will have to be rewritten under the new limits. Upcoming limits that are not positive are
    /// ignored as invalid.
    fn apply_upcoming_limits(&mut self) {
        let Some(next) = self.next else { return };
        let apply_lower = |current: &mut f64, upcoming: Option<f64>| {
            if let Some(upcoming) = upcoming.filter(|limit| limit.is_finite() && *limit > 0.0) {
                *current = current.min(upcoming);
            }
        };
        apply_lower(&mut self.rps, next.rps);
        apply_lower(&mut self.write_rps, next.write_rps);
        apply_lower(&mut self.value_kb, next.value_kb);
        if let Some(ops) = next.txn_ops.filter(|ops| *ops > 0) {
            self.txn_ops = self.txn_ops.min(ops);
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// Lag of its machine list behind the actual machines, s.
    pub list_lag_s: f64,
}

/// Limits of the controller's own machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineLimits {
    /// CPU limit, as a share of one core.
    pub cores: f64,
    /// Memory limit, MB.
    pub mem_mb: f64,
    /// Largest number of open connections.
    pub max_connections: usize,
}

/// The `[settings]` table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformSettings {
    /// All zones of the cluster.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Largest error of the wall clock, ms.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// Teams with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: WorkerSettings,
    /// Limits of the state service.
    pub state: StoreSettings,
    /// Limits of the cloud.
    pub cloud: CloudSettings,
    /// Limits of the controller's own machine.
    pub machine_limits: MachineLimits,
}

/// A complete settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub host_name: String,
    /// Its zone; empty if unknown.
    #[serde(default)]
    pub site: String,
    /// Listening address for users, workers and health checks.
    pub front: SocketAddr,
    /// Listening address for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<PeerSettings>,
    /// Addresses of the external services.
    pub endpoints: Endpoints,
    /// The `[settings]` table.
    pub settings: PlatformSettings,
}

impl Settings {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Read { file: file.clone(), cause })?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates `text`. Errors refer to it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let mut settings: Settings = toml::from_str(text)
            .map_err(|cause| SettingsError::Form { file: file.into(), cause: Box::new(cause) })?;
        settings.settings.state.apply_upcoming_limits();
        settings.validate(file)?;
        Ok(settings)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let invalid = |field: &str, cause: String, remedy: &str| {
            Err(SettingsError::Value {
                file: file.into(),
                field: field.into(),
                cause,
                remedy: remedy.into(),
            })
        };
        if self.host_name.is_empty() {
            return invalid("host_name", "is empty".into(), "name this controller");
        }
        for (i, other) in self.others.iter().enumerate() {
            if other.host_name == self.host_name {
                let cause = "is this controller's own name".into();
                return invalid(
                    &format!("others[{i}].host_name"),
                    cause,
                    "list only the other controllers",
                );
            }
        }
        let p = &self.settings;
        let positive = [
            ("settings.workers.report_s", p.workers.report_s),
            ("settings.workers.lease_s", p.workers.lease_s),
            ("settings.workers.gang_wait_s", p.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", p.workers.gang_peer_s),
            ("settings.workers.cancel_s", p.workers.cancel_s),
            ("settings.state.rps", p.state.rps),
            ("settings.state.write_rps", p.state.write_rps),
            ("settings.state.value_kb", p.state.value_kb),
            ("settings.cloud.rps", p.cloud.rps),
            ("settings.machine_limits.cores", p.machine_limits.cores),
            ("settings.machine_limits.mem_mb", p.machine_limits.mem_mb),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, format!("is {value}"), "give a number above 0");
            }
        }
        let non_negative = [
            ("settings.clock_off_ms", p.clock_off_ms),
            ("settings.cloud.list_lag_s", p.cloud.list_lag_s),
        ];
        for (field, value) in non_negative {
            if !(value.is_finite() && value >= 0.0) {
                return invalid(field, format!("is {value}"), "give a number of at least 0");
            }
        }
        if p.workers.cancel_s <= p.workers.lease_s {
            let cause = format!("is {}, not above lease_s", p.workers.cancel_s);
            let remedy = "raise it above lease_s, so that cancelled tasks can be stopped in time";
            return invalid("settings.workers.cancel_s", cause, remedy);
        }
        if p.state.txn_ops < 4 {
            let cause = format!("is {}", p.state.txn_ops);
            return invalid("settings.state.txn_ops", cause, "give at least 4");
        }
        for (i, team) in p.teams.iter().enumerate() {
            let limits = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if team.name.is_empty() || limits.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
                let cause = "has no name, or an amount that is negative or not finite".into();
                return invalid(&format!("settings.teams[{i}]"), cause, "correct the team");
            }
        }
        Ok(())
    }

    /// The team with this name, if the settings have one.
    pub fn team(&self, name: &str) -> Option<&TeamSettings> {
        self.settings.teams.iter().find(|t| t.name == name)
    }

    /// Number of controllers, this one included.
    pub fn controllers(&self) -> usize {
        self.others.len() + 1
    }
}
