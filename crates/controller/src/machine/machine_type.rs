//! Machine types that the cloud offers: their resources and prices, and whether they can run a job.

use super::Resources;
use crate::constants::MS_PER_S;
use crate::job::JobSpec;
use swiftsail_protocol::cloud::ListedMachineType;

/// Image fetch rate assumed where the cloud states none for a type, GB/s: sizes are divided by the rate, so it must not
/// be zero.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.1;

/// A machine type.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Size of the image cache, GB.
    pub cache_gb: f64,
    /// Rate of image fetches, GB/s; above zero.
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    pub price: f64,
    /// Spot price per hour.
    pub spot_price: f64,
    /// Usual boot time, ms.
    pub boot_ms: f64,
    /// Zones that offer it.
    pub zones: Vec<String>,
}

impl From<&ListedMachineType> for MachineType {
    fn from(listed: &ListedMachineType) -> MachineType {
        let rate = listed.image_fetch_gb_per_s;
        MachineType {
            name: listed.name.clone(),
            cpus: listed.cpus,
            gpus: listed.gpus,
            memory_gb: listed.memory_gb,
            cache_gb: listed.cache_gb,
            fetch_gb_per_s: if rate > 0.0 { rate } else { DEFAULT_FETCH_GB_PER_S },
            price: listed.price,
            spot_price: listed.spot_price,
            boot_ms: listed.boot_s * MS_PER_S,
            zones: listed.zones.clone(),
        }
    }
}

impl MachineType {
    /// Whether a job may run on this type: the job allows the type, its zone offers it, and a task fits on an empty
    /// machine.
    pub fn allows(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|types| types.contains(&self.name))
            && spec.zone.as_ref().is_none_or(|zone| self.zones.contains(zone))
            && self.resources().fits_task(spec)
    }

    /// Whether a job would waste machines of this type: they have GPUs, which the job does not use and others need.
    pub fn is_wasted_on(&self, spec: &JobSpec) -> bool {
        self.gpus > 0.0 && spec.gpus <= 0.0
    }

    /// Time to fetch a job's image, ms.
    pub fn fetch_ms(&self, spec: &JobSpec) -> f64 {
        spec.image_gb / self.fetch_gb_per_s * MS_PER_S
    }

    /// Resources of an empty machine.
    pub fn resources(&self) -> Resources {
        Resources::of_machine(self.cpus, self.gpus, self.memory_gb)
    }

    /// Price per hour, spot or on demand.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}
