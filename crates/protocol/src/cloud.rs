//! Messages between the controllers and the cloud provider that rents out machines: MessagePack maps of the protocol's
//! section "Controller nodes -> cloud". Types only.

use serde::{Deserialize, Serialize};

/// Paths of this interface, relative to the cloud's address.
pub mod path {
    /// `GET`: all machine types ([`MachineTypes`](super::MachineTypes)).
    pub const MACHINE_TYPES: &str = "/machine_types";
    /// `POST` rents machines ([`ProvisionMachinesRequest`](super::ProvisionMachinesRequest)); `GET` lists them page by
    /// page ([`MachinePage`](super::MachinePage)).
    pub const MACHINES: &str = "/machines";
    /// `POST`: releases machines ([`MachineNames`](super::MachineNames)). Status 200 proves that nothing runs on them
    /// any more.
    pub const RELEASE_MACHINES: &str = "/machines/return";
}

/// All machine types that the cloud offers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types, with unique names. Wire: `hulls`.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<ListedMachineType>,
}

/// A machine type: its resources, its prices and the zones that offer it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachineType {
    /// Unique name of the type. Wire: `sku`.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs of a machine.
    pub cpus: f64,
    /// Number of GPUs of a machine. Wire: `accelerators`.
    #[serde(default, rename = "accelerators")]
    pub gpus: f64,
    /// Memory of a machine, GB.
    pub memory_gb: f64,
    /// Size of a machine's image cache, GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine downloads images, GB per second. Wire: `fetch_gb_per_s`.
    #[serde(default, rename = "fetch_gb_per_s")]
    pub image_fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(default)]
    pub price: f64,
    /// Current spot price per hour. Wire: `market_price`.
    #[serde(default, rename = "market_price")]
    pub spot_price: f64,
    /// Typical time from the rental request to the worker's first report, seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is offered. Wire: `docks`.
    #[serde(default, rename = "docks")]
    pub zones: Vec<String>,
}

/// Request to rent machines of one type in one zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProvisionMachinesRequest {
    /// Idempotency key, unique to the request: repeating the request with the same key rents no further machines.
    /// Wire: `charter`.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// Name of the machine type. Wire: `hull`.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone in which to rent the machines. Wire: `dock`.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Whether to rent spot machines, which the cloud may reclaim. Wire: `driftwood`.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Maximum number of machines to rent; the cloud may rent out fewer. Wire: `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: those just rented (response) or those to release (request).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines. Wire: `berths`.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// A page of the list of rented machines.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines, ordered by name. Wire: `berths`.
    #[serde(default, rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows, starting after the last name of this one.
    #[serde(default)]
    pub has_next: bool,
}

/// A rented machine as listed by the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine; names are never reused. Wire: `name_id`.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Address of the machine's worker; empty while the machine boots. Wire: `addr`.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// Name of the machine type. Wire: `hull`.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone in which the machine is located. Wire: `dock`.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Whether it is a spot machine. Wire: `driftwood`.
    #[serde(default, rename = "driftwood")]
    pub spot: bool,
    /// State of the machine.
    pub status: ListedMachineStatus,
    /// Time since the rental request, seconds. Wire: `held_s`.
    #[serde(default, rename = "held_s")]
    pub age_s: f64,
}

/// State of a rented machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineStatus {
    /// The machine boots, or has booted so recently that the list, which lags, does not show it yet. Wire: `starting`.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up, or failed less than about 30 s ago. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped by itself. It is no longer charged, and stays listed until it is released. Wire: `failed`.
    #[serde(rename = "failed")]
    Failed,
    /// A state unknown to this version. Wire: `unknown`.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// Error text of the cloud when it has none of the requested machines. The request can be retried later, or for another
/// zone or machine type.
pub const NO_CAPACITY: &str = "no capacity";
