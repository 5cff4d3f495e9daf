//! The controllers and the cloud.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// Machine types.
    pub const MACHINE_TYPES: &str = "/machine_types";
    /// Rental and list.
    pub const MACHINES: &str = "/machines";
    /// Return.
    pub const RELEASE_MACHINES: &str = "/machines/return";
}

/// All machine types.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineTypes {
    /// One each.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<ListedMachineType>,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    #[serde(default)]
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate of image fetches.
    #[serde(default)]
    #[serde(rename = "fetch_gb_per_s")]
    pub image_fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price an hour.
    #[serde(default)]
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// Usual boot time, s.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(default)]
    #[serde(rename = "docks")]
    pub zones: Vec<String>,
}

/// Rental request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProvisionMachinesRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Machines wanted.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: rented, or to return.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// A page of the machine list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in name order.
    #[serde(default)]
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
}

/// A machine in the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Its worker's address.
    #[serde(default)]
    #[serde(rename = "addr")]
    pub address: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "dock")]
    pub zone: String,
    /// Spot.
    #[serde(default)]
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State.
    pub status: ListedMachineStatus,
    /// Age since the rental request, s.
    #[serde(default)]
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineStatus {
    /// Boots.
    #[serde(rename = "starting")]
    Booting,
    /// Is up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself.
    #[serde(rename = "failed")]
    Failed,
    /// A state this version does not know.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// What the cloud says when none of the machines asked for are to be had.
pub const NO_CAPACITY: &str = "no capacity";
