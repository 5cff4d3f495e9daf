//! The platform's settings file: read, checked, unknown fields ignored.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file was refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {file}: cannot be read: {cause}; give the path of a readable TOML file")]
    Read {
        /// Path of the file.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The file is not TOML of the expected form.
    #[error("settings file {file}: {cause}")]
    Form {
        /// Path of the file.
        file: String,
        /// What the parser said, with line and field.
        cause: Box<toml::de::Error>,
    },
    /// A value is impossible.
    #[error("settings file {file}: field `{field}`: {cause}; {remedy}")]
    Value {
        /// Path of the file.
        file: String,
        /// Name of the field.
        field: String,
        /// What is wrong.
        cause: String,
        /// What to do.
        remedy: String,
    },
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    pub host_name: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Where it listens for controllers.
    pub address: SocketAddr,
}

/// Addresses of the services outside.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// A team's guarantee and limit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TeamSettings {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs; 0 means none.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs at any time; 0 means none are limited.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected for a class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline`, `finished`, `guarantee` or others to come.
    pub kind: String,
    /// The class it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Time allowed, s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// Share that must keep it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerSettings {
    /// Time between reports, s.
    pub report_s: f64,
    /// Lease of a worker, s.
    pub lease_s: f64,
    /// Time a gang task waits for the others, s.
    pub gang_wait_s: f64,
    /// Time within which gang tasks notice a loss, s.
    pub gang_peer_s: f64,
    /// Time within which a cancelled job's tasks must be gone, s.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreSettings {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value, KiB.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<UpcomingStoreSettings>,
}

/// Limits that the state service will have; what is not named stays.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct UpcomingStoreSettings {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreSettings {
    /// Keeps to the lower of the limits that hold now and those to come: when they change is not told, and what is
    /// written now has to be written again then. A limit to come of nothing at all is not believed.
    fn apply_upcoming_limits(&mut self) {
        let Some(next) = self.next else { return };
        let lower = |now: &mut f64, next: Option<f64>| {
            if let Some(next) = next.filter(|n| n.is_finite() && *n > 0.0) {
                *now = now.min(next);
            }
        };
        lower(&mut self.rps, next.rps);
        lower(&mut self.write_rps, next.write_rps);
        lower(&mut self.value_kb, next.value_kb);
        if let Some(ops) = next.txn_ops.filter(|ops| *ops > 0) {
            self.txn_ops = self.txn_ops.min(ops);
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudSettings {
    /// Requests a second.
    pub rps: f64,
    /// Age of its machine list, s.
    pub list_lag_s: f64,
}

/// Limits of the controller's own machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineLimits {
    /// Share of a core.
    pub cores: f64,
    /// Memory, MB.
    pub mem_mb: f64,
    /// Sockets.
    pub max_connections: usize,
}

/// The `[settings]` table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformSettings {
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the time of day's error, ms.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// The aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: WorkerSettings,
    /// State service.
    pub state: StoreSettings,
    /// Cloud.
    pub cloud: CloudSettings,
    /// This machine.
    pub machine_limits: MachineLimits,
}

/// A whole settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub host_name: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Listens here for users, workers and health checks.
    pub front: SocketAddr,
    /// Listens here for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<PeerSettings>,
    /// Services outside.
    pub endpoints: Endpoints,
    /// Everything else.
    pub settings: PlatformSettings,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Read { file: file.clone(), cause })?;
        Settings::parse(&file, &text)
    }

    /// Reads and checks a text; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let mut found: Settings = toml::from_str(text)
            .map_err(|cause| SettingsError::Form { file: file.into(), cause: Box::new(cause) })?;
        found.settings.state.apply_upcoming_limits();
        found.validate(file)?;
        Ok(found)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let bad = |field: &str, cause: String, remedy: &str| {
            Err(SettingsError::Value {
                file: file.into(),
                field: field.into(),
                cause,
                remedy: remedy.into(),
            })
        };
        if self.host_name.is_empty() {
            return bad("host_name", "is empty".into(), "name this controller");
        }
        for (i, other) in self.others.iter().enumerate() {
            if other.host_name == self.host_name {
                let cause = "is this controller's own name".into();
                return bad(&format!("others[{i}].host_name"), cause, "list only the others");
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
                return bad(field, format!("is {value}"), "give a number above 0");
            }
        }
        let least = [
            ("settings.clock_off_ms", p.clock_off_ms),
            ("settings.cloud.list_lag_s", p.cloud.list_lag_s),
        ];
        for (field, value) in least {
            if !(value.is_finite() && value >= 0.0) {
                return bad(field, format!("is {value}"), "give a number of at least 0");
            }
        }
        if p.workers.cancel_s <= p.workers.lease_s {
            let cause = format!("is {}, not above lease_s", p.workers.cancel_s);
            let remedy = "cancelled tasks could not be ended in time: raise it above lease_s";
            return bad("settings.workers.cancel_s", cause, remedy);
        }
        if p.state.txn_ops < 4 {
            let cause = format!("is {}", p.state.txn_ops);
            return bad("settings.state.txn_ops", cause, "at least 4 are needed");
        }
        for (i, team) in p.teams.iter().enumerate() {
            let limits = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if team.name.is_empty() || limits.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
                let cause = "has no name or an amount that is not at least 0".into();
                return bad(&format!("settings.teams[{i}]"), cause, "correct the team");
            }
        }
        Ok(())
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&TeamSettings> {
        self.settings.teams.iter().find(|t| t.name == name)
    }

    /// Controllers in all, this one included.
    pub fn controllers(&self) -> usize {
        self.others.len() + 1
    }
}
