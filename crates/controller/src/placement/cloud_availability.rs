//! What a round knows of the market for machines.

use std::collections::HashMap;

/// Which types, zones and kinds may be asked for now.
#[derive(Debug, Default)]
pub(super) struct CloudAvailability {
    pub may_provision: HashMap<(usize, usize, bool), bool>,
    pub zone_machines: Option<ZoneMachines>,
}

/// Where machines are, up or asked for.
#[derive(Debug, Default)]
pub(super) struct ZoneMachines {
    /// By type and zone.
    pub machine_counts: HashMap<(usize, usize), u32>,
    /// Zones most of whose machines are silent.
    pub silent_zones: Vec<usize>,
}
