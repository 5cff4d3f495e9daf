//! Configuration of `swiftsail local`: the file of machine types, teams and limits, the ports, and the settings files that
//! are written for the controllers.

use crate::constants::{
    LOCAL_MAX_CLOCK_OFFSET_MS, LOCAL_MAX_CONNECTIONS, LOCAL_MAX_CONTROLLERS, LOCAL_MEMORY_MB,
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use swiftsail_controller::settings::{
    CloudSettings, MachineLimits, PlatformSettings, StoreSettings, TeamSettings, WorkerSettings,
};
use swiftsail_protocol::cloud::ListedMachineType;
use swiftsail_simulation::cloud::MachineOffer;

/// The built-in configuration file.
const BUILT_IN: &str = include_str!("../../deploy/local.toml");

/// A machine type, with the fields and units of `deploy/local.toml`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfiguredMachineType {
    name: String,
    cpus: f64,
    #[serde(default)]
    gpus: f64,
    memory_gb: f64,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    price: f64,
    spot_price: f64,
    boot_s: f64,
    zones: Vec<String>,
    capacity: u32,
}

/// The configuration file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalConfig {
    /// Names of the zones. The controllers are assigned to them in turn.
    pub zones: Vec<String>,
    #[serde(rename = "types")]
    machine_types: Vec<ConfiguredMachineType>,
    teams: Vec<TeamSettings>,
    workers: WorkerSettings,
    state: StoreSettings,
    cloud: CloudSettings,
}

/// Why a configuration file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum LocalConfigError {
    /// The file of this path could not be read.
    #[error("machines file {0}: cannot read it: {1}; give the path of a readable TOML file")]
    Read(String, std::io::Error),
    /// The file is not valid TOML or does not have the expected fields.
    #[error("machines file {0}: {1}")]
    Malformed(String, Box<toml::de::Error>),
    /// A value is invalid. Holds the path and the cause.
    #[error("machines file {0}: {1}")]
    InvalidValue(String, String),
}

impl LocalConfig {
    /// Loads and validates the file of this path, or the built-in file.
    pub fn load(path: Option<&Path>) -> Result<LocalConfig, LocalConfigError> {
        let file = path.map_or("built-in".into(), |p| p.display().to_string());
        let text = match path {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|e| LocalConfigError::Read(file.clone(), e))?,
            None => BUILT_IN.to_string(),
        };
        let config: LocalConfig = toml::from_str(&text)
            .map_err(|e| LocalConfigError::Malformed(file.clone(), Box::new(e)))?;
        let invalid = |cause: String| Err(LocalConfigError::InvalidValue(file.clone(), cause));
        if config.zones.is_empty() || config.machine_types.is_empty() || config.teams.is_empty() {
            return invalid("expected at least one zone, one type and one team".into());
        }
        for t in &config.machine_types {
            let amounts = [t.cpus, t.memory_gb, t.cache_gb, t.fetch_gb_per_s, t.price, t.boot_s];
            if amounts.iter().any(|a| !(a.is_finite() && *a > 0.0)) {
                return invalid(format!(
                    "type {}: cpus, memory_gb, cache_gb, fetch_gb_per_s, price and boot_s must be above 0",
                    t.name
                ));
            }
            if let Some(zone) = t.zones.iter().find(|z| !config.zones.contains(z)) {
                return invalid(format!("type {}: zone `{zone}` is not listed in `zones`", t.name));
            }
        }
        Ok(config)
    }

    /// Returns the machine types that the cloud offers, with their capacity.
    pub fn cloud_offers(&self) -> Vec<MachineOffer> {
        let machine_type = |t: &ConfiguredMachineType| ListedMachineType {
            name: t.name.clone(),
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
            cache_gb: t.cache_gb,
            image_fetch_gb_per_s: t.fetch_gb_per_s,
            price: t.price,
            spot_price: t.spot_price,
            boot_s: t.boot_s,
            zones: t.zones.clone(),
        };
        self.machine_types
            .iter()
            .map(|t| MachineOffer { machine_type: machine_type(t), capacity: t.capacity })
            .collect()
    }

    /// Returns the maximum number of machines that can be provisioned at once.
    pub fn max_machines(&self) -> usize {
        self.machine_types.iter().map(|t| 2 * t.capacity as usize * t.zones.len()).sum()
    }

    /// Returns the platform section of the controllers' settings.
    pub fn platform(&self) -> PlatformSettings {
        PlatformSettings {
            zones: self.zones.clone(),
            clock_off_ms: LOCAL_MAX_CLOCK_OFFSET_MS,
            teams: self.teams.clone(),
            objectives: Vec::new(),
            workers: self.workers.clone(),
            state: self.state.clone(),
            cloud: self.cloud.clone(),
            machine_limits: MachineLimits {
                cores: 1.0,
                mem_mb: LOCAL_MEMORY_MB,
                max_connections: LOCAL_MAX_CONNECTIONS,
            },
        }
    }
}

