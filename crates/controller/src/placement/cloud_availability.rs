//! Availability of machines in the cloud, as known to a round.

use std::collections::HashMap;

/// Which offers may be requested now.
#[derive(Debug, Default)]
pub(super) struct CloudAvailability {
    /// By machine type, zone and spot property; filled on demand.
    pub may_provision: HashMap<(usize, usize, bool), bool>,
    /// Counted on demand.
    pub zone_machines: Option<ZoneMachines>,
}

/// Number of machines by zone, existing or requested.
#[derive(Debug, Default)]
pub(super) struct ZoneMachines {
    /// By machine type and zone.
    pub machine_counts: HashMap<(usize, usize), u32>,
    /// Zones in which most ready machines are silent.
    pub silent_zones: Vec<usize>,
}
