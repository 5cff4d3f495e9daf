//! What `swiftsail local` is made of: machine types, teams, limits, and the controllers' settings.

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

/// The file that is built in.
const BUILT_IN: &str = include_str!("../../deploy/local.toml");

/// A machine type, in the words of `deploy/local.toml`.
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

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalConfig {
    /// Zones; the first controllers stand in the first of them.
    pub zones: Vec<String>,
    #[serde(rename = "types")]
    machine_types: Vec<ConfiguredMachineType>,
    teams: Vec<TeamSettings>,
    workers: WorkerSettings,
    state: StoreSettings,
    cloud: CloudSettings,
}

/// Why a file of machines was refused.
#[derive(Debug, thiserror::Error)]
pub enum LocalConfigError {
    /// It could not be read.
    #[error("machines' file {0}: cannot be read: {1}; give the path of a readable TOML file")]
    Read(String, std::io::Error),
    /// It is not of the expected form.
    #[error("machines' file {0}: {1}")]
    Malformed(String, Box<toml::de::Error>),
    /// A value is impossible.
    #[error("machines' file {0}: {1}")]
    InvalidValue(String, String),
}

impl LocalConfig {
    /// The file of that path, or the built-in one.
    pub fn load(path: Option<&Path>) -> Result<LocalConfig, LocalConfigError> {
        let file = path.map_or("built-in".into(), |p| p.display().to_string());
        let text = match path {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|e| LocalConfigError::Read(file.clone(), e))?,
            None => BUILT_IN.to_string(),
        };
        let model: LocalConfig = toml::from_str(&text)
            .map_err(|e| LocalConfigError::Malformed(file.clone(), Box::new(e)))?;
        let bad = |why: String| Err(LocalConfigError::InvalidValue(file.clone(), why));
        if model.zones.is_empty() || model.machine_types.is_empty() || model.teams.is_empty() {
            return bad("zones, types and teams are empty; name at least one of each".into());
        }
        for t in &model.machine_types {
            let amounts = [t.cpus, t.memory_gb, t.cache_gb, t.fetch_gb_per_s, t.price, t.boot_s];
            if amounts.iter().any(|a| !(a.is_finite() && *a > 0.0)) {
                return bad(format!("type {}: an amount is not above 0; correct it", t.name));
            }
            if let Some(zone) = t.zones.iter().find(|z| !model.zones.contains(z)) {
                return bad(format!("type {}: zone `{zone}` is not among `zones`", t.name));
            }
        }
        Ok(model)
    }

    /// What the cloud offers.
    pub fn cloud_offers(&self) -> Vec<MachineOffer> {
        let hull = |t: &ConfiguredMachineType| ListedMachineType {
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
            .map(|t| MachineOffer { machine_type: hull(t), capacity: t.capacity })
            .collect()
    }

    /// Machines that there can be at once.
    pub fn max_machines(&self) -> usize {
        self.machine_types.iter().map(|t| 2 * t.capacity as usize * t.zones.len()).sum()
    }

    /// The platform as the controllers' settings tell it.
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

/// The addresses of everything, all on loopback.
#[derive(Debug, Clone, Copy)]
pub struct PortPlan {
    base: u16,
}

impl PortPlan {
    /// Addresses from a port on.
    pub fn from(base: u16) -> PortPlan {
        PortPlan { base }
    }

    fn at(self, offset: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.base.saturating_add(offset as u16)))
    }
    /// Where a controller listens for users and workers.
    pub fn http(self, node: usize) -> SocketAddr {
        self.at(node)
    }
    /// Where it listens for the others.
    pub fn cluster(self, node: usize) -> SocketAddr {
        self.at(10 + node)
    }
    /// Where it listens for operators.
    pub fn admin(self, node: usize) -> SocketAddr {
        self.at(20 + node)
    }
    /// The state service as a controller sees it.
    pub fn state(self, node: usize) -> SocketAddr {
        self.at(30 + node)
    }
    /// The cloud as a controller sees it.
    pub fn cloud(self, node: usize) -> SocketAddr {
        self.at(40 + node)
    }
    /// The way from one controller to another, which can be cut.
    pub fn link(self, from: usize, to: usize) -> SocketAddr {
        self.at(50 + from * LOCAL_MAX_CONTROLLERS + to)
    }
    /// Where faults are asked for.
    pub fn control(self) -> SocketAddr {
        self.at(99)
    }
    /// Where a machine's worker takes commands.
    pub fn worker(self, number: usize) -> SocketAddr {
        self.at(100 + number)
    }
}

/// The zone of a controller.
pub fn zone_of_controller(zones: &[String], node: usize) -> String {
    zones[node % zones.len()].clone()
}

/// The name of a controller.
pub fn controller_name(node: usize) -> String {
    format!("node-{node}")
}

/// The number of a controller's name.
pub fn controller_number(name: &str) -> Option<usize> {
    name.strip_prefix("node-")?.parse().ok()
}

#[derive(Serialize)]
struct OtherFile {
    host_name: String,
    site: String,
    address: SocketAddr,
}

#[derive(Serialize)]
struct EndpointsFile {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Serialize)]
struct SettingsFile {
    host_name: String,
    site: String,
    front: SocketAddr,
    cluster_listen: SocketAddr,
    endpoints: EndpointsFile,
    others: Vec<OtherFile>,
    settings: PlatformSettings,
}

/// Writes a controller's settings and operators' file into a folder. Returns their paths.
pub fn write_controller_config(
    model: &LocalConfig,
    ports: PortPlan,
    node: usize,
    nodes: usize,
    folder: &Path,
) -> std::io::Result<(PathBuf, PathBuf)> {
    let others = (0..nodes).filter(|n| *n != node).map(|n| OtherFile {
        host_name: controller_name(n),
        site: zone_of_controller(&model.zones, n),
        address: ports.link(node, n),
    });
    let file = SettingsFile {
        host_name: controller_name(node),
        site: zone_of_controller(&model.zones, node),
        front: ports.http(node),
        cluster_listen: ports.cluster(node),
        endpoints: EndpointsFile { cloud: ports.cloud(node), state: ports.state(node) },
        others: others.collect(),
        settings: model.platform(),
    };
    let text = toml::to_string(&file).map_err(std::io::Error::other)?;
    let (config, operator) = (
        folder.join(format!("{}.toml", controller_name(node))),
        folder.join(format!("{}-operator.toml", controller_name(node))),
    );
    std::fs::write(&config, text)?;
    // Tiers and dispatch are on with what holds without them, so that others can be put in force.
    let text = format!(
        "[admin]\nlisten = \"{}\"\n[plugins]\nenabled = true\n[loans]\ndurable = true\n[dispatch]\nversion = 0\n\
         [tiers]\nversion = 0\n[[tiers.tier]]\nname = \"core\"\nordered = true\n\
         when = 'job.priority == \"production\" && job.kind == \"service\"'\n",
        ports.admin(node)
    );
    std::fs::write(&operator, text)?;
    Ok((config, operator))
}
