//! The controllers and the cloud.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// Machine types.
    pub const TYPES: &str = "/machine_types";
    /// Rental and list.
    pub const MACHINES: &str = "/machines";
    /// Return.
    pub const RETURN: &str = "/machines/return";
}

/// All machine types.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Types {
    /// One each.
    pub hulls: Vec<Hull>,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hull {
    /// Its name.
    pub sku: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate of image fetches.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price an hour.
    #[serde(default)]
    pub market_price: f64,
    /// Usual boot time, s.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(default)]
    pub docks: Vec<String>,
}

/// Rental request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request, never used twice.
    pub charter: String,
    /// Machine type.
    pub hull: String,
    /// Zone.
    pub dock: String,
    /// Spot.
    pub driftwood: bool,
    /// Machines wanted.
    pub number: u32,
}

/// Names of machines: rented, or to return.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Berths {
    /// The names.
    pub berths: Vec<String>,
}

/// A page of the machine list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Machines in name order.
    #[serde(default)]
    pub berths: Vec<Listed>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
}

/// A machine in the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name_id: String,
    /// Its worker's address.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    pub hull: String,
    /// Zone.
    pub dock: String,
    /// Spot.
    #[serde(default)]
    pub driftwood: bool,
    /// State.
    pub status: ListedState,
    /// Age since the rental request, s.
    #[serde(default)]
    pub held_s: f64,
}

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
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