/// The addresses of all listeners, on loopback, relative to a base port.
#[derive(Debug, Clone, Copy)]
pub struct PortPlan {
    base: u16,
}

impl PortPlan {
    /// Creates a plan from the base port on.
    pub fn from(base: u16) -> PortPlan {
        PortPlan { base }
    }

    fn address_at(self, offset: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.base.saturating_add(offset as u16)))
    }
    /// Address on which a controller listens for users and workers.
    pub fn http(self, node: usize) -> SocketAddr {
        self.address_at(node)
    }
    /// Address on which a controller listens for other controllers.
    pub fn cluster(self, node: usize) -> SocketAddr {
        self.address_at(10 + node)
    }
    /// Address on which a controller listens for operators.
    pub fn admin(self, node: usize) -> SocketAddr {
        self.address_at(20 + node)
    }
    /// Address of the state service for a controller. It identifies the caller.
    pub fn state(self, node: usize) -> SocketAddr {
        self.address_at(30 + node)
    }
    /// Address of the cloud for a controller. It identifies the caller.
    pub fn cloud(self, node: usize) -> SocketAddr {
        self.address_at(40 + node)
    }
    /// Address of the proxy from one controller to another, which emulates network partitions.
    pub fn link(self, from: usize, to: usize) -> SocketAddr {
        self.address_at(50 + from * LOCAL_MAX_CONTROLLERS + to)
    }
    /// Address for fault injection and status requests.
    pub fn control(self) -> SocketAddr {
        self.address_at(99)
    }
    /// Address on which the worker with this socket number receives commands.
    pub fn worker(self, number: usize) -> SocketAddr {
        self.address_at(100 + number)
    }
}

/// Returns the zone of a controller.
pub fn zone_of_controller(zones: &[String], node: usize) -> String {
    zones[node % zones.len()].clone()
}

/// Returns the name of a controller.
pub fn controller_name(node: usize) -> String {
    format!("node-{node}")
}

/// Returns the number of the controller of this name, or none if the name is not that of a controller.
pub fn controller_number(name: &str) -> Option<usize> {
    name.strip_prefix("node-")?.parse().ok()
}

#[derive(Serialize)]
struct PeerSection {
    host_name: String,
    site: String,
    address: SocketAddr,
}

#[derive(Serialize)]
struct EndpointsSection {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Serialize)]
struct SettingsFile {
    host_name: String,
    site: String,
    front: SocketAddr,
    cluster_listen: SocketAddr,
    endpoints: EndpointsSection,
    others: Vec<PeerSection>,
    settings: PlatformSettings,
}

/// Writes the settings file and the operators' file of a controller to a folder. Returns their paths in this order.
pub fn write_controller_config(
    config: &LocalConfig,
    ports: PortPlan,
    node: usize,
    controller_count: usize,
    folder: &Path,
) -> std::io::Result<(PathBuf, PathBuf)> {
    let others = (0..controller_count).filter(|n| *n != node).map(|n| PeerSection {
        host_name: controller_name(n),
        site: zone_of_controller(&config.zones, n),
        address: ports.link(node, n),
    });
    let file = SettingsFile {
        host_name: controller_name(node),
        site: zone_of_controller(&config.zones, node),
        front: ports.http(node),
        cluster_listen: ports.cluster(node),
        endpoints: EndpointsSection { cloud: ports.cloud(node), state: ports.state(node) },
        others: others.collect(),
        settings: config.platform(),
    };
    let text = toml::to_string(&file).map_err(std::io::Error::other)?;
    let (settings_path, operator_path) = (
        folder.join(format!("{}.toml", controller_name(node))),
        folder.join(format!("{}-operator.toml", controller_name(node))),
    );
    std::fs::write(&settings_path, text)?;
    // Tiers and the dispatch plan are enabled with their defaults, so that operators can replace them at run time.
    let text = format!(
        "[admin]\nlisten = \"{}\"\n[plugins]\nenabled = true\n[loans]\ndurable = true\n[dispatch]\nversion = 0\n\
         [tiers]\nversion = 0\n[[tiers.tier]]\nname = \"core\"\nordered = true\n\
         when = 'job.priority == \"production\" && job.kind == \"service\"'\n",
        ports.admin(node)
    );
    std::fs::write(&operator_path, text)?;
    Ok((settings_path, operator_path))
}
