//! Messages between the controllers and the cloud that rents machines: MessagePack maps of
//! the protocol's section "Controller nodes -> cloud". Types only.

use serde::{Deserialize, Serialize};

/// Paths of this interface, below the cloud's address.
pub mod path {
    /// `GET`: all machine types ([`MachineTypes`](super::MachineTypes)).
    pub const MACHINE_TYPES: &str = "/machine_types";
    /// `POST` rents machines ([`ProvisionMachinesRequest`](super::ProvisionMachinesRequest)); `GET`
    /// lists them by pages ([`MachinePage`](super::MachinePage)).
    pub const MACHINES: &str = "/machines";
    /// `POST`: returns machines ([`MachineNames`](super::MachineNames)). Its 200 proves that
    /// nothing runs on them any more.
    pub const RELEASE_MACHINES: &str = "/machines/return";
}

/// Every machine type that the cloud offers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types, each name once. Wire: `hulls`.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<ListedMachineType>,
}

/// A machine type: its resources, its prices and where it is offered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachineType {
    /// Name of the type, unique. Wire: `sku`.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine. Wire: `accelerators`.
    #[serde(default, rename = "accelerators")]
    pub gpus: f64,
    /// Memory of a machine, GB.
    pub memory_gb: f64,
    /// Size of a machine's image cache, GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, GB per second. Wire: `fetch_gb_per_s`.
    #[serde(default, rename = "fetch_gb_per_s")]
    pub image_fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(default)]
    pub price: f64,
    /// Current spot price per hour. Wire: `market_price`.
    #[serde(default, rename = "market_price")]
    pub spot_price: f64,
    /// Usual time from the rental request to the first report, seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is offered. Wire: `docks`.
    #[serde(default, rename = "docks")]
    pub zones: Vec<String>,
}

/// Request to rent machines of one type in one zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProvisionMachinesRequest {
    /// Idempotency key: a repeat with the same key rents nothing more. Never used for two requests.
    /// Wire: `charter`.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// Name of the machine type. Wire: `hull`.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone in which to rent. Wire: `dock`.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Whether spot machines are rented, which the cloud may reclaim. Wire: `driftwood`.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Most machines to rent; the cloud may rent fewer. Wire: `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines by name: those just rented (response), or those to return (request).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines. Wire: `berths`.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// A page of the list of rented machines.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in the order of their names. Wire: `berths`.
    #[serde(default, rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows after the last name of this one.
    #[serde(default)]
    pub has_next: bool,
}

/// A rented machine as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine, never used for another. Wire: `name_id`.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Address of its worker; empty while it boots. Wire: `addr`.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// Name of its machine type. Wire: `hull`.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone it stands in. Wire: `dock`.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Whether it is a spot machine. Wire: `driftwood`.
    #[serde(default, rename = "driftwood")]
    pub spot: bool,
    /// Its state.
    pub status: ListedMachineStatus,
    /// Time since the rental request, seconds. Wire: `held_s`.
    #[serde(default, rename = "held_s")]
    pub age_s: f64,
}

/// State of a rented machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineStatus {
    /// It boots, as far as the list knows: the list lags. Wire: `starting`.
    #[serde(rename = "starting")]
    Booting,
    /// It is up, or died less than about 30 s ago. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// It stopped by itself: no longer charged, and listed until it is returned. Wire: `failed`.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know. Wire: `unknown`.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// Text of the cloud's error when it has none of the machines asked for: to be retried later or
/// elsewhere.
pub const NO_CAPACITY: &str = "no capacity";
